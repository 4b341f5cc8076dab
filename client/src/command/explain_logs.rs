//! `explain` with log files: shows the log lines of a request, and the general log lines of the
//! instances that handled it meanwhile.

use {
    crate::outcome::{Code, Outcome},
    serde::Serialize,
    serde_json::{Map, Value},
    std::{
        collections::BTreeSet,
        fs,
        io::{self, BufRead as _, BufReader, Read},
        path::{Path, PathBuf},
    },
};

/// File name that stands for the standard input.
const STANDARD_INPUT: &str = "-";

/// Fields that are not shown among a line's further fields: they are shown in a column of their own
/// or not at all.
const COMMON_FIELDS: [&str; 7] = [
    "time_ms", "level", "role", "instance", "target", "message", "request",
];

/// A parsed log line.
#[derive(Clone, Debug, Serialize)]
struct LogLine {
    time_ms: u64,
    instance: String,
    message: String,
    request: Option<String>,
    fields: Map<String, Value>,
}

/// Runs the command over log files, or the standard input.
pub(super) fn run(request: &str, files: &[PathBuf]) -> Result<Outcome, Outcome> {
    let mut lines = Vec::new();
    for file in files {
        let found = read(file).map_err(|error| {
            let text = format!("cannot read {}: {error}", file.display());
            Outcome::failed(Code::Usage, text)
        })?;
        lines.extend(found);
    }
    lines.sort_by_key(|line| line.time_ms);
    let relevant = relevant(request, &lines);
    if relevant.is_empty() {
        let text = format!("no line of these logs belongs to request {request}");
        return Ok(Outcome::new(Code::NotFound, text, &relevant));
    }
    Ok(Outcome::done(render(&relevant), &relevant))
}

fn read(file: &Path) -> io::Result<Vec<LogLine>> {
    let source: Box<dyn Read> = match file.to_str() {
        Some(STANDARD_INPUT) => Box::new(io::stdin()),
        _ => Box::new(fs::File::open(file)?),
    };
    let mut lines = Vec::new();
    for text in BufReader::new(source).lines() {
        lines.extend(parse(&text?));
    }
    Ok(lines)
}

/// Parses a log line; `None` if the text is not a log line of this system. Anything before the JSON
/// object, such as a prefix added by a log collector, is skipped.
fn parse(text: &str) -> Option<LogLine> {
    let start = text.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
    let field = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
    let line = LogLine {
        time_ms: fields.get("time_ms")?.as_u64()?,
        instance: field("instance")?,
        message: field("message")?,
        request: field("request"),
        fields: Map::new(),
    };
    fields.retain(|name, _| !COMMON_FIELDS.contains(&name.as_str()));
    Some(LogLine { fields, ..line })
}

/// The request's own lines, and the lines without a request that the same instances logged between
/// its first and its last line.
fn relevant<'a>(request: &str, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let is_own = |line: &&LogLine| line.request.as_deref() == Some(request);
    let own: Vec<&LogLine> = lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let span = first.time_ms..=last.time_ms;
    let instances: BTreeSet<&str> = own.iter().map(|line| line.instance.as_str()).collect();
    let is_relevant = |line: &&LogLine| {
        let is_general = line.request.is_none()
            && span.contains(&line.time_ms)
            && instances.contains(line.instance.as_str());
        is_own(line) || is_general
    };
    lines.iter().filter(is_relevant).collect()
}

fn render(lines: &[&LogLine]) -> String {
    let start = lines.first().map_or(0, |line| line.time_ms);
    let rendered = lines.iter().map(|line| {
        let fields: Vec<String> = line
            .fields
            .iter()
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let elapsed = line.time_ms.saturating_sub(start);
        // `~` marks the lines without a request.
        let mark = if line.request.is_some() { ' ' } else { '~' };
        format!(
            "{elapsed:>7} ms {mark} {}: {} {}",
            line.instance,
            line.message,
            fields.join(" ")
        )
    });
    rendered.collect::<Vec<_>>().join("\n")
}
