//! Classification of the log messages that `docs/OPERATIONS.md` lists.

use serde::Serialize;

/// What an event is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// One request.
    Request,
    /// The configuration in force at a node.
    Configuration,
    /// A node's lease, without which it may not grant keys.
    Lease,
    /// The ownership of a range of keys.
    Owner,
    /// The grant of a range to the upstream.
    Grant,
    /// The local upstream of a node.
    Upstream,
    /// A node's access to the table service.
    Table,
    /// The process itself.
    Process,
}

/// Prefixes of messages; an error's text may follow.
const EVENTS: &[(&str, Subject)] = &[
    ("request refused", Subject::Request),
    ("attempt failed", Subject::Request),
    ("gate refused", Subject::Request),
    ("upstream did not run the request", Subject::Request),
    ("the upstream gave no answer", Subject::Request),
    ("the upstream's answer broke off", Subject::Request),
    ("an answer of the upstream is not", Subject::Request),
    ("no answer from a peer", Subject::Request),
    ("a peer's answer broke off", Subject::Request),
    ("configuration in force", Subject::Configuration),
    ("configuration taken from a peer", Subject::Configuration),
    ("a configuration was left aside", Subject::Configuration),
    ("a newer configuration was not", Subject::Configuration),
    ("lease held", Subject::Lease),
    ("lease lost", Subject::Lease),
    ("the lease was not renewed", Subject::Lease),
    ("the lease row cannot be read", Subject::Lease),
    ("keys change owner", Subject::Owner),
    ("a change of owner got no answer", Subject::Owner),
    ("takes over the ranges", Subject::Owner),
    ("range map taken", Subject::Owner),
    ("ranges without an owner", Subject::Owner),
    ("ranges of ", Subject::Owner),
    ("ranges are not moved now", Subject::Owner),
    ("released ranges are not written", Subject::Owner),
    ("a newer range map was not", Subject::Owner),
    ("keys are granted", Subject::Grant),
    ("a grant failed", Subject::Grant),
    ("a release was not answered", Subject::Grant),
    ("upstream announced itself", Subject::Upstream),
    ("upstream leaves", Subject::Upstream),
    ("upstream is gone", Subject::Upstream),
    ("whether the upstream answers", Subject::Upstream),
    ("the operator's rows", Subject::Table),
    ("the store ", Subject::Table),
    ("cannot join yet", Subject::Table),
    ("started", Subject::Process),
    ("joined", Subject::Process),
    ("asked to stop", Subject::Process),
    ("leaving", Subject::Process),
    ("left", Subject::Process),
    ("settings file", Subject::Process),
    ("the settings stay", Subject::Process),
    ("log lines were dropped", Subject::Process),
];

/// Returns the subject of a message; none if the message is not an event.
pub(crate) fn subject(message: &str) -> Option<Subject> {
    let found = EVENTS
        .iter()
        .find(|(prefix, _)| message.starts_with(prefix));
    found.map(|(_, subject)| *subject)
}
