//! Responses to requests that got no response from an upstream.

use crate::headers::{self, OUTCOME, REASON, REFUSAL_PLACE, RETRY_AFTER_MS};
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use ibiscove_http::Body;
use ibiscove_http::body::ReadError;
use ibiscove_routing::refusals;
use ibiscove_types::{Outcome, Reason};
use std::time::Duration;

/// Media type of a problem document (RFC 9457).
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");

/// Where a request was refused. It tells apart the refusals that share a reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// The entry, from the request's head.
    EntryPlan,
    /// The entry, while it read the body.
    EntryBody,
    /// The entry, in an attempt.
    EntryAttempt,
    /// The node of the gate, which could not read the request's metadata.
    PeerMetadata,
    /// The node of the gate, while it read the body.
    PeerBody,
    /// The gate's checks before a request may run.
    GateAdmission,
    /// The gate's queue.
    GateQueue,
    /// The gate, after it had begun to send the request to its upstream.
    GateExchange,
}

impl Place {
    const ALL: [Place; 8] = [
        Place::EntryPlan,
        Place::EntryBody,
        Place::EntryAttempt,
        Place::PeerMetadata,
        Place::PeerBody,
        Place::GateAdmission,
        Place::GateQueue,
        Place::GateExchange,
    ];

    /// Returns the name in logs, metrics and between nodes.
    pub fn as_str(self) -> &'static str {
        match self {
            Place::EntryPlan => "entry-plan",
            Place::EntryBody => "entry-body",
            Place::EntryAttempt => "entry-attempt",
            Place::PeerMetadata => "peer-metadata",
            Place::PeerBody => "peer-body",
            Place::GateAdmission => "gate-admission",
            Place::GateQueue => "gate-queue",
            Place::GateExchange => "gate-exchange",
        }
    }

    fn parse(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|place| place.as_str() == word)
    }
}

/// The result of a request that got no response from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the upstream ran it.
    pub outcome: Outcome,
    /// Why it failed.
    pub reason: Reason,
    /// Time after which there is likely free capacity.
    pub retry_after: Duration,
    /// Where it was refused; none from a node that does not tell.
    pub place: Option<Place>,
    /// Whether another node refused it.
    pub is_remote: bool,
}

impl Refusal {
    /// Creates the refusal of a request that certainly did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after: Duration::ZERO,
            place: None,
            is_remote: false,
        }
    }

    /// Creates the refusal of a request that the upstream may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(reason)
        }
    }

    /// Returns the refusal with a time after which to retry.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after,
            ..self
        }
    }

    /// Returns the refusal with its place, unless that is known already.
    pub fn at(self, place: Place) -> Self {
        let is_known = self.place.is_some() || self.is_remote;
        Self {
            place: if is_known { self.place } else { Some(place) },
            ..self
        }
    }

    /// Returns the name of its place for logs and metrics.
    pub fn place_name(&self) -> &'static str {
        self.place.map_or("unknown", Place::as_str)
    }

    /// Returns whether the caller has to change the request: no retry helps.
    pub fn blames_caller(&self) -> bool {
        matches!(
            self.reason,
            Reason::NoRoute | Reason::NoKey | Reason::BadHeader | Reason::BodyTooLarge
        )
    }

    /// Returns the HTTP status for callers. 503 guarantees that the request has
    /// not run and will not run; 502 and 504 guarantee nothing.
    pub fn status(&self) -> u16 {
        match (self.outcome, self.reason) {
            _ if self.blames_caller() => self.reason.status(),
            (Outcome::NotRun, _) => 503,
            (_, Reason::DeadlineExceeded) => 504,
            _ => 502,
        }
    }

    /// Returns the refusal of a request whose body could not be read.
    pub fn of_body(err: ReadError) -> Self {
        match err {
            ReadError::TooLong { .. } => Self::not_run(Reason::BodyTooLarge),
            ReadError::NoMemory => {
                Self::not_run(Reason::Overloaded).with_retry_after(NO_MEMORY_RETRY_AFTER)
            }
            ReadError::Broken(_) => Self::not_run(Reason::CallerStalled),
        }
    }

    /// Counts this refusal in the metrics of a role of the node.
    pub fn count(&self, role: &'static str) {
        let place = self.place_name();
        refusals::counter_at(role, place, self.reason, self.outcome).increment(1);
    }

    /// Builds the HTTP response.
    pub fn response<G>(&self) -> Response<Body<G>> {
        let body = serde_json::json!({
            "title": self.reason.as_str(),
            "outcome": self.outcome.as_str(),
        });
        let mut response = Response::new(Body::whole(body.to_string()));
        if let Ok(status) = hyper::StatusCode::from_u16(self.status()) {
            *response.status_mut() = status;
        }
        let to = response.headers_mut();
        to.insert(CONTENT_TYPE, PROBLEM_JSON);
        to.insert(OUTCOME, headers::value(self.outcome.as_str()));
        to.insert(REASON, headers::value(self.reason.as_str()));
        if self.status() == 503 {
            let seconds = format!("{:.3}", self.retry_after.as_secs_f64());
            to.insert(RETRY_AFTER, headers::value(&seconds));
            let millis = self.retry_after.as_millis().to_string();
            to.insert(RETRY_AFTER_MS, headers::value(&millis));
        }
        response
    }

    /// Builds the HTTP response to another node.
    pub fn response_to_node<G>(&self) -> Response<Body<G>> {
        let mut response = self.response();
        let place = headers::value(self.place_name());
        response.headers_mut().insert(REFUSAL_PLACE, place);
        response
    }

    /// Reads the refusal of another node's gate; returns none when the response
    /// is an upstream's.
    pub fn from_response<B>(response: &Response<B>) -> Option<Self> {
        let from = response.headers();
        let reason = headers::text(from, &REASON)?;
        let outcome = headers::text(from, &OUTCOME).and_then(Outcome::parse);
        let millis = headers::text(from, &RETRY_AFTER_MS).and_then(|text| text.parse().ok());
        Some(Self {
            outcome: outcome.unwrap_or(Outcome::Unknown),
            reason: Reason::parse(reason).unwrap_or(Reason::PeerLost),
            retry_after: Duration::from_millis(millis.unwrap_or(0)),
            place: headers::text(from, &REFUSAL_PLACE).and_then(Place::parse),
            is_remote: true,
        })
    }
}

/// Time after which a caller may return whose body found no memory: a few service
/// times, after which other bodies are done with.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(250);
