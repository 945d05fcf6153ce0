//! Log lines: one JSON object each, on standard error or standard output.
//!
//! A line has `time` (RFC 3339), `level`, `target`, `message` and the typed
//! fields of its call. A call site that repeats itself is limited
//! ([`crate::log_limit`]); the next line that it prints says in `suppressed`
//! how many were left out.

use crate::line_writer::LineWriter;
use crate::log_limit::LogLimit;
use ibiscove_types::{Clock, SystemClock};
use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, json};

/// Where log lines go.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Output {
    /// For commands whose result is on standard output.
    Stderr,
    /// For processes that print nothing else.
    Stdout,
}

/// Sends log lines of at least `level` to `output`.
pub(crate) fn init(level: log::LevelFilter, output: Output) -> Result<(), log::SetLoggerError> {
    let limit = LogLimit::default();
    let writer = LineWriter::start(output);
    let clock = SystemClock;
    // The line is made by the output itself: a formatter that leaves a record
    // out would have fern print it as it is.
    let print = fern::Output::call(move |record| {
        let site = (record.file_static().unwrap_or_default(), record.line());
        if let Some(suppressed) = limit.pass(site, clock.now()) {
            writer.write(line(&clock, record.args(), record, suppressed));
        }
    });
    fern::Dispatch::new()
        .level(level)
        .level_for("polling", log::LevelFilter::Warn)
        .level_for("async_io", log::LevelFilter::Warn)
        .level_for("hyper", log::LevelFilter::Warn)
        .level_for("trillium_server_common", log::LevelFilter::Warn)
        .chain(print)
        .apply()
}

fn line(
    clock: &impl Clock,
    message: &std::fmt::Arguments<'_>,
    record: &log::Record<'_>,
    suppressed: u64,
) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    // A field that cannot be read must not cost the line.
    let _ = record.key_values().visit(&mut fields);
    let mut fields = fields.0;
    let time = humantime::format_rfc3339_millis(clock.wall()).to_string();
    fields.insert("time".to_owned(), json!(time));
    fields.insert("level".to_owned(), json!(record.level().as_str()));
    fields.insert("target".to_owned(), json!(record.target()));
    fields.insert("message".to_owned(), json!(message.to_string()));
    if suppressed > 0 {
        fields.insert("suppressed".to_owned(), json!(suppressed));
    }
    serde_json::Value::Object(fields)
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = if let Some(flag) = value.to_bool() {
            json!(flag)
        } else if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_i64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!(number)
        } else {
            json!(value.to_string())
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
