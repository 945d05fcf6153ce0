//! Parsing of log files, which may hold lines of several processes, lines
//! truncated at either end, several JSON objects in one line, or other text.

use serde::Serialize;
use serde_json::{Deserializer, Map, Value};
use std::time::SystemTime;

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time of writing, by the clock of the process's machine.
    pub time: SystemTime,
    /// The process that wrote it: the name of its node if known, else the label
    /// of its file.
    pub process: String,
    /// The message text.
    pub message: String,
    /// All other fields of the line.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Returns a field as text; numbers are converted.
    pub fn text(&self, field: &str) -> Option<String> {
        match self.fields.get(field)? {
            Value::String(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }

    /// Returns a field as an integer; text is parsed.
    pub fn number(&self, field: &str) -> Option<u64> {
        match self.fields.get(field)? {
            Value::String(text) => text.parse().ok(),
            Value::Number(number) => number.as_u64(),
            _ => None,
        }
    }
}

/// The parsed lines of several files.
#[derive(Clone, Debug, Default)]
pub struct Log {
    lines: Vec<Line>,
    counts: Counts,
}

/// Counts of parsed and missing lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Valid log lines.
    pub lines: usize,
    /// File lines that are not, or not only, valid log lines.
    pub unreadable: usize,
    /// Lines that processes reported as suppressed or dropped.
    pub left_out: u64,
}

impl Log {
    /// Parses the text of one file. `label` identifies the process unless a
    /// line names its node.
    ///
    /// A file may hold lines of several processes if each line begins with the
    /// name of its process, as log collectors commonly write them.
    pub fn add(&mut self, label: &str, text: &str) {
        let first = self.lines.len();
        for row in text.lines().filter(|row| !row.trim().is_empty()) {
            self.parse_row(label, row);
        }
        self.name_processes(first);
    }

    /// Returns all lines, oldest first, and the counts. Lines with equal times
    /// keep the order in which they were added.
    pub fn into_ordered(self) -> (Vec<Line>, Counts) {
        let mut lines = self.lines;
        lines.sort_by_key(|line| line.time);
        (lines, self.counts)
    }

    fn parse_row(&mut self, label: &str, row: &str) {
        let start = row.find('{').unwrap_or(row.len());
        // Collectors prefix a line with a time, a name and a separator.
        let words = row[..start].split_whitespace();
        let mut names = words.filter(|word| word.chars().any(char::is_alphanumeric));
        let label = names.next_back().unwrap_or(label);
        // A truncated object may be followed by a complete one.
        let mut rest = &row[start..];
        let mut has_line = false;
        let mut has_invalid = false;
        while !rest.is_empty() {
            let mut values = Deserializer::from_str(rest).into_iter::<Value>();
            match values.next() {
                Some(Ok(Value::Object(object))) => {
                    rest = rest[values.byte_offset()..].trim_start();
                    match parse_line(label, object, &mut self.counts) {
                        Some(line) => {
                            self.lines.push(line);
                            self.counts.lines += 1;
                            has_line = true;
                        }
                        None => has_invalid = true,
                    }
                }
                _ => {
                    has_invalid = true;
                    rest = match rest[1..].find("{\"") {
                        Some(next) => &rest[next + 1..],
                        None => "",
                    };
                }
            }
        }
        if has_invalid || !has_line {
            self.counts.unreadable += 1;
        }
    }

    /// Names the process of a label's lines after its node, if they name exactly
    /// one. Applies to the lines from index `first`.
    fn name_processes(&mut self, first: usize) {
        let added = &mut self.lines[first..];
        let started = added.iter().filter(|line| line.message == "started");
        let mut node_by_label: Vec<(String, String)> = started
            .filter_map(|line| Some((line.process.clone(), line.text("node")?)))
            .collect();
        node_by_label.sort();
        node_by_label.dedup();
        for line in added {
            let mut names = node_by_label
                .iter()
                .filter(|(label, _)| *label == line.process);
            if let (Some((_, node)), None) = (names.next(), names.next()) {
                line.process.clone_from(node);
            }
        }
    }
}

/// Makes a log line of its JSON object; none if the object is not a log line.
fn parse_line(label: &str, mut object: Map<String, Value>, counts: &mut Counts) -> Option<Line> {
    let mut take = |field: &str| match object.remove(field) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    };
    let message = take("message")?;
    take("level");
    let time = take("time");
    if let Some(lines) = object.get("lines").and_then(Value::as_u64)
        && message == DROPPED_MESSAGE
    {
        counts.left_out += lines;
    }
    if let Some(lines) = object.get("suppressed").and_then(Value::as_u64) {
        counts.left_out += lines;
    }
    let time = humantime::parse_rfc3339_weak(&time?).ok()?;
    object.remove("target");
    Some(Line {
        time,
        process: label.to_owned(),
        message,
        fields: object,
    })
}

/// Message of the line that reports dropped lines.
const DROPPED_MESSAGE: &str = "log lines were dropped";
