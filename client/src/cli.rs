//! Command line of the operators' client.

use {
    crate::{
        command,
        outcome::{Code, Outcome},
        settings::{self, Invocation},
    },
    std::{
        io::{self, Write as _},
        process::ExitCode,
    },
};

/// Runs the client with the process's arguments and environment.
///
/// Returns the exit code of the command's [`Outcome`].
pub fn run() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let variable = |name: &str| std::env::var(name).ok();
    let settings = match settings::read(&arguments, &variable) {
        Ok(Invocation::Run(settings)) => settings,
        Ok(Invocation::Print(text)) => return print(&Outcome::done(text, &()), false),
        Err(problem) => return print(&problem, false),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(command::execute(&settings)),
        Err(error) => Outcome::failed(Code::Refused, error.to_string()),
    };
    print(&outcome, settings.json)
}

/// Prints JSON and successful output to the standard output, other output to the standard error.
fn print(outcome: &Outcome, json: bool) -> ExitCode {
    let text = if json {
        outcome.value.to_string()
    } else {
        outcome.text.trim_end().to_owned()
    };
    // Errors are ignored: if the reader has closed the pipe, the exit code still tells the outcome.
    let _ = if json || outcome.code == Code::Done {
        writeln!(io::stdout(), "{text}")
    } else {
        writeln!(io::stderr(), "{text}")
    };
    ExitCode::from(outcome.code.number())
}
