//! The trace format: one JSON object per line, an event or a promise.
//!
//! `docs/traces.md` describes it. The names of fields and variants are part of
//! the format. An *order* is the name of a request within its trace.

use ibiscove_config::change::ConfigKind;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One line of a trace: an event and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Time since the start, in milliseconds. The trace's clock is paused while
    /// a start, an announcement, a `settle` or an `answered` is awaited.
    pub at_ms: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// An event to replay, or a promise to check after the replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Describes the trace; it has no effect.
    About(String),
    /// Starts a node.
    Start(Node),
    /// Starts an upstream, which announces itself to the node of its name.
    Announce(Announce),
    /// Waits until every node knows an owner of every slot.
    Settle {},
    /// Waits until every request, change and drain so far has ended.
    Answered {},
    /// Sends a request as a caller.
    Request(Request),
    /// Sets whether a node's local upstream runs requests and then closes the
    /// connection without a response.
    LoseUpstreamAnswers {
        /// The node.
        node: String,
        /// Whether responses are lost from now on.
        lose: bool,
    },
    /// Sets the service time of a node's local upstream.
    Slow {
        /// The node.
        node: String,
        /// Service time of each request, in milliseconds.
        millis: u64,
    },
    /// Kills a node and its upstream at once.
    Lose {
        /// The node.
        node: String,
    },
    /// Kills a node; its upstream keeps running.
    LoseNode {
        /// The node.
        node: String,
    },
    /// Kills every node of a data centre, with its upstream.
    LoseDataCentre {
        /// The data centre.
        data_centre: String,
    },
    /// Makes the platform unavailable or available.
    Platform {
        /// Whether it is unavailable from now on.
        down: bool,
    },
    /// Makes the platform commit the next transactions and lose their
    /// responses.
    LoseAnswers {
        /// Number of transactions.
        count: u32,
    },
    /// Drains a node.
    Drain {
        /// The node.
        node: String,
    },
    /// Submits a configuration change as an operator.
    Change(Change),
    /// States a promise to check.
    Promise(Promise),
}

/// A node to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    #[serde(default = "default_region")]
    pub region: String,
}

fn default_region() -> String {
    "region".to_owned()
}

/// An upstream to start and announce.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The node that it announces itself to.
    pub node: String,
    /// Its service.
    pub service: String,
    /// Number of requests that it runs concurrently.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Whether it checks fences.
    #[serde(default = "default_checks_fences")]
    pub checks_fences: bool,
}

fn default_concurrency() -> u32 {
    12
}

fn default_checks_fences() -> bool {
    true
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifies the request in promises. Its duplicates have the same order.
    pub order: String,
    /// The node that it is sent to, or the next one by name once it is gone.
    pub node: String,
    /// The HTTP method.
    pub method: String,
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// Sent as `Idempotency-Key`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
    /// Maximum number of duplicates sent until a response reports `ran`.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub repeats: u32,
    /// The caller's timeout, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl Request {
    /// Returns the path. The order follows the key, so that both the upstream's
    /// record and its response contain it.
    pub fn path(&self) -> String {
        format!("/{}/{}/{}", self.service, self.key, self.order)
    }

    /// Returns method and path, as an upstream echoes them.
    pub fn target(&self) -> String {
        format!("{} {}", self.method, self.path())
    }

    /// Returns whether its method is idempotent (RFC 9110, section 9.2.2).
    pub fn is_idempotent(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD" | "PUT" | "DELETE")
    }
}

/// A configuration change that an operator submits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The operator.
    pub author: String,
    /// The node that it is sent to.
    pub node: String,
    /// The kind of configuration.
    pub kind: ConfigKind,
    /// The version that the change replaces.
    pub expect: u64,
    /// The new text.
    pub body: String,
}

