//! The log writer when its output is slow, blocked or closed.

use ibiscove_logging::writer::{LineWriter, MAX_QUEUED_LINES};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lines in a burst, far more than the queue holds.
const BURST_LINES: usize = 100_000;
/// A caller that blocked even once on a blocked output would block forever; the
/// limit allows for a loaded machine.
const MAX_DURATION: Duration = Duration::from_secs(5);

/// An output that completes one write for each `()` received.
struct BlockedOutput {
    rx: Receiver<()>,
    written: Arc<Mutex<String>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.rx.recv().map_err(io::Error::other)?;
        let mut written = self.written.lock().expect("no writer panics");
        written.push_str(&String::from_utf8_lossy(buf));
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_output() -> (BlockedOutput, Sender<()>, Arc<Mutex<String>>) {
    let (tx, rx) = channel();
    let written = Arc::new(Mutex::new(String::new()));
    let out = BlockedOutput {
        rx,
        written: Arc::clone(&written),
    };
    (out, tx, written)
}

fn write_burst(writer: &LineWriter) -> Duration {
    let started_at = Instant::now();
    for i in 0..BURST_LINES {
        writer.write(format!("line {i}\n"));
    }
    started_at.elapsed()
}

#[test]
fn a_blocked_output_blocks_no_caller_and_dropped_lines_are_counted() {
    let (out, tx, written) = blocked_output();
    let writer = LineWriter::start(out);
    let took = write_burst(&writer);
    assert!(took < MAX_DURATION, "the burst took {took:?}");
    // The output is unblocked: queued lines are written, and a later line
    // counts the dropped ones.
    for _ in 0..BURST_LINES {
        let _ = tx.send(());
    }
    let deadline = Instant::now() + MAX_DURATION;
    loop {
        writer.write("line after the burst\n".to_owned());
        let text = written.lock().expect("no writer panics").clone();
        let written = text.lines().filter(|line| line.starts_with("line "));
        let after = text.matches("line after the burst").count();
        if written.count() - after + count_dropped(&text) == BURST_LINES {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "every line is written or counted"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the number of lines reported as dropped.
fn count_dropped(text: &str) -> usize {
    let reports = text.lines().filter(|line| line.contains("were dropped"));
    let counts = reports.map(|line| {
        let line: serde_json::Value = serde_json::from_str(line).expect("it is JSON");
        line["lines"].as_u64().expect("it is a count") as usize
    });
    counts.sum()
}

#[test]
fn a_closed_output_blocks_no_caller() {
    let (out, tx, _) = blocked_output();
    drop(tx);
    let took = write_burst(&LineWriter::start(out));
    assert!(took < MAX_DURATION, "the burst took {took:?}");
}

#[test]
fn lines_are_written_completely_and_in_order_if_the_output_keeps_up() {
    let (out, tx, written) = blocked_output();
    let writer = LineWriter::start(out);
    let mut expected = String::new();
    for i in 0..MAX_QUEUED_LINES / 2 {
        let line = format!("line {i}\n");
        expected.push_str(&line);
        writer.write(line);
        tx.send(()).expect("the output accepts writes");
    }
    let deadline = Instant::now() + MAX_DURATION;
    while *written.lock().expect("no writer panics") != expected {
        assert!(Instant::now() < deadline, "all lines are written");
        std::thread::sleep(Duration::from_millis(10));
    }
}
