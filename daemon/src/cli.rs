//! Command line of the daemon: roles, options and exit codes.

use {
    crate::{
        gateway, logging, router,
        settings::{self, Flag, Problems, source::Source},
        sidecar,
    },
    getopts::{Matches, Options},
    miette::{Diagnostic, IntoDiagnostic as _},
    std::process::ExitCode,
    tamarackdale_platform as platform,
};

const USAGE: &str = "Usage: tamarackdaled router|sidecar [OPTIONS]
       tamarackdaled gateway

A gateway reads its settings from the file that TAMARACKDALE_NODE_FILE names.

Every option can also be set by an environment variable: --data-centre by
TAMARACKDALE_DATA_CENTRE, and so on. An option overrides its variable.";

/// Exit code for invalid arguments or settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

enum Role {
    Router,
    Sidecar,
}

enum Settings {
    Router(settings::Router),
    Sidecar(settings::Sidecar),
}

/// Runs the daemon with the process's arguments and environment.
///
/// The exit code is 0 after a clean run, 1 after a failure and 2 if arguments or settings are
/// invalid.
pub fn run() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match start(&arguments) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: &[String]) -> miette::Result<ExitCode> {
    let role = arguments.first().and_then(|name| parse_role(name));
    let options = options(role.as_ref());
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return Ok(report_invalid(&miette::miette!("{error}"))),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(ExitCode::SUCCESS);
    }
    if matches.opt_present("version") {
        println!("tamarackdaled {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    if arguments.first().is_some_and(|name| name == "gateway") {
        return run_gateway(matches.opt_present("check-settings"));
    }
    let Some(role) = role else {
        return Ok(report_invalid(&miette::miette!(
            help = "the first argument must be router, sidecar or gateway",
            "no role given"
        )));
    };
    let settings = match read_settings(&role, &matches) {
        Ok(settings) => settings,
        Err(problems) => return Ok(report_invalid(&problems.into())),
    };
    if matches.opt_present("check-settings") {
        println!("the settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    run_role(settings)?;
    Ok(ExitCode::SUCCESS)
}

/// Runs a gateway, or only checks its settings; the platform writes them to a file.
fn run_gateway(only_check: bool) -> miette::Result<ExitCode> {
    let settings = platform::Settings::path_from_env().and_then(|path| {
        let settings = platform::Settings::read(&path)?;
        Ok((path, settings))
    });
    let (path, settings) = match settings {
        Ok(read) => read,
        Err(error) => return Ok(report_invalid(&miette::miette!("{error}"))),
    };
    if only_check {
        println!("the settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    let instance = settings.instance.clone();
    let log = logging::start(log::LevelFilter::Info, "gateway", instance).into_diagnostic()?;
    let result = gateway::run(path, settings);
    log.finish();
    result.into_diagnostic()?;
    Ok(ExitCode::SUCCESS)
}

fn run_role(settings: Settings) -> miette::Result<()> {
    match settings {
        Settings::Router(settings) => {
            let instance = settings.common.instance.to_string();
            let level = settings.common.log_level;
            let log = logging::start(level, "router", instance).into_diagnostic()?;
            let result = router::run(settings);
            log.finish();
            result.into_diagnostic()
        }
        Settings::Sidecar(settings) => {
            let instance = settings.common.instance.to_string();
            let level = settings.common.log_level;
            let log = logging::start(level, "sidecar", instance).into_diagnostic()?;
            let result = sidecar::run(settings);
            log.finish();
            result.into_diagnostic()
        }
    }
}

fn parse_role(name: &str) -> Option<Role> {
    match name {
        "router" => Some(Role::Router),
        "sidecar" => Some(Role::Sidecar),
        _ => None,
    }
}

fn flags(role: Option<&Role>) -> Vec<&'static Flag> {
    let of_role = match role {
        Some(Role::Router) => settings::router::FLAGS,
        Some(Role::Sidecar) => settings::sidecar::FLAGS,
        None => &[],
    };
    settings::COMMON_FLAGS.iter().chain(of_role).collect()
}

fn options(role: Option<&Role>) -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optflag("", "check-settings", "check the settings and exit");
    for flag in flags(role) {
        let help = match flag.default {
            Some(default) => format!("{} [{default}]", flag.help),
            None => flag.help.to_owned(),
        };
        options.optopt("", flag.name, &help, flag.hint);
    }
    options
}

fn read_settings(role: &Role, matches: &Matches) -> Result<Settings, Problems> {
    let variable = |name: &str| std::env::var(name).ok();
    let mut source = Source::new(flags(Some(role)), matches, &variable);
    let settings = match role {
        Role::Router => Settings::Router(settings::Router::read(&mut source)),
        Role::Sidecar => Settings::Sidecar(settings::Sidecar::read(&mut source)),
    };
    source.finish(settings)
}

/// Prints the report and returns the exit code for invalid settings.
fn report_invalid(report: &miette::Report) -> ExitCode {
    let diagnostic: &dyn Diagnostic = report.as_ref();
    log::debug!("invalid settings: {diagnostic}");
    eprintln!("{report:?}");
    ExitCode::from(EXIT_INVALID_SETTINGS)
}