/// A property that a history must have. The first eight are the guarantees of
/// `docs/guarantees.md`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// No two upstreams serve a slot at the same time.
    SingleOwner,
    /// At the end every slot has a live owner, with a fence no lower than any
    /// under which the slot was served.
    AssignmentSurvives,
    /// Every response belongs to its own request and is complete.
    WholeAnswers,
    /// No request reported as `not-run` ever ran.
    NotRunNeverRan,
    /// A non-idempotent request runs at most once, duplicates included.
    AtMostOnce,
    /// A drained upstream starts no request later than `after_ms`.
    DrainGetsNothingNew {
        /// Time since the drain began, in milliseconds.
        after_ms: u64,
    },
    /// Every drain succeeds, and every request that was sent before one began
    /// gets a complete response that reports `ran` or `not-run`.
    NothingCut,
    /// Every accepted change is in force on every live node, and no node ever
    /// reverted to an earlier version.
    ChangesStay,
    /// Of the changes that replace the same version, exactly one is accepted.
    OneWinner,
    /// A request ran exactly `times` times.
    Runs {
        /// The request's order.
        order: String,
        /// Number of executions.
        times: usize,
    },
    /// Every idempotent request or one of its duplicates got a response that
    /// reports `ran`. Others may stay unknown, and must not run again.
    AllServed,
}

/// A complete trace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// The lines, ordered by time.
    pub lines: Vec<Line>,
}

/// Why a text is not a valid trace.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The line is not a valid event or promise.
    #[error("line {number}: {cause}")]
    Line {
        /// Number of the line, from 1.
        number: usize,
        /// The cause.
        cause: serde_json::Error,
    },
    /// The line is earlier than the one before it.
    #[error("line {number} is earlier than the one before it")]
    Order {
        /// Number of the line, from 1.
        number: usize,
    },
    /// The trace states no promise, so it could not fail.
    #[error("the trace states no promise")]
    NoPromise,
}

impl Trace {
    /// Parses a trace.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        let mut lines: Vec<Line> = Vec::new();
        for (index, text) in text.lines().enumerate() {
            let number = index + 1;
            if text.trim().is_empty() {
                continue;
            }
            let line: Line =
                serde_json::from_str(text).map_err(|cause| ParseError::Line { number, cause })?;
            if lines
                .last()
                .is_some_and(|previous| previous.at_ms > line.at_ms)
            {
                return Err(ParseError::Order { number });
            }
            lines.push(line);
        }
        let trace = Self { lines };
        if trace.promises().next().is_none() {
            return Err(ParseError::NoPromise);
        }
        Ok(trace)
    }

    /// Builds a trace from lines that nodes recorded, in any order and with
    /// wall-clock times. Times become relative to the earliest line.
    pub fn from_records<'a>(
        records: impl IntoIterator<Item = &'a str>,
        promises: impl IntoIterator<Item = Promise>,
    ) -> Result<Self, ParseError> {
        let mut lines = Vec::new();
        for (index, text) in records.into_iter().enumerate() {
            let line: Line = serde_json::from_str(text).map_err(|cause| ParseError::Line {
                number: index + 1,
                cause,
            })?;
            lines.push(line);
        }
        lines.sort_by_key(|line| line.at_ms);
        let first_ms = lines.first().map_or(0, |line| line.at_ms);
        for line in &mut lines {
            line.at_ms -= first_ms;
        }
        let last_ms = lines.last().map_or(0, |line| line.at_ms);
        let promises = promises.into_iter().map(|promise| Line {
            at_ms: last_ms,
            event: Event::Promise(promise),
        });
        lines.extend(promises);
        Ok(Self { lines })
    }

    /// Returns the distinct orders of the requests.
    pub fn orders(&self) -> BTreeSet<String> {
        let requests = self.lines.iter().filter_map(|line| match &line.event {
            Event::Request(req) => Some(req.order.clone()),
            _ => None,
        });
        requests.collect()
    }

    /// Returns the promises.
    pub fn promises(&self) -> impl Iterator<Item = &Promise> {
        self.lines.iter().filter_map(|line| match &line.event {
            Event::Promise(promise) => Some(promise),
            _ => None,
        })
    }
}
