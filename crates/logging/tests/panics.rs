//! A panic in a task leaves a log line that says where and why.

use ibiscove_logging::panics::log_panics;
use std::sync::Mutex;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Recorder;

impl log::Log for Recorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let location = record.key_values().get("location".into());
        let location = location.map(|value| value.to_string()).unwrap_or_default();
        let line = format!("{} {} {location}", record.level(), record.args());
        LINES.lock().expect("no holder panics").push(line);
    }

    fn flush(&self) {}
}

#[test]
fn panic_of_another_thread_is_logged() {
    log::set_logger(&Recorder).expect("no other logger");
    log::set_max_level(log::LevelFilter::Info);
    log_panics();
    let panicking = std::thread::spawn(|| panic!("code {}", 600));
    assert!(panicking.join().is_err());
    let lines = LINES.lock().expect("no holder panics");
    let [line] = &lines[..] else {
        panic!("one line is expected: {lines:?}");
    };
    assert!(
        line.starts_with("ERROR a task has panicked: code 600 "),
        "{line}"
    );
    assert!(line.contains("panics.rs"), "{line}");
}
