//! Settings of the client, from flags and environment variables. A flag takes precedence over its
//! variable.

use {
    crate::outcome::{Code, Outcome},
    getopts::{Matches, Options},
    std::{path::PathBuf, str::FromStr, time::Duration},
};

const USAGE: &str = "Usage:
    tamarackdale check FILE          check a document; needs no network
    tamarackdale get SERVICE         print a document with the revision it is edited from
    tamarackdale apply FILE          write an edited document and wait until it is in force
    tamarackdale status [SERVICE]    show every instance with its state, revision and age
    tamarackdale explain REQUEST-ID  show the routing decisions on a request
    tamarackdale explain REQUEST-ID FILE...
                                     show a request's lines in log files, or - for the standard
                                     input

Exit codes: 0 done, 1 invalid document, 2 usage, 3 another operator came first, 4 unavailable,
5 outcome unknown, 6 not in force everywhere, 7 not found, 8 dangerous change, 9 refused.

Options marked * can also be set by an environment variable: --instance-list by
TAMARACKDALE_INSTANCE_LIST, and so on. An option takes precedence over its variable.";

const DEFAULT_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_WAIT_S: u64 = 10;

/// What the command line asks for.
pub enum Invocation {
    /// Run a command.
    Run(Settings),
    /// Print a text, such as the help.
    Print(String),
}

/// One command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Validate a document.
    Check(PathBuf),
    /// Print a service's document, for editing.
    Get(String),
    /// Write an edited document.
    Apply {
        /// The file.
        file: PathBuf,
        /// Revision that the file was edited from; if `None`, the one in the file's header.
        revision: Option<i64>,
        /// Whether dangerous changes are allowed.
        allow_dangerous: bool,
    },
    /// Show the instances, of one service or of all.
    Status(Option<String>),
    /// Show the routing decisions on a request.
    Explain(String),
    /// Show a request's lines in log files.
    ExplainLogs {
        /// The request's identifier.
        request: String,
        /// Log files; `-` stands for the standard input.
        files: Vec<PathBuf>,
    },
}

/// Settings of one run of the client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Command to run.
    pub command: Command,
    /// URL of the key-value store; empty if the command needs none.
    pub store: String,
    /// URL of the instance list; empty if the command needs none.
    pub instance_list: String,
    /// Timeout of each call.
    pub timeout: Duration,
    /// Longest time that `apply` waits for a document to be in force on all instances.
    pub wait: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// Looks up an environment variable.
type EnvLookup<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Reads and checks the settings.
///
/// # Errors
///
/// An outcome with [`Code::Usage`], whose message names the wrong setting and what is expected.
pub fn read(arguments: &[String], variable: EnvLookup<'_>) -> Result<Invocation, Outcome> {
    let options = options();
    let matches = options
        .parse(arguments)
        .map_err(|error| usage_error(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Invocation::Print(options.usage(USAGE)));
    }
    if matches.opt_present("version") {
        return Ok(Invocation::Print(format!(
            "tamarackdale {}",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let sources = Sources {
        matches: &matches,
        variable,
    };
    Ok(Invocation::Run(sources.settings()?))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt("", "store", "* key-value store", "URL");
    options.optopt("", "instance-list", "* instance list", "URL");
    options.optopt("", "timeout-ms", "* timeout of each call [1000]", "MS");
    options.optopt("", "wait-s", "* longest wait of apply [10]", "SECONDS");
    options.optopt(
        "",
        "revision",
        "revision that the file was edited from",
        "N",
    );
    options.optflag("", "allow-dangerous", "apply a dangerous change");
    options.optflag("", "json", "print JSON");
    options
}

fn usage_error(problem: impl Into<String>) -> Outcome {
    let text = format!("{}; see tamarackdale --help", problem.into());
    Outcome::failed(Code::Usage, text)
}

/// Sources of the settings: the parsed command line and the environment.
struct Sources<'a> {
    matches: &'a Matches,
    variable: EnvLookup<'a>,
}

impl Sources<'_> {
    fn settings(&self) -> Result<Settings, Outcome> {
        let command = self.command()?;
        let (needs_store, needs_list) = match &command {
            Command::Check(_) | Command::ExplainLogs { .. } => (false, false),
            Command::Get(_) => (true, false),
            Command::Apply { .. } | Command::Status(_) => (true, true),
            Command::Explain(_) => (false, true),
        };
        Ok(Settings {
            command,
            store: self.url("store", needs_store)?,
            instance_list: self.url("instance-list", needs_list)?,
            timeout: Duration::from_millis(
                self.number("timeout-ms")?.unwrap_or(DEFAULT_TIMEOUT_MS),
            ),
            wait: Duration::from_secs(self.number("wait-s")?.unwrap_or(DEFAULT_WAIT_S)),
            json: self.matches.opt_present("json"),
        })
    }

    fn command(&self) -> Result<Command, Outcome> {
        let positional: Vec<&str> = self.matches.free.iter().map(String::as_str).collect();
        match positional.as_slice() {
            ["check", file] => Ok(Command::Check(file.into())),
            ["get", service] => Ok(Command::Get((*service).to_owned())),
            ["apply", file] => Ok(Command::Apply {
                file: file.into(),
                revision: self.number("revision")?,
                allow_dangerous: self.matches.opt_present("allow-dangerous"),
            }),
            ["status"] => Ok(Command::Status(None)),
            ["status", service] => Ok(Command::Status(Some((*service).to_owned()))),
            ["explain", request] => Ok(Command::Explain((*request).to_owned())),
            ["explain", request, files @ ..] => Ok(Command::ExplainLogs {
                request: (*request).to_owned(),
                files: files.iter().map(PathBuf::from).collect(),
            }),
            [] => Err(usage_error("no command given")),
            [name, ..] => Err(usage_error(format!(
                "unknown command or wrong arguments: {name:?}"
            ))),
        }
    }

    fn url(&self, flag: &str, needed: bool) -> Result<String, Outcome> {
        match self.find(flag) {
            None if needed => Err(usage_error(format!("--{flag} is missing"))),
            None => Ok(String::new()),
            Some((_, text)) if text.starts_with("http://") => Ok(text),
            Some((origin, text)) => Err(usage_error(format!(
                "{origin} is {text:?}, expected a URL like http://10.0.0.2:2379"
            ))),
        }
    }

    fn number<T: FromStr>(&self, flag: &str) -> Result<Option<T>, Outcome> {
        let Some((origin, text)) = self.find(flag) else {
            return Ok(None);
        };
        text.parse()
            .map(Some)
            .map_err(|_| usage_error(format!("{origin} is {text:?}, expected a whole number")))
    }

    /// The text of a setting, with the name of the flag or variable that it comes from.
    fn find(&self, flag: &str) -> Option<(String, String)> {
        if let Some(text) = self.matches.opt_str(flag) {
            return Some((format!("--{flag}"), text));
        }
        let name = format!("TAMARACKDALE_{}", flag.replace('-', "_").to_uppercase());
        let text = (self.variable)(&name)?;
        Some((name, text))
    }
}
