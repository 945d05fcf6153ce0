//! Rate limit of log lines for each call site.
//!
//! A fault that affects every request must neither flood the log nor slow the
//! node, but must remain visible. The state grows with the number of call sites
//! in the program, not with traffic.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// File and line of a log call.
pub type CallSite = (&'static str, Option<u32>);

/// Maximum number of lines of one call site in a window.
pub const MAX_LINES_PER_WINDOW: u32 = 20;
/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(1);

struct Window {
    started_at: Instant,
    printed: u32,
    suppressed: u64,
}

/// A fixed-window rate limiter with one window for each call site.
#[derive(Default)]
pub struct CallSiteLimit {
    windows: Mutex<HashMap<CallSite, Window>>,
}

impl CallSiteLimit {
    /// Counts a line and decides whether it may be printed. Returns the number
    /// of lines of its call site suppressed since the last printed one, or none
    /// if this line is suppressed too.
    pub fn admit(&self, site: CallSite, now: Instant) -> Option<u64> {
        // A panic elsewhere must not disable logging.
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(site).or_insert(Window {
            started_at: now,
            printed: 0,
            suppressed: 0,
        });
        if now.saturating_duration_since(window.started_at) >= WINDOW {
            window.started_at = now;
            window.printed = 0;
        }
        if window.printed >= MAX_LINES_PER_WINDOW {
            window.suppressed += 1;
            return None;
        }
        window.printed += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
