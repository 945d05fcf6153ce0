//! Configurations that nodes fetch from peers that are lost, slow, or have another text.

mod support;

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use ibiscove_http::{Body, Pool, PoolSettings};
use ibiscove_proxy::config_transfer::{ConfigDownload, FetchedConfig, fetch_config};
use ibiscove_proxy::peer_api::FetchError;
use ibiscove_proxy::routes::CallerLimits;
use ibiscove_proxy::{ConfigCell, RouteTable};
use ibiscove_types::SystemClock;
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{Link, peer, serve_with, suspects};

/// A text that doesn't compress, of some 200 KB.
fn text(seed: u64) -> Bytes {
    let mut rng = fastrand::Rng::with_seed(seed);
    (0..200_000).map(|_| rng.u8(..)).collect()
}

fn config(version: u64, text: Bytes) -> ConfigCell {
    let (routes, services) = Default::default();
    let table = RouteTable::new(version, routes, services, CallerLimits::default());
    let table = table.expect("it has no routes");
    let config = ConfigCell::default();
    assert!(config.replace_if_newer(table, text));
    config
}

/// Starts a holder of a configuration; one that `has_chunks` serves more than the manifest.
async fn serve_config(config: ConfigCell, has_chunks: bool) -> SocketAddr {
    let holder = Arc::new(peer(Default::default(), suspects(), config));
    serve_with(move |req: Request<_>| {
        let holder = Arc::clone(&holder);
        async move {
            if !has_chunks && req.uri().path().ends_with("/chunks") {
                let mut response = Response::new(Body::whole(Bytes::new()));
                *response.status_mut() = StatusCode::NOT_FOUND;
                return response;
            }
            holder.handle(req).await
        }
    })
    .await
}

/// A node that has version 7 and fetches from others.
struct Node {
    pool: Pool,
    config: ConfigCell,
    download: ConfigDownload,
}

impl Node {
    fn new() -> Self {
        Self {
            pool: Pool::new(PoolSettings::default()),
            config: config(7, text(7)),
            download: ConfigDownload::default(),
        }
    }

    async fn fetch(
        &self,
        peer: SocketAddr,
        version: u64,
    ) -> Result<Option<FetchedConfig>, FetchError> {
        let (pool, clock) = (&self.pool, &SystemClock);
        fetch_config(pool, clock, peer, version, &self.config, &self.download).await
    }

    /// Fetches until the text is here, or for 5 s.
    async fn fetch_until_complete(&self, peer: SocketAddr, version: u64) -> FetchedConfig {
        let fetching = async {
            loop {
                if let Ok(Some(fetched)) = self.fetch(peer, version).await {
                    return fetched;
                }
                smol::Timer::after(Duration::from_millis(20)).await;
            }
        };
        let timeout = async {
            smol::Timer::after(Duration::from_secs(5)).await;
            panic!("the text was not fetched");
        };
        fetching.or(timeout).await
    }
}

/// Guards against a node that refuses the version that all others have, because the only
/// holder of a newer one is gone.
#[test]
fn older_version_is_taken_when_the_newer_one_does_not_arrive() {
    smol::block_on(async {
        let node = Node::new();
        let lost = serve_config(config(9, text(9)), false).await;
        let other = serve_config(config(8, text(8)), true).await;
        node.fetch(lost, 9).await.expect_err("it has no chunks");
        assert!(node.download.is_newer_arriving(8, Instant::now()));
        let fetched = node.fetch_until_complete(other, 8).await;
        assert!(fetched.text == text(8));
        assert_eq!(fetched.verified_version, Some(8));
    });
}

/// Guards against a download that asks for chunks which nobody has, because the text of the
/// manifest was replaced by another one of the same version.
#[test]
fn other_text_of_the_same_version_is_taken() {
    smol::block_on(async {
        let node = Node::new();
        let lost = serve_config(config(8, text(9)), false).await;
        let other = serve_config(config(8, text(8)), true).await;
        node.fetch(lost, 8).await.expect_err("it has no chunks");
        let fetched = node.fetch_until_complete(other, 8).await;
        assert!(fetched.text == text(8));
    });
}

/// Guards against a slow peer that keeps a node to itself for the whole of a configuration.
#[test]
fn slow_peer_is_left_after_a_response() {
    smol::block_on(async {
        let node = Node::new();
        let holder = serve_config(config(8, text(8)), true).await;
        let slow = Link::start(holder, 100_000, usize::MAX).await;
        let fetched = node.fetch(slow.addr, 8).await.expect("it responds");
        assert!(fetched.is_none(), "the rest is asked of another peer");
        let fetched = node.fetch_until_complete(holder, 8).await;
        assert!(fetched.text == text(8));
    });
}

/// Guards against chunks that several fetches ask for at the same time.
#[test]
fn fetches_of_a_node_share_a_configuration() {
    smol::block_on(async {
        let node = Node::new();
        let mut links = Vec::new();
        for _ in 0..2 {
            let holder = serve_config(config(8, text(8)), true).await;
            links.push(Link::start(holder, 1_250_000, usize::MAX).await);
        }
        let first = node.fetch_until_complete(links[0].addr, 8);
        let second = node.fetch_until_complete(links[1].addr, 8);
        assert!(first.or(second).await.text == text(8));
        let passed = |link: &Link| link.passed.load(std::sync::atomic::Ordering::SeqCst);
        let passed: usize = links.iter().map(passed).sum();
        // Both manifests, and one batch that was under way twice at most.
        assert!(passed < 300_000, "{passed} bytes were sent");
    });
}
