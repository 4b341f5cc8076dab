//! Logs as JSON lines on the standard output.

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

/// Running log; [`Self::finish`] writes what is left.
pub struct Log {
    writer: Writer,
    duty: Worker,
}

impl Log {
    /// Waits until all lines are written. None is taken after that.
    pub fn finish(self) {
        self.writer.end();
        self.duty.join();
    }
}

/// Starts logging at `level`; lines carry the role and the instance's name.
///
/// Fails when a logger is already set or no thread can be had.
pub fn start(level: LevelFilter, role: &'static str, instance: String) -> io::Result<Log> {
    let (writer, duty) = Writer::spawn()?;
    let output = writer.clone();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("tamarackdaled", level)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", line(role, &instance, message, record)));
        })
        .chain(fern::Output::call(move |record| output.take(record)))
        .apply()
        .map_err(io::Error::other)?;
    Ok(Log { writer, duty })
}

fn line(
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
    fields.insert("message".into(), message.to_string().into());
    let mut collector = Collector(&mut fields);
    // The collector accepts every pair, so the visit cannot fail.
    let _ = record.key_values().visit(&mut collector);
    fields.into()
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

struct Collector<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Collector<'_> {
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
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
