//! `explain` over logs: what became of a request, and what its processes noticed meanwhile.

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

/// Name that stands for the standard input.
const STANDARD_INPUT: &str = "-";

/// Fields that every line has, which are shown apart or not at all.
const COMMON: [&str; 7] = [
    "time_ms", "level", "role", "instance", "target", "message", "request",
];

/// One line of a log.
#[derive(Clone, Debug, Serialize)]
struct Line {
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
    let story = story(request, &lines);
    if story.is_empty() {
        let text = format!("no line of these logs tells of request {request}");
        return Ok(Outcome::new(Code::NotFound, text, &story));
    }
    Ok(Outcome::done(show(&story), &story))
}

fn read(file: &Path) -> io::Result<Vec<Line>> {
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

/// A line of a process; none if the text is something else. What a collector put before the JSON
/// is skipped.
fn parse(text: &str) -> Option<Line> {
    let start = text.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
    let field = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
    let line = Line {
        time_ms: fields.get("time_ms")?.as_u64()?,
        instance: field("instance")?,
        message: field("message")?,
        request: field("request"),
        fields: Map::new(),
    };
    fields.retain(|name, _| !COMMON.contains(&name.as_str()));
    Some(Line { fields, ..line })
}

/// The request's own lines, and those of the same processes between its first and its last line
/// that tell of no request.
fn story<'a>(request: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let is_own = |line: &&Line| line.request.as_deref() == Some(request);
    let own: Vec<&Line> = lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let span = first.time_ms..=last.time_ms;
    let instances: BTreeSet<&str> = own.iter().map(|line| line.instance.as_str()).collect();
    let is_told = |line: &&Line| {
        let is_aside = line.request.is_none()
            && span.contains(&line.time_ms)
            && instances.contains(line.instance.as_str());
        is_own(line) || is_aside
    };
    lines.iter().filter(is_told).collect()
}

fn show(story: &[&Line]) -> String {
    let start = story.first().map_or(0, |line| line.time_ms);
    let lines = story.iter().map(|line| {
        let fields: Vec<String> = line
            .fields
            .iter()
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let after = line.time_ms.saturating_sub(start);
        let mark = if line.request.is_some() { ' ' } else { '~' };
        format!(
            "{after:>7} ms {mark} {}: {} {}",
            line.instance,
            line.message,
            fields.join(" ")
        )
    });
    lines.collect::<Vec<_>>().join("\n")
}
