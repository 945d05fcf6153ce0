//! The metrics page in the Prometheus text format.

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use ibiscove_http::{Body, Server, ServerSettings};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use smol::net::TcpListener;
use std::sync::OnceLock;

/// Upper bounds of the buckets of all latency histograms.
const BUCKETS_SECONDS: &[f64] = &[
    0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0,
];

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the metrics recorder once per process.
pub(crate) fn install() {
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(BUCKETS_SECONDS);
        match builder.map(PrometheusBuilder::install_recorder) {
            Ok(Ok(handle)) => Some(handle),
            Ok(Err(err)) => {
                log::warn!("metrics are not recorded; the metrics page stays empty: {err}");
                None
            }
            Err(err) => {
                log::error!("metrics are not recorded; the metrics page stays empty: {err}");
                None
            }
        }
    });
}

/// Merges new samples into the histograms. Until then each takes memory, and pages may
/// not be read for days.
pub(crate) fn merge_samples() {
    if let Some(recorder) = RECORDER.get().and_then(Option::as_ref) {
        recorder.run_upkeep();
    }
}

/// Serves the metrics page until the task is dropped.
pub(crate) async fn serve(listener: TcpListener) {
    let server = Server::default();
    let handle = |_req: Request<hyper::body::Incoming>| async {
        let text = RECORDER.get().and_then(Option::as_ref).map(|recorder| {
            recorder.run_upkeep();
            recorder.render()
        });
        let mut response = Response::new(Body::<()>::whole(text.unwrap_or_default()));
        let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    };
    server
        .run(listener, ServerSettings::default(), handle)
        .await;
}
