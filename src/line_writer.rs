//! Writes log lines without ever making their callers wait.
//!
//! Lines go through a bounded queue to a thread of their own. When whoever
//! reads the output is slower than the lines come, further ones are dropped,
//! and a later line says how many.

use crate::logging::Output;
use serde_json::json;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Lines that wait to be written.
const MAX_WAITING: usize = 1_024;
/// Longest line, in bytes; the rest of a longer one is cut off.
const MAX_LINE: usize = 4 << 10;
/// Bytes that are written at a time.
const MAX_BATCH: usize = 64 << 10;

/// The queue's end at which lines come in.
pub(crate) struct LineWriter {
    tx: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the thread that writes.
    pub(crate) fn start(output: Output) -> Self {
        let (tx, rx) = sync_channel(MAX_WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::spawn(move || match output {
            Output::Stderr => write_all(io::stderr(), &rx, &counted),
            Output::Stdout => write_all(io::stdout(), &rx, &counted),
        });
        Self { tx, dropped }
    }

    /// Writes a line, or counts it as dropped.
    pub(crate) fn write(&self, line: serde_json::Value) {
        let mut line = line.to_string();
        if line.len() > MAX_LINE {
            line = json!({ "message": "a log line was too long", "bytes": line.len() }).to_string();
        }
        line.push('\n');
        match self.tx.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Writes lines as they come, those that wait together in one call.
fn write_all(mut out: impl Write, rx: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = rx.recv() {
        let mut batch = first;
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line =
                json!({ "level": "WARN", "message": "log lines were dropped", "lines": lost });
            batch.push_str(&format!("{line}\n"));
        }
        while batch.len() < MAX_BATCH
            && let Ok(next) = rx.try_recv()
        {
            batch.push_str(&next);
        }
        if out
            .write_all(batch.as_bytes())
            .and_then(|()| out.flush())
            .is_err()
        {
            // Nobody reads any more; what follows is dropped at the queue.
            return;
        }
    }
}
