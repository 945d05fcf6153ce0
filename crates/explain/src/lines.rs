//! Log lines as they are found in files: from several processes, cut at either
//! end, two in one line, or with other text between them.

use serde::Serialize;
use serde_json::{Deserializer, Map, Value};
use std::time::SystemTime;

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written, by the clock of its machine.
    pub time: SystemTime,
    /// The process that wrote it: its node's name once that is known, else the
    /// label of its file.
    pub process: String,
    /// What happened.
    pub message: String,
    /// Everything else that the line says.
    pub fields: Map<String, Value>,
}

impl Line {
    /// A field as text, whether it was written as text or as a number.
    pub fn text(&self, field: &str) -> Option<String> {
        match self.fields.get(field)? {
            Value::String(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }

    /// A field as a whole number, whether it was written as text or as a number.
    pub fn number(&self, field: &str) -> Option<u64> {
        match self.fields.get(field)? {
            Value::String(text) => text.parse().ok(),
            Value::Number(number) => number.as_u64(),
            _ => None,
        }
    }
}

/// The lines of several files.
#[derive(Clone, Debug, Default)]
pub struct Log {
    lines: Vec<Line>,
    counts: Counts,
}

/// What was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Log lines.
    pub lines: usize,
    /// Pieces that are no log line, or only a part of one.
    pub unreadable: usize,
    /// Lines that their process left out, by its own account.
    pub left_out: u64,
}

impl Log {
    /// Adds the text of one file. `label` stands for the process until a line
    /// names its node.
    ///
    /// A file may hold the lines of several processes when each line begins
    /// with its process's name, as collectors commonly write them.
    pub fn add(&mut self, label: &str, text: &str) {
        let first = self.lines.len();
        for row in text.lines().filter(|row| !row.trim().is_empty()) {
            self.add_row(label, row);
        }
        self.name_processes(first);
    }

    /// All lines, the oldest first. Lines of one process at one time keep the
    /// order of their file.
    pub fn into_ordered(self) -> (Vec<Line>, Counts) {
        let mut lines = self.lines;
        lines.sort_by_key(|line| line.time);
        (lines, self.counts)
    }

    fn add_row(&mut self, label: &str, row: &str) {
        let start = row.find('{').unwrap_or(row.len());
        // Collectors put a time, a name and a mark before a line, in that order.
        let words = row[..start].split_whitespace();
        let mut names = words.filter(|word| word.chars().any(char::is_alphanumeric));
        let label = names.next_back().unwrap_or(label);
        // A line that was cut off may be followed by a whole one.
        let mut rest = &row[start..];
        let mut found = false;
        let mut is_cut = false;
        while !rest.is_empty() {
            let mut values = Deserializer::from_str(rest).into_iter::<Value>();
            match values.next() {
                Some(Ok(Value::Object(object))) => {
                    rest = rest[values.byte_offset()..].trim_start();
                    match line(label, object, &mut self.counts) {
                        Some(line) => {
                            self.lines.push(line);
                            self.counts.lines += 1;
                            found = true;
                        }
                        None => is_cut = true,
                    }
                }
                _ => {
                    is_cut = true;
                    rest = match rest[1..].find("{\"") {
                        Some(next) => &rest[next + 1..],
                        None => "",
                    };
                }
            }
        }
        if is_cut || !found {
            self.counts.unreadable += 1;
        }
    }

    /// Gives the lines of a file that names one node only that node's name.
    fn name_processes(&mut self, first: usize) {
        let added = &mut self.lines[first..];
        let started = added.iter().filter(|line| line.message == "started");
        let mut named: Vec<(String, String)> = started
            .filter_map(|line| Some((line.process.clone(), line.text("node")?)))
            .collect();
        named.sort();
        named.dedup();
        for line in added {
            let mut names = named.iter().filter(|(label, _)| *label == line.process);
            if let (Some((_, node)), None) = (names.next(), names.next()) {
                line.process.clone_from(node);
            }
        }
    }
}

/// A log line made of its JSON object; none when that is something else.
fn line(label: &str, mut object: Map<String, Value>, counts: &mut Counts) -> Option<Line> {
    let mut take = |field: &str| match object.remove(field) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    };
    let message = take("message")?;
    take("level");
    let time = take("time");
    if let Some(lines) = object.get("lines").and_then(Value::as_u64)
        && message == DROPPED
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

/// Message of the line that counts lost ones.
const DROPPED: &str = "log lines were dropped";
