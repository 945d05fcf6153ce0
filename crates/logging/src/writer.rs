//! Non-blocking log writer.
//!
//! Lines go through a bounded queue to a writer thread. When the output is read
//! more slowly than lines are logged, further lines are dropped, and a later
//! line counts them.

use serde_json::json;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::SystemTime;

/// Capacity of the queue, in lines.
pub const MAX_QUEUED_LINES: usize = 1_024;
/// Size in bytes from which a batch is written without adding further lines.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// The sending side of the queue.
pub struct LineWriter {
    tx: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the writer thread.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        thread::spawn(move || write_lines(out, &rx, &writer_dropped));
        Self { tx, dropped }
    }

    /// Queues a line that ends in a newline, or counts it as dropped.
    pub fn write(&self, line: String) {
        match self.tx.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.count_dropped(),
        }
    }

    /// Counts a line that was left out.
    pub fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes lines as they arrive; lines queued at the same time are batched.
fn write_lines(mut out: impl Write, rx: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = rx.recv() {
        let mut batch = first;
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            batch.push_str(&format_dropped(dropped_lines));
        }
        while batch.len() < MAX_BATCH_BYTES
            && let Ok(next) = rx.try_recv()
        {
            batch.push_str(&next);
        }
        let written = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
        if written.is_err() {
            // The output is closed; later lines are dropped at the queue.
            return;
        }
    }
}

fn format_dropped(lines: u64) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    let line = json!({
        "time": time, "level": "WARN", "target": module_path!(),
        "message": "log lines were dropped", "lines": lines,
    });
    format!("{line}\n")
}
