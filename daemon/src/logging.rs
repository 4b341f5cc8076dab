//! Logging as JSON lines to the standard output.

mod writer;

use {
    self::writer::Writer,
    crate::worker::Worker,
    log::{
        LevelFilter, Record,
        kv::{self, Key, Value, VisitSource},
    },
    serde_json::Map,
    std::{
        fmt::Arguments,
        io,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Longest text in a field of a line, in bytes. Errors quote what they were given, which may be as
/// large as the largest body; the beginning tells what it is.
const MAX_TEXT_BYTES: usize = 4 * 1024;

/// Handle of the running logger; [`Self::finish`] writes the lines that are still queued.
pub struct Log {
    writer: Writer,
    worker: Worker,
}

impl Log {
    /// Waits until all queued lines are written. Later lines are discarded.
    pub fn finish(self) {
        self.writer.close();
        self.worker.join();
    }
}

/// Starts logging at `level`; each line carries the role and the instance's name.
///
/// Fails when a logger is already installed or the thread cannot be started.
pub fn start(level: LevelFilter, role: &'static str, instance: String) -> io::Result<Log> {
    let (writer, worker) = Writer::spawn()?;
    let output = writer.clone();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("tamarackdaled", level)
        .format(move |out, message, record| {
            out.finish(format_args!(
                "{}",
                format_line(role, &instance, message, record)
            ));
        })
        .chain(fern::Output::call(move |record| output.write(record)))
        .apply()
        .map_err(io::Error::other)?;
    Ok(Log { writer, worker })
}

fn format_line(
    role: &str,
    instance: &str,
    message: &Arguments<'_>,
    record: &Record<'_>,
) -> serde_json::Value {
    let mut fields = Map::new();
    fields.insert("time_ms".into(), unix_millis().into());
    fields.insert("level".into(), record.level().as_str().into());
    fields.insert("role".into(), role.into());
    fields.insert("instance".into(), instance.into());
    fields.insert("target".into(), record.target().into());
    fields.insert("message".into(), shortened(message.to_string()).into());
    let mut visitor = JsonVisitor(&mut fields);
    // The visitor accepts every pair, so the visit cannot fail.
    let _ = record.key_values().visit(&mut visitor);
    fields.into()
}

/// The text, or its beginning and its length if it is too long.
fn shortened(mut text: String) -> String {
    let length = text.len();
    if length > MAX_TEXT_BYTES {
        text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
        text.push_str(&format!("... ({length} bytes)"));
    }
    text
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Adds a record's key-value pairs to a JSON object.
struct JsonVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            shortened(value.to_string()).into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
