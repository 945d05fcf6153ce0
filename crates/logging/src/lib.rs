//! Log lines: one JSON object each, on standard error or standard output.
//!
//! A line has `time` (RFC 3339), `level`, `target`, `message` and the typed
//! fields of its call. Three limits keep the volume bounded whatever happens:
//! each call site may print so many lines a second ([`limit`]), the process so
//! many bytes a second ([`budget`]), and a reader that is slower than that
//! costs lines, never time ([`writer`]). What is left out is counted in a later
//! line. `docs/OPERATIONS.md` lists the events.

pub mod budget;
pub mod limit;
pub mod line;
pub mod writer;

use budget::ByteBudget;
use ibiscove_types::{Clock, SystemClock};
use limit::LogLimit;
use std::io;
use std::sync::Mutex;
use writer::LineWriter;

/// Where log lines go.
#[derive(Clone, Copy, Debug)]
pub enum Output {
    /// For commands whose result is on standard output.
    Stderr,
    /// For processes that print nothing else.
    Stdout,
}

/// Sends log lines of at least `level` to `output`.
pub fn init(level: log::LevelFilter, output: Output) -> Result<(), log::SetLoggerError> {
    let limit = LogLimit::default();
    let clock = SystemClock;
    let budget = Mutex::new(ByteBudget::new(clock.now()));
    let writer = match output {
        Output::Stderr => LineWriter::start(io::stderr()),
        Output::Stdout => LineWriter::start(io::stdout()),
    };
    // The line is made by the output itself: a formatter that leaves a record
    // out would have fern print it as it is.
    let print = fern::Output::call(move |record| {
        let site = (record.file_static().unwrap_or_default(), record.line());
        let now = clock.now();
        let Some(suppressed) = limit.pass(site, now) else {
            return;
        };
        let line = line::format(clock.wall(), record, suppressed);
        let is_urgent = record.level() <= log::Level::Warn;
        match budget::lock(&budget).take(line.len(), is_urgent, now) {
            true => writer.write(line),
            false => writer.count_dropped(),
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
