//! Panics as log lines.

use std::panic::{self, PanicHookInfo};

/// The thread whose panic ends the process, so that no line can be relied on.
const MAIN_THREAD: &str = "main";

/// Logs and counts each panic from now on. The usual message goes to standard error only
/// where the process ends, since it reads the whole debug information of the program
/// into memory when it prints a backtrace.
pub fn log_panics() {
    let earlier = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        metrics::counter!("ibiscove_panics_total").increment(1);
        let thread = std::thread::current();
        let thread = thread.name().unwrap_or_default();
        let location = info.location().map(ToString::to_string);
        log::error!(thread = thread, location = location.as_deref().unwrap_or_default();
            "a task has panicked: {}", message(info));
        if thread == MAIN_THREAD {
            earlier(info);
        }
    }));
}

/// Returns the text of a panic; none is known of one whose payload is no text.
fn message<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    info.payload_as_str().unwrap_or("without a message")
}
