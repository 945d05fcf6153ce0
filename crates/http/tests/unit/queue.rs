//! Load: a head that the look-ahead and hyper read in two ways.

use super::*;
use crate::server::ServerState;
use event_listener::Event;
use std::sync::Arc;

type Pending = std::future::Pending<Response<()>>;

fn request(path: &str) -> Request<()> {
    let req = Request::builder().uri(path).header("a", "b").body(());
    req.expect("the parts are valid")
}

/// Says when it is dropped.
struct Work(Arc<Event>);

impl Drop for Work {
    fn drop(&mut self) {
        self.0.notify_additional(1);
    }
}

#[test]
fn a_request_that_differs_is_refused_and_all_early_work_is_cancelled() {
    let mut other_method = request("/1");
    *other_method.method_mut() = hyper::Method::HEAD;
    let mut more_headers = request("/1");
    let more = HeaderValue::from_static("c");
    more_headers.headers_mut().append("a", more);
    let mut other_version = request("/1");
    *other_version.version_mut() = hyper::Version::HTTP_10;
    let differing = [request("/2"), other_method, more_headers, other_version];
    for req in differing {
        smol::block_on(refuses(req));
    }
}

/// Takes `req` in place of a request for `/1`, with another one behind it.
async fn refuses(req: Request<()>) {
    let server = Arc::<ServerState>::default();
    let queue = Queue::<()>::default();
    let dropped = Arc::new(Event::new());
    let mut cancelled = Vec::new();
    for path in ["/1", "/2"] {
        cancelled.push(dropped.listen());
        let work = Work(Arc::clone(&dropped));
        let answer = async move {
            let _work = work;
            std::future::pending().await
        };
        let head = request(path).into_parts().0;
        queue.start(head, answer, InFlightGuard::new(&server));
    }
    let (next, in_flight) = queue.take(req, |_| -> (Pending, _) {
        panic!("a request that differs is not started")
    });
    assert!(!queue.has_early());
    for cancelled in cancelled {
        cancelled.await;
    }
    let mut response = next.response().await;
    assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    assert!(response.body().is_none());
    finish_head(&queue, false, response.headers_mut());
    assert_eq!(response.headers()[CONNECTION], "close");
    // Only the refusal itself is in flight.
    assert_eq!(server.in_flight(), 1);
    drop(in_flight);
    assert_eq!(server.in_flight(), 0);
}

#[test]
fn the_same_request_gets_the_answer_that_was_started() {
    smol::block_on(async {
        let server = Arc::<ServerState>::default();
        let queue = Queue::<u8>::default();
        let head = request("/1").into_parts().0;
        let answer = async { Response::new(7) };
        queue.start(head, answer, InFlightGuard::new(&server));
        let (next, _in_flight) = queue.take(request("/1"), |_| {
            let answer = std::future::pending::<Response<u8>>();
            (answer, InFlightGuard::new(&server))
        });
        assert!(next.is_early());
        assert_eq!(next.response().await.into_body(), Some(7));
        assert!(!queue.is_closing());
    });
}
