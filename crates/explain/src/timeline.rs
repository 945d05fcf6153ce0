//! Chooses the lines that answer a question.
//!
//! A request's own lines carry its id. What its nodes believed then is the last
//! line of each subject before the request, and all of them while it lasted. A
//! line about keys matters only when its range holds the request's key.

use crate::events::{self, Subject};
use crate::lines::{Counts, Line, Log};
use serde::{Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

/// Clocks of machines differ by some milliseconds, and the answer is logged
/// after the event that caused it.
const AFTERWARDS: Duration = Duration::from_millis(100);
/// How long before a request its first line is written: a request is logged
/// when it fails, which is up to its deadline after it came. Ten seconds is the
/// deadline of callers that state none.
const BEFORE: Duration = Duration::from_secs(10);

/// What is asked.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// The id of a request.
    pub request: Option<String>,
    /// A key of a divided service.
    pub key: Option<u64>,
    /// Nothing before this.
    pub from: Option<SystemTime>,
    /// Nothing after this.
    pub to: Option<SystemTime>,
}

/// Why a line is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It tells of the request, or of the key, itself.
    Path,
    /// It is what a node on the path believed.
    Belief,
}

/// One line of the answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Why it is shown.
    pub role: Role,
    /// When.
    #[serde(serialize_with = "rfc3339")]
    pub time: SystemTime,
    /// Who wrote it.
    pub process: String,
    /// What happened.
    pub message: String,
    /// What else it says.
    pub fields: serde_json::Map<String, serde_json::Value>,
}

/// The answer, the oldest line first.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Timeline {
    /// The lines that matter.
    pub steps: Vec<Step>,
    /// What was read for it.
    pub read: Counts,
}

impl Timeline {
    /// Whether any line tells of what was asked.
    pub fn is_found(&self) -> bool {
        self.steps.iter().any(|step| step.role == Role::Path)
    }
}

/// Finds the lines that answer a question.
pub fn find(log: Log, query: &Query) -> Timeline {
    let (lines, read) = log.into_ordered();
    let roles = match &query.request {
        Some(id) => of_request(&lines, id),
        None => of_key(&lines, query.key),
    };
    let in_span = |line: &Line| {
        query.from.is_none_or(|from| line.time >= from) && query.to.is_none_or(|to| line.time <= to)
    };
    let chosen = lines.into_iter().zip(roles);
    let steps = chosen
        .filter(|(line, _)| in_span(line))
        .filter_map(|(line, role)| {
            Some(Step {
                role: role?,
                time: line.time,
                process: line.process,
                message: line.message,
                fields: line.fields,
            })
        })
        .collect();
    Timeline { steps, read }
}

/// The role of each line in what became of a request.
fn of_request(lines: &[Line], id: &str) -> Vec<Option<Role>> {
    let is_own = |line: &&Line| line.text("request").as_deref() == Some(id);
    let own: Vec<&Line> = lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return vec![None; lines.len()];
    };
    let key = own.iter().find_map(|line| line.number("key"));
    let nodes: BTreeSet<String> = own.iter().flat_map(|line| named(line)).collect();
    let began = own
        .iter()
        .filter_map(|line| Some(line.time - Duration::from_millis(line.number("took_ms")?)))
        .min()
        .unwrap_or(first.time)
        .max(first.time - BEFORE);
    let until = last.time + AFTERWARDS;
    let mut roles = vec![None; lines.len()];
    // The newest line of each node's each subject before the request began.
    let mut held: BTreeMap<(&str, Subject), usize> = BTreeMap::new();
    for (i, line) in lines.iter().enumerate() {
        if is_own(&line) {
            roles[i] = Some(Role::Path);
            continue;
        }
        let Some(subject) = events::subject(&line.message) else {
            continue;
        };
        let matters = subject != Subject::Request
            && (nodes.contains(&line.process) || named(line).any(|node| nodes.contains(&node)))
            && key.is_none_or(|key| concerns(line, key));
        if !matters || line.time > until {
            continue;
        }
        match line.time < began {
            true => {
                held.insert((&line.process, subject), i);
            }
            false => roles[i] = Some(Role::Belief),
        }
    }
    for i in held.into_values() {
        roles[i] = Some(Role::Belief);
    }
    roles
}

/// The role of each line in who had a key; all events when no key is asked.
fn of_key(lines: &[Line], key: Option<u64>) -> Vec<Option<Role>> {
    let role = |line: &Line| {
        let subject = events::subject(&line.message)?;
        let Some(key) = key else {
            return Some(Role::Path);
        };
        let names_key = line.number("key") == Some(key);
        let names_range = line.fields.contains_key("first") && concerns(line, key);
        match (names_key || names_range, subject) {
            (true, _) => Some(Role::Path),
            (false, Subject::Lease | Subject::Upstream | Subject::Process) => Some(Role::Belief),
            _ => None,
        }
    };
    lines.iter().map(role).collect()
}

/// Whether a line that names a range names one that holds the key. Lines that
/// name none concern every key.
fn concerns(line: &Line, key: u64) -> bool {
    match (line.number("first"), line.number("last")) {
        (Some(first), Some(last)) => (first..=last).contains(&key),
        _ => true,
    }
}

/// The nodes that a line is from or names.
fn named(line: &Line) -> impl Iterator<Item = String> + '_ {
    let fields = ["entry", "peer", "node", "to"];
    let in_fields = fields.into_iter().filter_map(|field| line.text(field));
    std::iter::once(line.process.clone()).chain(in_fields)
}

fn rfc3339<S: Serializer>(time: &SystemTime, serializer: S) -> Result<S::Ok, S::Error> {
    let text = humantime::format_rfc3339_millis(*time).to_string();
    serializer.serialize_str(&text)
}
