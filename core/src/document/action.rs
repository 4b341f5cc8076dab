//! Actions that are not idempotent.

use {derive_more::Display, percent_encoding::percent_decode_str, std::borrow::Cow};

/// Wildcard that matches every method.
pub const ANY_METHOD: &str = "*";

/// Pattern of requests that must never run twice: a method and a path below the service's name.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{method} {path}")]
pub struct Action {
    /// HTTP method in upper case, or [`ANY_METHOD`].
    pub method: String,
    /// Path; a trailing `*` matches any suffix.
    pub path: String,
}

impl Action {
    /// Whether a request matches the action.
    ///
    /// Equivalent spellings of a path match too: percent encoding, repeated and trailing slashes,
    /// dot segments and letter case. A false positive only costs a claim, whereas a false negative
    /// could run an action twice.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let is_method = self.method == ANY_METHOD || self.method.eq_ignore_ascii_case(method);
        is_method && (self.matches_path(without_query(path)) || self.matches_path(&decoded(path)))
    }

    /// Whether this action matches every request that `other` matches.
    pub fn covers(&self, other: &Self) -> bool {
        let is_method = self.method == ANY_METHOD || self.method == other.method;
        let is_path = match self.path.strip_suffix('*') {
            Some(prefix) => other.path.starts_with(prefix),
            None => self.path == other.path,
        };
        is_method && is_path
    }

    fn matches_path(&self, path: &str) -> bool {
        let path = normalised(path);
        match self.path.strip_suffix('*') {
            Some(prefix) => {
                let prefix = prefix.to_lowercase();
                path.starts_with(&prefix) || path == prefix.trim_end_matches('/')
            }
            None => path == normalised(&self.path),
        }
    }
}

fn without_query(path: &str) -> &str {
    path.split(['?', '#']).next().unwrap_or(path)
}

fn decoded(path: &str) -> Cow<'_, str> {
    percent_decode_str(without_query(path)).decode_utf8_lossy()
}

/// Resolves dot segments, collapses repeated slashes, removes a trailing slash and converts to
/// lower case.
fn normalised(path: &str) -> String {
    let mut segments: Vec<&str> = Vec::new();
    for segment in path.split('/') {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            segment => segments.push(segment),
        }
    }
    format!("/{}", segments.join("/")).to_lowercase()
}
