//! The requests of a connection that were started early, in their order.

use crate::server::InFlightGuard;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use smol::Task;
use std::collections::VecDeque;
use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Requests that were started early. Dropping it cancels their work.
pub(crate) struct Queue<B> {
    state: Mutex<State<B>>,
}

struct State<B> {
    early: VecDeque<Early<B>>,
    /// Whether the connection closes after the last of them.
    is_closing: bool,
}

struct Early<B> {
    head: Parts,
    answer: Task<Response<B>>,
    in_flight: InFlightGuard,
}

/// How the request that hyper has read is served.
pub(crate) enum Next<F, B> {
    /// It has been started now.
    InTurn(F),
    /// It was started early.
    Early(Task<Response<B>>),
    /// It differs from the one that was started in its place.
    Mismatch,
}

impl<F: Future<Output = Response<B>>, B> Next<F, B> {
    /// Returns whether the request was started early.
    pub(crate) fn is_early(&self) -> bool {
        matches!(self, Self::Early(_))
    }

    /// Waits for the response. It has no body if the request is refused.
    pub(crate) async fn response(self) -> Response<Option<B>> {
        match self {
            Self::InTurn(answer) => answer.await.map(Some),
            Self::Early(task) => task.await.map(Some),
            Self::Mismatch => {
                let mut refusal = Response::new(None);
                *refusal.status_mut() = StatusCode::BAD_REQUEST;
                refusal
            }
        }
    }
}

impl<B> Default for Queue<B> {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                early: VecDeque::new(),
                is_closing: false,
            }),
        }
    }
}

impl<B: Send + 'static> Queue<B> {
    /// Starts to serve a request in its own task.
    pub(crate) fn start(
        &self,
        head: Parts,
        answer: impl Future<Output = Response<B>> + Send + 'static,
        in_flight: InFlightGuard,
    ) {
        metrics::counter!("ibiscove_pipelined_requests_total").increment(1);
        let answer = smol::spawn(answer);
        self.lock().early.push_back(Early {
            head,
            answer,
            in_flight,
        });
    }

    /// Takes what was started early for a request, or starts it with `start`. A request
    /// that differs from what was started in its place cancels all of them.
    pub(crate) fn take<R, F>(
        &self,
        req: Request<R>,
        start: impl FnOnce(Request<R>) -> (F, InFlightGuard),
    ) -> (Next<F, B>, InFlightGuard) {
        let mut state = self.lock();
        let Some(early) = state.early.pop_front() else {
            drop(state);
            let (answer, in_flight) = start(req);
            return (Next::InTurn(answer), in_flight);
        };
        let is_same = early.head.method == *req.method()
            && early.head.uri == *req.uri()
            && early.head.version == req.version()
            && early.head.headers == *req.headers();
        if is_same {
            return (Next::Early(early.answer), early.in_flight);
        }
        state.is_closing = true;
        state.early.clear();
        metrics::counter!("ibiscove_pipelined_mismatches_total").increment(1);
        log::warn!("HTTP server: connection closed, a pipelined request was read in two ways");
        (Next::Mismatch, early.in_flight)
    }
}

impl<B> Queue<B> {
    /// Returns whether requests that were started early await their turn.
    pub(crate) fn has_early(&self) -> bool {
        !self.lock().early.is_empty()
    }

    /// Returns whether the connection closes after the requests that are started.
    pub(crate) fn is_closing(&self) -> bool {
        self.lock().is_closing
    }

    fn lock(&self) -> MutexGuard<'_, State<B>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sets `Connection: close` on a response whose connection is to close, or leaves it
/// to the last of the requests that are already started behind it.
pub(crate) fn finish_head<B>(queue: &Queue<B>, is_draining: bool, headers: &mut HeaderMap) {
    let mut state = queue.lock();
    state.is_closing |= is_draining || names_close(headers);
    if !state.is_closing {
        return;
    }
    if state.early.is_empty() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    } else {
        headers.remove(CONNECTION);
    }
}

fn names_close(headers: &HeaderMap) -> bool {
    headers.get_all(CONNECTION).iter().any(|value| {
        let mut names = value.as_bytes().split(|&byte| byte == b',');
        names.any(|name| name.trim_ascii().eq_ignore_ascii_case(b"close"))
    })
}

#[cfg(test)]
#[path = "../../tests/unit/queue.rs"]
mod tests;
