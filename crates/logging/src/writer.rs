//! Writes log lines without ever making their callers wait.
//!
//! Lines go through a bounded queue to a thread of their own. When whoever
//! reads the output is slower than the lines come, further ones are dropped,
//! and a later line says how many.

use serde_json::json;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::SystemTime;

/// Lines that wait to be written.
pub const MAX_WAITING: usize = 1_024;
/// Bytes that are written at a time.
const MAX_BATCH: usize = 64 << 10;

/// The queue's end at which lines come in.
pub struct LineWriter {
    tx: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the thread that writes.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(MAX_WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::spawn(move || write_all(out, &rx, &counted));
        Self { tx, dropped }
    }

    /// Writes a line that ends in a newline, or counts it as dropped.
    pub fn write(&self, line: String) {
        match self.tx.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.count_dropped(),
        }
    }

    /// A line was left out.
    pub fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes lines as they come, those that wait together in one call.
fn write_all(mut out: impl Write, rx: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = rx.recv() {
        let mut batch = first;
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.push_str(&dropped_line(lost));
        }
        while batch.len() < MAX_BATCH
            && let Ok(next) = rx.try_recv()
        {
            batch.push_str(&next);
        }
        let written = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
        if written.is_err() {
            // Nobody reads any more; what follows is dropped at the queue.
            return;
        }
    }
}

fn dropped_line(lines: u64) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    let line = json!({
        "time": time, "level": "WARN", "target": module_path!(),
        "message": "log lines were dropped", "lines": lines,
    });
    format!("{line}\n")
}
