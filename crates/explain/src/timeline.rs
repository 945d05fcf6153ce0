//! Selection of the log lines that are relevant to a query.
//!
//! Lines of the request itself carry its id. The state of its nodes is shown by
//! their last line of each subject before the request and by all their lines
//! during it. A line about a range of keys is relevant only if the range
//! contains the request's key.

use crate::events::{self, Subject};
use crate::lines::{Counts, Line, Log};
use serde::{Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

/// Time after a request's last line during which lines are still relevant:
/// machines' clocks differ by some milliseconds, and a response is logged after
/// the event that caused it.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(100);
/// Maximum time from a request's arrival to its first line: a request is logged
/// when it fails, which may be as late as its deadline. Ten seconds is the
/// default deadline of a request.
const MAX_TIME_TO_FIRST_LINE: Duration = Duration::from_secs(10);

/// Selects a request, a key or a span of time.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// The id of a request.
    pub request: Option<String>,
    /// A key of a divided service.
    pub key: Option<u64>,
    /// Earliest time of lines to include.
    pub from: Option<SystemTime>,
    /// Latest time of lines to include.
    pub to: Option<SystemTime>,
}

/// Why a line is included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It is about the request or key of the query.
    Path,
    /// It shows the state of a node, as that node observed it, at the time.
    Belief,
}

/// One line of a timeline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Why it is included.
    pub role: Role,
    /// Time of writing.
    #[serde(serialize_with = "rfc3339")]
    pub time: SystemTime,
    /// The process that wrote it.
    pub process: String,
    /// The message text.
    pub message: String,
    /// All other fields of the line.
    pub fields: serde_json::Map<String, serde_json::Value>,
}

/// The lines relevant to a query, oldest first.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Timeline {
    /// The relevant lines.
    pub steps: Vec<Step>,
    /// Counts of the lines read.
    pub read: Counts,
}

impl Timeline {
    /// Returns whether any line is about the request or key of the query.
    pub fn is_found(&self) -> bool {
        self.steps.iter().any(|step| step.role == Role::Path)
    }
}

/// Selects and orders the lines that are relevant to a query.
pub fn build_timeline(log: Log, query: &Query) -> Timeline {
    let (lines, read) = log.into_ordered();
    let roles = match &query.request {
        Some(id) => request_roles(&lines, id),
        None => key_roles(&lines, query.key),
    };
    let in_span = |line: &Line| {
        query.from.is_none_or(|from| line.time >= from) && query.to.is_none_or(|to| line.time <= to)
    };
    let lines_with_roles = lines.into_iter().zip(roles);
    let steps = lines_with_roles
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

/// Returns the role of each line for a request.
fn request_roles(lines: &[Line], id: &str) -> Vec<Option<Role>> {
    let is_own_line = |line: &&Line| line.text("request").as_deref() == Some(id);
    let own_lines: Vec<&Line> = lines.iter().filter(is_own_line).collect();
    let (Some(first), Some(last)) = (own_lines.first(), own_lines.last()) else {
        return vec![None; lines.len()];
    };
    let key = own_lines.iter().find_map(|line| line.number("key"));
    let nodes: BTreeSet<String> = own_lines.iter().flat_map(|line| nodes_of(line)).collect();
    let started_at = own_lines
        .iter()
        .filter_map(|line| Some(line.time - Duration::from_millis(line.number("took_ms")?)))
        .min()
        .unwrap_or(first.time)
        .max(first.time - MAX_TIME_TO_FIRST_LINE);
    let relevant_until = last.time + CLOCK_TOLERANCE;
    let mut roles = vec![None; lines.len()];
    // Index of the last line before the request, by process and subject.
    let mut latest_before: BTreeMap<(&str, Subject), usize> = BTreeMap::new();
    for (i, line) in lines.iter().enumerate() {
        if is_own_line(&line) {
            roles[i] = Some(Role::Path);
            continue;
        }
        let Some(subject) = events::subject(&line.message) else {
            continue;
        };
        let is_relevant = subject != Subject::Request
            && (nodes.contains(&line.process) || nodes_of(line).any(|node| nodes.contains(&node)))
            && key.is_none_or(|key| covers_key(line, key));
        if !is_relevant || line.time > relevant_until {
            continue;
        }
        match line.time < started_at {
            true => {
                latest_before.insert((&line.process, subject), i);
            }
            false => roles[i] = Some(Role::Belief),
        }
    }
    for i in latest_before.into_values() {
        roles[i] = Some(Role::Belief);
    }
    roles
}

/// Returns the role of each line for a key; without a key, all events have
/// [`Role::Path`].
fn key_roles(lines: &[Line], key: Option<u64>) -> Vec<Option<Role>> {
    let role = |line: &Line| {
        let subject = events::subject(&line.message)?;
        let Some(key) = key else {
            return Some(Role::Path);
        };
        let names_key = line.number("key") == Some(key);
        let names_range = line.fields.contains_key("first") && covers_key(line, key);
        match (names_key || names_range, subject) {
            (true, _) => Some(Role::Path),
            (false, Subject::Lease | Subject::Upstream | Subject::Process) => Some(Role::Belief),
            _ => None,
        }
    };
    lines.iter().map(role).collect()
}

/// Returns whether a line's range contains the key. Lines without a range apply
/// to every key.
fn covers_key(line: &Line, key: u64) -> bool {
    match (line.number("first"), line.number("last")) {
        (Some(first), Some(last)) => (first..=last).contains(&key),
        _ => true,
    }
}

/// Returns the process that wrote a line and the nodes that the line names.
fn nodes_of(line: &Line) -> impl Iterator<Item = String> + '_ {
    let fields = ["entry", "peer", "node", "to"];
    let in_fields = fields.into_iter().filter_map(|field| line.text(field));
    std::iter::once(line.process.clone()).chain(in_fields)
}

fn rfc3339<S: Serializer>(time: &SystemTime, serializer: S) -> Result<S::Ok, S::Error> {
    let text = humantime::format_rfc3339_millis(*time).to_string();
    serializer.serialize_str(&text)
}
