//! A limit on the lines that one call site may print.
//!
//! A fault that strikes every request must neither fill the log nor slow the
//! node, and must still be seen. The state grows with the call sites of the
//! program, never with its traffic.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Where a log call stands: its file and line.
pub type CallSite = (&'static str, Option<u32>);

/// Lines that one call site may print in a window.
pub const MAX_LINES: u32 = 20;
/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(1);

struct Window {
    began: Instant,
    printed: u32,
    suppressed: u64,
}

/// Counts lines by call site.
#[derive(Default)]
pub struct LogLimit {
    windows: Mutex<HashMap<CallSite, Window>>,
}

impl LogLimit {
    /// Whether a line may be printed: gives how many lines of its call site
    /// were suppressed since the last one printed, or none to suppress it too.
    pub fn pass(&self, site: CallSite, now: Instant) -> Option<u64> {
        // A panic elsewhere must not silence the log.
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(site).or_insert(Window {
            began: now,
            printed: 0,
            suppressed: 0,
        });
        if now.saturating_duration_since(window.began) >= WINDOW {
            window.began = now;
            window.printed = 0;
        }
        if window.printed >= MAX_LINES {
            window.suppressed += 1;
            return None;
        }
        window.printed += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
