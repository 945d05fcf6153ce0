//! Refusals, as problem documents (RFC 9457).

use crate::headers;
use ibiscove_routing::refusals;
use ibiscove_types::{Outcome, Reason};
use trillium::{Conn, KnownHeaderName, Status};

/// Media type of a problem document.
const MEDIA_TYPE: &str = "application/problem+json";

/// Delay after which a caller may retry a temporary refusal, in whole seconds:
/// the shortest that HTTP can express.
const RETRY_AFTER_SECONDS: &str = "1";

/// A request to which no upstream response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
}

impl Refusal {
    /// Creates a refusal for a request of which nothing was sent to the
    /// upstream.
    pub(crate) fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
        }
    }

    /// Creates a refusal for a request that may have reached the upstream.
    pub(crate) fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
        }
    }

    /// Responds with this refusal and counts it.
    pub(crate) fn respond(self, conn: Conn, role: &'static str) -> Conn {
        self.count(role);
        let status = self.status();
        let conn = match status {
            Status::TooManyRequests | Status::ServiceUnavailable => {
                conn.with_response_header(KnownHeaderName::RetryAfter, RETRY_AFTER_SECONDS)
            }
            _ => conn,
        };
        conn.with_status(status)
            .with_response_header(KnownHeaderName::ContentType, MEDIA_TYPE)
            .with_response_header(headers::OUTCOME, self.outcome.as_str())
            .with_response_header(headers::REASON, self.reason.as_str())
            .with_body(self.body())
            .halt()
    }

    /// Counts this refusal.
    pub(crate) fn count(self, role: &'static str) {
        refusals::counter(role, self.reason, self.outcome).increment(1);
    }

    /// Returns the whole response as bytes, for a connection whose request
    /// could not be parsed and that is closed after it.
    pub(crate) fn to_http(self) -> Vec<u8> {
        let status = self.status();
        let body = self.body();
        format!(
            "HTTP/1.1 {} {}\r\n\
             Content-Type: {MEDIA_TYPE}\r\n\
             Content-Length: {}\r\n\
             Connection: close\r\n\
             {}: {}\r\n\
             {}: {}\r\n\
             \r\n\
             {body}",
            status as u16,
            status.canonical_reason(),
            body.len(),
            headers::OUTCOME,
            self.outcome,
            headers::REASON,
            self.reason,
        )
        .into_bytes()
    }

    fn status(self) -> Status {
        Status::try_from(self.reason.status()).unwrap_or(Status::BadGateway)
    }

    fn body(self) -> String {
        let body = serde_json::json!({
            "type": format!("urn:ibiscove:reason:{}", self.reason),
            "title": self.reason.as_str(),
            "status": self.reason.status(),
            "outcome": self.outcome.as_str(),
        });
        body.to_string()
    }
}
