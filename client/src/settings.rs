//! Settings of the client, from flags and environment variables; a flag wins.

use {
    crate::outcome::{Code, Outcome},
    getopts::{Matches, Options},
    std::{path::PathBuf, str::FromStr, time::Duration},
};

const USAGE: &str = "Usage:
    tamarackdale check FILE          check a document; needs no network
    tamarackdale get SERVICE         print a document with the revision it is edited from
    tamarackdale apply FILE          write an edited document and wait until it is in force
    tamarackdale status [SERVICE]    show every instance, its state, revision and age
    tamarackdale explain REQUEST-ID  show why a request went where it went
    tamarackdale explain REQUEST-ID FILE...
                                     the same from log files, or - for the standard input

Exit codes: 0 done, 1 document wrong, 2 usage, 3 another operator came first, 4 unavailable,
5 outcome unknown, 6 not in force everywhere, 7 not found, 8 dangerous change, 9 refused.

Options marked * can also be set by an environment variable: --instance-list by
TAMARACKDALE_INSTANCE_LIST, and so on. An option wins over its variable.";

const DEFAULT_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_WAIT_S: u64 = 10;

/// What the command line asks for.
pub enum Request {
    /// Run a command.
    Run(Settings),
    /// Print a text, such as the help.
    Print(String),
}

/// One command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Check a file.
    Check(PathBuf),
    /// Print a service's document.
    Get(String),
    /// Write an edited document.
    Apply {
        /// The file.
        file: PathBuf,
        /// Revision edited from; the file's own if not given.
        revision: Option<i64>,
        /// Whether dangerous changes are allowed.
        allow_dangerous: bool,
    },
    /// Show the instances, of one service or of all.
    Status(Option<String>),
    /// Show the decisions on a request.
    Explain(String),
    /// Show what logs tell of a request.
    ExplainLogs {
        /// The request's identifier.
        request: String,
        /// Files with log lines.
        files: Vec<PathBuf>,
    },
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What to do.
    pub command: Command,
    /// URL of the key-value service; empty if the command needs none.
    pub store: String,
    /// URL of the instance list; empty if the command needs none.
    pub instance_list: String,
    /// Bound on each call.
    pub timeout: Duration,
    /// Longest wait for a document to be in force everywhere.
    pub wait: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// Look-up of an environment variable.
type Variable<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Reads and checks the settings.
///
/// # Errors
///
/// A usage outcome that names what is wrong and what is expected.
pub fn read(arguments: &[String], variable: Variable<'_>) -> Result<Request, Outcome> {
    let options = options();
    let matches = options
        .parse(arguments)
        .map_err(|error| wrong(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Request::Print(options.usage(USAGE)));
    }
    if matches.opt_present("version") {
        return Ok(Request::Print(format!(
            "tamarackdale {}",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let source = Source {
        matches: &matches,
        variable,
    };
    Ok(Request::Run(source.settings()?))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt("", "store", "* key-value service", "URL");
    options.optopt("", "instance-list", "* instance list", "URL");
    options.optopt("", "timeout-ms", "* bound on each call [1000]", "MS");
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

fn wrong(problem: impl Into<String>) -> Outcome {
    let text = format!("{}; see tamarackdale --help", problem.into());
    Outcome::failed(Code::Usage, text)
}

struct Source<'a> {
    matches: &'a Matches,
    variable: Variable<'a>,
}

impl Source<'_> {
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
        let words: Vec<&str> = self.matches.free.iter().map(String::as_str).collect();
        match words.as_slice() {
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
            [] => Err(wrong("no command given")),
            [name, ..] => Err(wrong(format!(
                "{name:?} with these arguments is no command"
            ))),
        }
    }

    fn url(&self, flag: &str, needed: bool) -> Result<String, Outcome> {
        match self.find(flag) {
            None if needed => Err(wrong(format!("--{flag} is missing"))),
            None => Ok(String::new()),
            Some((_, text)) if text.starts_with("http://") => Ok(text),
            Some((origin, text)) => Err(wrong(format!(
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
            .map_err(|_| wrong(format!("{origin} is {text:?}, expected a whole number")))
    }

    /// The text of a setting and where it was found.
    fn find(&self, flag: &str) -> Option<(String, String)> {
        if let Some(text) = self.matches.opt_str(flag) {
            return Some((format!("--{flag}"), text));
        }
        let name = format!("TAMARACKDALE_{}", flag.replace('-', "_").to_uppercase());
        let text = (self.variable)(&name)?;
        Some((name, text))
    }
}
