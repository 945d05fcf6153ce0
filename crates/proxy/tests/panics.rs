//! A caller whose request's task panics gets an answer.

use hyper::Response;
use ibiscove_http::Body;
use ibiscove_proxy::panics::respond_despite_panic;

#[test]
fn panic_is_answered_with_an_unknown_outcome() {
    let work = async {
        std::future::ready(()).await;
        assert!(std::env::args().count() == 0, "a fault of the node");
        Response::new(Body::<()>::whole("done"))
    };
    let response = smol::block_on(respond_despite_panic(work, "entry"));
    assert_eq!(response.status(), 502);
    assert_eq!(response.headers()["ibiscove-outcome"], "unknown");
    assert_eq!(response.headers()["ibiscove-reason"], "internal");
}

#[test]
fn response_without_a_panic_is_passed_on() {
    let work = async { Response::new(Body::<()>::whole("done")) };
    assert_eq!(
        smol::block_on(respond_despite_panic(work, "entry")).status(),
        200
    );
}
