//! Reads single settings and collects the errors in them.

use {
    super::{
        Flag,
        problem::{Problem, Problems},
    },
    getopts::Matches,
    log::LevelFilter,
    std::{net::SocketAddr, str::FromStr},
};

/// Flags and environment variables, with the errors found while reading them.
pub struct Source<'a> {
    flags: Vec<&'a Flag>,
    matches: &'a Matches,
    variable: &'a dyn Fn(&str) -> Option<String>,
    problems: Vec<Problem>,
}

/// A setting's text with the flag, variable or default that it comes from.
struct RawValue {
    origin: String,
    text: String,
}

impl<'a> Source<'a> {
    /// Creates a source over parsed flags; `variable` looks up an environment variable.
    pub fn new(
        flags: Vec<&'a Flag>,
        matches: &'a Matches,
        variable: &'a dyn Fn(&str) -> Option<String>,
    ) -> Self {
        Self {
            flags,
            matches,
            variable,
            problems: Vec::new(),
        }
    }

    /// Returns `settings`, or all errors if any setting was missing or invalid.
    pub fn finish<T>(self, settings: T) -> Result<T, Problems> {
        if self.problems.is_empty() {
            return Ok(settings);
        }
        Err(Problems {
            problems: self.problems,
        })
    }

    /// Reads a name of letters, digits, `-`, `_` and `.`.
    pub fn name(&mut self, flag: &str) -> String {
        let expected = "a name of letters, digits, '-', '_' or '.'";
        self.read(flag, expected, |text| {
            is_name(text).then(|| text.to_owned())
        })
        .unwrap_or_default()
    }

    /// Reads a comma-separated list of at least one name.
    pub fn names(&mut self, flag: &str) -> Vec<String> {
        let expected = "names separated by commas";
        self.read(flag, expected, |text| {
            let names: Vec<String> = text.split(',').map(str::to_owned).collect();
            names.iter().all(|name| is_name(name)).then_some(names)
        })
        .unwrap_or_default()
    }

    /// Reads an IP address with a port.
    pub fn address(&mut self, flag: &str) -> SocketAddr {
        self.parsed(flag, "an IP address with a port, like 10.0.0.7:7700")
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Reads an `http://` URL and removes trailing slashes.
    pub fn url(&mut self, flag: &str) -> String {
        let expected = "a URL, like http://10.0.0.2:2379";
        self.read(flag, expected, |text| {
            let uri: hyper::Uri = text.parse().ok()?;
            let is_valid = uri.scheme_str() == Some("http") && uri.authority().is_some();
            is_valid.then(|| text.trim_end_matches('/').to_owned())
        })
        .unwrap_or_default()
    }

    /// Reads a whole number above 0.
    pub fn number(&mut self, flag: &str) -> u64 {
        let expected = "a whole number above 0";
        self.read(flag, expected, |text| {
            text.parse().ok().filter(|number| *number > 0)
        })
        .unwrap_or(1)
    }

    /// Records that a part of a setting's value is invalid.
    pub fn reject(&mut self, flag: &str, part: &str, expected: &str) {
        self.problems.push(Problem {
            origin: format!("--{flag}"),
            found: format!("invalid value {part:?}"),
            expected: expected.into(),
        });
    }

    /// Reads a log level.
    pub fn log_level(&mut self, flag: &str) -> LevelFilter {
        self.parsed(flag, "error, warn, info, debug or trace")
            .unwrap_or(LevelFilter::Info)
    }

    /// Reads a value of any type that parses from text.
    pub fn parsed<T: FromStr>(&mut self, flag: &str, expected: &str) -> Option<T> {
        self.read(flag, expected, |text| text.parse().ok())
    }

    fn read<T>(
        &mut self,
        flag: &str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let Some(raw) = self.find(flag) else {
            self.problems.push(Problem {
                origin: format!("--{flag}"),
                found: "missing".into(),
                expected: expected.into(),
            });
            return None;
        };
        let parsed = parse(&raw.text);
        if parsed.is_none() {
            self.problems.push(Problem {
                origin: raw.origin,
                found: format!("invalid value {:?}", raw.text),
                expected: expected.into(),
            });
        }
        parsed
    }

    fn find(&self, name: &str) -> Option<RawValue> {
        if let Some(text) = self.matches.opt_str(name) {
            return Some(RawValue {
                origin: format!("--{name}"),
                text,
            });
        }
        let flag = self.flags.iter().find(|flag| flag.name == name)?;
        let variable = flag.variable_name();
        if let Some(text) = (self.variable)(&variable) {
            return Some(RawValue {
                origin: variable,
                text,
            });
        }
        let text = flag.default?.to_owned();
        Some(RawValue {
            origin: format!("default of --{name}"),
            text,
        })
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text
            .chars()
            .all(|letter| letter.is_ascii_alphanumeric() || "-_.".contains(letter))
}
