//! Rate-limited structured logging: one JSON object per line, on standard error
//! or standard output.
//!
//! A line has `time` (RFC 3339), `level`, `target`, `message` and the typed
//! fields of its call. Three limits bound the volume: lines per second of each
//! call site ([`limit`]), bytes per second of the process ([`budget`]), and a
//! queue that drops lines instead of blocking when the reader is slower
//! ([`writer`]). A later line counts what was left out. `docs/OPERATIONS.md`
//! lists the events.

pub mod budget;
pub mod limit;
pub mod line;
pub mod panics;
pub mod writer;

use budget::ByteBudget;
use ibiscove_types::{Clock, SystemClock};
use limit::CallSiteLimit;
use std::io;
use std::sync::Mutex;
use writer::LineWriter;

/// Where log lines go.
#[derive(Clone, Copy, Debug)]
pub enum Output {
    /// Standard error, for commands whose result is on standard output.
    Stderr,
    /// Standard output, for processes that print nothing else.
    Stdout,
}

/// Installs the logger: sends lines of at least `level` to `output`, and panics too.
pub fn init(level: log::LevelFilter, output: Output) -> Result<(), log::SetLoggerError> {
    let limit = CallSiteLimit::default();
    let clock = SystemClock;
    let budget = Mutex::new(ByteBudget::new(clock.now()));
    let writer = match output {
        Output::Stderr => LineWriter::start(io::stderr()),
        Output::Stdout => LineWriter::start(io::stdout()),
    };
    // Formatting happens in the output, because fern prints a record unchanged
    // when a formatter skips it.
    let print = fern::Output::call(move |record| {
        let site = (record.file_static().unwrap_or_default(), record.line());
        let now = clock.now();
        let Some(suppressed) = limit.admit(site, now) else {
            return;
        };
        let line = line::format(clock.wall(), record, suppressed);
        let is_warning = record.level() <= log::Level::Warn;
        match budget::lock(&budget).try_take(line.len(), is_warning, now) {
            true => writer.write(line),
            false => writer.count_dropped(),
        }
    });
    panics::log_panics();
    fern::Dispatch::new()
        .level(level)
        .level_for("polling", log::LevelFilter::Warn)
        .level_for("async_io", log::LevelFilter::Warn)
        .level_for("hyper", log::LevelFilter::Warn)
        .level_for("trillium_server_common", log::LevelFilter::Warn)
        .chain(print)
        .apply()
}
