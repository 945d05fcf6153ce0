//! Answers of requests whose task panics.

use crate::refusal::Refusal;
use hyper::Response;
use ibiscove_http::Body;
use ibiscove_types::Reason;
use smol::future::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;

/// Completes with the response to a request. If its work panics, that is a refusal with
/// the outcome `unknown`: the caller would see a closed connection otherwise. What the
/// request holds is released as it is dropped, as when its caller disconnects.
pub async fn respond_despite_panic<G>(
    work: impl Future<Output = Response<Body<G>>>,
    role: &'static str,
) -> Response<Body<G>> {
    let Ok(response) = AssertUnwindSafe(work).catch_unwind().await else {
        let refusal = Refusal::unknown(Reason::Internal);
        refusal.count(role);
        return refusal.response();
    };
    response
}
