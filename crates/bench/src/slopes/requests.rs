//! What a request costs the nodes that carry it.
//!
//! Callers, nodes and upstreams share this process, so the cost of the nodes
//! is what a request through them takes over one sent straight to the
//! upstream.

use super::{Meaning, Points, SlopeSettings};
use crate::BenchError;
use crate::cluster::{Cluster, http_client};
use crate::usage::cpu_time;
use ibiscove_node::NodeSettings;
use ibiscove_standin::UpstreamSettings;
use ibiscove_store::MemoryPlatform;
use std::net::SocketAddr;
use trillium_client::Client;

/// Requests in flight at a time.
const CONCURRENCY: usize = 16;
/// Keys tried until one of the wanted owner is found.
const KEYS: usize = 10_000;
/// Requests sent before the measured ones, as a share of these.
const WARM_UP_SHARE: usize = 10;
/// The service of these measurements.
const SERVICE: &str = "gallery";

const HERE: Meaning = Meaning {
    name: "request_cpu_at_owner",
    what: "processor time of one request that reaches its owner's node at once",
    unit: "s",
    over: "hops between nodes",
};
const FORWARDED: Meaning = Meaning {
    name: "request_cpu_forwarded",
    what: "processor time of one request that another node forwards, both nodes together",
    unit: "s",
    over: "hops between nodes",
};

pub(crate) async fn measure(
    settings: &SlopeSettings,
    points: &mut Points,
) -> Result<(), BenchError> {
    let mut cluster = Cluster::new(MemoryPlatform::default());
    for number in 0..2 {
        let upstream = UpstreamSettings {
            name: format!("{SERVICE}-{number}"),
            service: SERVICE.into(),
            concurrency: 64,
            ..Default::default()
        };
        let node = NodeSettings {
            name: upstream.name.clone(),
            data_centre: format!("data-centre-{number}").into(),
            ..Default::default()
        };
        cluster.start(node, upstream).await?;
    }
    cluster.settle().await?;
    let (first, second) = (&cluster.pairs[0], &cluster.pairs[1]);
    let key = key_of(&cluster, first.node.incarnation())?;
    let upstream = first.upstream.spec().addr;
    let direct = cpu_per_request(upstream, &key, settings.requests).await?;
    let here = cpu_per_request(first.node.addrs().caller, &key, settings.requests).await?;
    let forwarded = cpu_per_request(second.node.addrs().caller, &key, settings.requests).await?;
    points.add(&HERE, 0.0, here - direct);
    points.add(&FORWARDED, 1.0, forwarded - direct);
    cluster.stop().await;
    Ok(())
}

fn key_of(cluster: &Cluster<MemoryPlatform>, owner: u64) -> Result<String, BenchError> {
    let map = cluster.pairs[0].node.map();
    let mut keys = (0..KEYS).map(|number| format!("painter-{number}"));
    let found = keys.find(|key| {
        let located = map.locate(SERVICE, key).and_then(|(_, owner)| owner);
        located.is_some_and(|located| located.incarnation == owner)
    });
    found.ok_or_else(|| BenchError::Slopes("no key of the wanted owner".to_owned()))
}

async fn cpu_per_request(to: SocketAddr, key: &str, requests: usize) -> Result<f64, BenchError> {
    let client = http_client();
    let url = format!("http://{to}/{SERVICE}/{key}");
    send(&client, &url, requests / WARM_UP_SHARE).await?;
    let before = cpu_time()?;
    send(&client, &url, requests).await?;
    let spent = cpu_time()?.saturating_sub(before);
    Ok(spent.as_secs_f64() / requests as f64)
}

async fn send(client: &Client, url: &str, requests: usize) -> Result<(), BenchError> {
    let workers = (0..CONCURRENCY).map(|_| {
        let (client, url) = (client.clone(), url.to_owned());
        smol::spawn(async move {
            for _ in 0..requests / CONCURRENCY {
                let mut answer = client.get(url.as_str()).await?.success().map_err(|_| {
                    BenchError::Slopes("a request of the measurement was refused".to_owned())
                })?;
                answer.response_body().read_bytes().await?;
            }
            Ok::<(), BenchError>(())
        })
    });
    for worker in workers.collect::<Vec<_>>() {
        worker.await?;
    }
    Ok(())
}
