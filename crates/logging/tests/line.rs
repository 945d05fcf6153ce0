//! Formatting of log lines with unusual content.

use ibiscove_logging::line::{MAX_FIELD_BYTES, format};
use log::{Level, Record};
use serde_json::Value;
use std::time::SystemTime;
use yare::parameterized;

fn format_with_id(id: &str) -> String {
    let fields = [("request", id)];
    let record = Record::builder()
        .level(Level::Info)
        .target("ibiscove")
        .args(format_args!("request refused"))
        .key_values(&fields)
        .build();
    format(SystemTime::UNIX_EPOCH, &record, 0)
}

#[parameterized(
    plain = { "9638af3ce38a1ac8" },
    quotes = { "\"},{\"level\":\"ERROR" },
    newlines = { "a\nb\r\nc" },
    control = { "\u{0}\u{1b}[31m" },
    letters = { "réservation-ß-東" },
)]
fn an_id_of_any_content_stays_one_field_of_one_line(id: &str) {
    let line = format_with_id(id);
    assert_eq!(line.matches('\n').count(), 1, "{line:?}");
    let line: Value = serde_json::from_str(&line).expect("it is JSON");
    assert_eq!(line["request"], id);
    assert_eq!(line["level"], "INFO");
    assert_eq!(line["time"], "1970-01-01T00:00:00.000Z");
}

#[parameterized(
    ascii = { "x" },
    wide = { "東" },
)]
fn a_text_of_ten_kilobytes_is_truncated(letter: &str) {
    let line = format_with_id(&letter.repeat(10_000));
    assert!(line.len() < 2 * MAX_FIELD_BYTES, "{} bytes", line.len());
    let line: Value = serde_json::from_str(&line).expect("it is JSON");
    let id = line["request"].as_str().expect("it is text");
    assert!(id.ends_with('…') && id.starts_with(letter));
}
