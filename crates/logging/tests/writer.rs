//! A reader of the log that is slow, stuck or gone.

use ibiscove_logging::writer::{LineWriter, MAX_WAITING};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lines that a storm writes, far more than wait in the queue.
const STORM: usize = 100_000;
/// A caller that waited even once for a stuck reader would wait forever; the
/// bound allows for a busy machine.
const NO_WAIT: Duration = Duration::from_secs(5);

/// An output that lets one write through for each `()` that it is sent.
struct Stuck {
    rx: Receiver<()>,
    written: Arc<Mutex<String>>,
}

impl Write for Stuck {
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

fn stuck() -> (Stuck, Sender<()>, Arc<Mutex<String>>) {
    let (tx, rx) = channel();
    let written = Arc::new(Mutex::new(String::new()));
    let out = Stuck {
        rx,
        written: Arc::clone(&written),
    };
    (out, tx, written)
}

fn storm(writer: &LineWriter) -> Duration {
    let began = Instant::now();
    for i in 0..STORM {
        writer.write(format!("line {i}\n"));
    }
    began.elapsed()
}

#[test]
fn a_stuck_reader_delays_nobody_and_the_lost_lines_are_counted() {
    let (out, tx, written) = stuck();
    let writer = LineWriter::start(out);
    let took = storm(&writer);
    assert!(took < NO_WAIT, "the storm took {took:?}");
    // The reader is back: what waited comes out, and the next line tells of the
    // rest.
    for _ in 0..STORM {
        let _ = tx.send(());
    }
    let deadline = Instant::now() + NO_WAIT;
    loop {
        writer.write("line after the storm\n".to_owned());
        let text = written.lock().expect("no writer panics").clone();
        let written = text.lines().filter(|line| line.starts_with("line "));
        let after = text.matches("line after the storm").count();
        if written.count() - after + lost(&text) == STORM {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "every line is written or counted"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Lines that the output says were dropped.
fn lost(text: &str) -> usize {
    let told = text.lines().filter(|line| line.contains("were dropped"));
    let counts = told.map(|line| {
        let line: serde_json::Value = serde_json::from_str(line).expect("it is JSON");
        line["lines"].as_u64().expect("it counts") as usize
    });
    counts.sum()
}

#[test]
fn a_reader_that_is_gone_delays_nobody() {
    let (out, tx, _) = stuck();
    drop(tx);
    let took = storm(&LineWriter::start(out));
    assert!(took < NO_WAIT, "the storm took {took:?}");
}

#[test]
fn lines_of_a_reader_that_keeps_up_come_whole_and_in_order() {
    let (out, tx, written) = stuck();
    let writer = LineWriter::start(out);
    let mut expected = String::new();
    for i in 0..MAX_WAITING / 2 {
        let line = format!("line {i}\n");
        expected.push_str(&line);
        writer.write(line);
        tx.send(()).expect("the output takes writes");
    }
    let deadline = Instant::now() + NO_WAIT;
    while *written.lock().expect("no writer panics") != expected {
        assert!(Instant::now() < deadline, "all lines come");
        std::thread::sleep(Duration::from_millis(10));
    }
}
