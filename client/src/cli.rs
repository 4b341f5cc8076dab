//! Command line of the operators' client.

use {
    crate::{
        command,
        outcome::{Code, Outcome},
        settings::{self, Request},
    },
    std::{
        io::{self, Write as _},
        process::ExitCode,
    },
};

/// Runs the client with the process's arguments and environment.
///
/// The exit code is that of the [`Outcome`].
pub fn run() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let variable = |name: &str| std::env::var(name).ok();
    let settings = match settings::read(&arguments, &variable) {
        Ok(Request::Run(settings)) => settings,
        Ok(Request::Print(text)) => return print(&Outcome::done(text, &()), false),
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

fn print(outcome: &Outcome, json: bool) -> ExitCode {
    let text = if json {
        outcome.value.to_string()
    } else {
        outcome.text.trim_end().to_owned()
    };
    // Whoever reads the output may have gone; the exit code still tells the outcome.
    let _ = if json || outcome.code == Code::Done {
        writeln!(io::stdout(), "{text}")
    } else {
        writeln!(io::stderr(), "{text}")
    };
    ExitCode::from(outcome.code.number())
}
