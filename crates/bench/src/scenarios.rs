//! What callers see while something happens to a mesh of Dakar's or Tunis's
//! size.

use crate::BenchError;
use crate::cluster::{Cluster, http_client};
use crate::load::{self, LoadSettings, Sample};
use ibiscove_node::NodeSettings;
use ibiscove_standin::{FaultyPlatform, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::{ClusterMap, Slot};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time that an upstream takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time of a request at a slow upstream.
const SLOW_TIME: Duration = Duration::from_millis(200);
/// Requests that the tool keeps in flight at most.
const MAX_IN_FLIGHT: usize = 2_000;
/// Keys that are asked for.
const KEYS: usize = 100;
/// Length of one interval of the plot.
const INTERVAL: Duration = Duration::from_millis(250);
/// Start of the random choices.
const SEED: u64 = 11;

type Platform = FaultyPlatform<MemoryPlatform>;

/// What happens in the middle of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Steady,
    /// Half of the requests go to one key, another each second.
    HotKey,
    /// One upstream becomes slow.
    SlowUpstream,
    /// One and a half times what the upstreams can do.
    Overload,
    /// One node leaves.
    Drain,
    /// One node and its upstream are lost.
    Loss,
    /// Every node of one data centre is lost.
    DataCentreLoss,
    /// The table goes down and one node is lost.
    LossInOutage,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Scenario; 8] = [
        Scenario::Steady,
        Scenario::HotKey,
        Scenario::SlowUpstream,
        Scenario::Overload,
        Scenario::Drain,
        Scenario::Loss,
        Scenario::DataCentreLoss,
        Scenario::LossInOutage,
    ];

    /// Its name on the command line and in results.
    pub fn as_str(self) -> &'static str {
        match self {
            Scenario::Steady => "steady",
            Scenario::HotKey => "hot-key",
            Scenario::SlowUpstream => "slow-upstream",
            Scenario::Overload => "overload",
            Scenario::Drain => "drain",
            Scenario::Loss => "loss",
            Scenario::DataCentreLoss => "data-centre-loss",
            Scenario::LossInOutage => "loss-in-outage",
        }
    }
}

/// A place of the brief, as far as a scenario needs it.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Its name in results.
    pub name: &'static str,
    /// Its data centres.
    pub data_centres: [&'static str; 3],
    /// Its service with divided keys.
    pub service: &'static str,
    /// Upstreams of that service.
    pub upstreams: usize,
    /// Requests that one upstream works on at a time.
    pub slots: u32,
    /// Connections that one upstream accepts.
    pub connections: u32,
}

/// Deposits and receipts in Dakar.
pub const DAKAR: Site = Site {
    name: "dakar",
    data_centres: ["plateau", "medina", "almadies"],
    service: "deposits",
    upstreams: 5,
    slots: 12,
    connections: 130,
};

/// The mount catalogue in Tunis.
pub const TUNIS: Site = Site {
    name: "tunis",
    data_centres: ["tunis-1", "tunis-2", "tunis-3"],
    service: "catalogue",
    upstreams: 4,
    slots: 6,
    connections: 60,
};

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: &'static str,
    /// The site.
    pub site: &'static str,
    /// Requests a second that were sent.
    pub rate: f64,
    /// Requests a second that ran.
    pub goodput: f64,
    /// Latency of requests that ran, in milliseconds.
    pub p50_ms: f64,
    /// As above, for 99 in 100.
    pub p99_ms: f64,
    /// As above, for 999 in 1,000.
    pub p999_ms: f64,
    /// Requests by what came of them.
    pub results: BTreeMap<String, usize>,
    /// Most loaded upstream over the mean.
    pub imbalance_max: f64,
    /// Standard deviation of the upstreams' load over the mean.
    pub imbalance_cv: f64,
    /// Share of the slots that changed owner, a minute.
    pub churn_per_minute: f64,
    /// Longest time from the event until a key was first served again, of keys
    /// that failed after it, in milliseconds; 0 when none failed.
    pub unavailable_ms: f64,
    /// As above, the median of those keys.
    pub unavailable_median_ms: f64,
    /// For each interval: its start in seconds, its 99th percentile in
    /// milliseconds, and requests that did not run.
    pub intervals: Vec<(f64, f64, usize)>,
}

impl Report {
    /// A row of the table in `docs/measurements.md`.
    pub fn to_row(&self) -> String {
        let results = self.results.iter();
        // Without a loss, a key that fails fails for want of capacity.
        let unavailable = if self.scenario.contains("loss") {
            let (median, most) = (self.unavailable_median_ms, self.unavailable_ms);
            format!("{median:.0} / {most:.0}")
        } else {
            String::new()
        };
        let results: Vec<_> = results
            .map(|(result, count)| format!("{result} {count}"))
            .collect();
        format!(
            "| {} | {} | {:.0} | {:.0} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.0}% | {unavailable} | {} |",
            self.site,
            self.scenario,
            self.rate,
            self.goodput,
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.imbalance_max,
            self.imbalance_cv,
            self.churn_per_minute * 100.0,
            results.join(", "),
        )
    }
}

/// Plays one scenario.
pub async fn run(scenario: Scenario, site: Site, length: Duration) -> Result<Report, BenchError> {
    let mut cluster = start(site).await?;
    let settings = LoadSettings {
        rate: rate(scenario, site),
        duration: length,
        in_flight: MAX_IN_FLIGHT,
        service: site.service.to_owned(),
        keys: KEYS,
        hot_share: if scenario == Scenario::HotKey {
            0.5
        } else {
            0.0
        },
        seed: SEED,
    };
    let addrs = cluster.pairs.iter().map(|pair| pair.node.addrs().caller);
    let callers = Arc::new(Mutex::new(addrs.collect::<Vec<_>>()));
    let client = http_client();
    let warm_up = LoadSettings {
        duration: length / 4,
        seed: SEED + 1,
        ..settings.clone()
    };
    load::run(&warm_up, &client, &callers).await;
    let first = owners(&cluster.pairs[0].node.map(), site);
    let loading = {
        let (settings, callers) = (settings.clone(), Arc::clone(&callers));
        smol::spawn(async move { load::run(&settings, &client, &callers).await })
    };
    let began = Instant::now();
    smol::Timer::after(length / 3).await;
    let event = Instant::now();
    act(scenario, site, &mut cluster, &callers).await;
    let samples = loading.await;
    let last = owners(&cluster.pairs[0].node.map(), site);
    let counts = loads(&cluster, began);
    let report = report(
        scenario,
        site,
        &settings,
        &samples,
        event,
        &counts,
        (&first, &last),
    );
    cluster.stop().await;
    Ok(report)
}

async fn start(site: Site) -> Result<Cluster<Platform>, BenchError> {
    let mut cluster = Cluster::new(FaultyPlatform::new(MemoryPlatform::default()));
    cluster.expect(site.service, site.upstreams).await?;
    for number in 0..site.upstreams {
        let name = format!("{}-{number}", site.service);
        let node = NodeSettings {
            name: name.clone(),
            region: site.name.into(),
            data_centre: site.data_centres[number % site.data_centres.len()].into(),
            ..Default::default()
        };
        let upstream = UpstreamSettings {
            name,
            service: site.service.into(),
            concurrency: site.slots,
            connections: site.connections,
            service_time: SERVICE_TIME,
            ..Default::default()
        };
        cluster.start(node, upstream).await?;
    }
    cluster.settle().await?;
    Ok(cluster)
}

fn rate(scenario: Scenario, site: Site) -> f64 {
    let capacity = f64::from(site.slots) * site.upstreams as f64 / SERVICE_TIME.as_secs_f64();
    match scenario {
        Scenario::Overload => capacity * 1.5,
        // A tenth leaves room for the nodes, which share the machine here.
        _ => capacity * 0.1,
    }
}

async fn act(
    scenario: Scenario,
    site: Site,
    cluster: &mut Cluster<Platform>,
    callers: &Arc<Mutex<Vec<SocketAddr>>>,
) {
    let last = cluster.pairs.len() - 1;
    match scenario {
        Scenario::Steady | Scenario::HotKey | Scenario::Overload => {}
        Scenario::SlowUpstream => cluster.pairs[last]
            .upstream
            .update_settings(|upstream| upstream.service_time = SLOW_TIME),
        Scenario::Drain => {
            let pair = cluster.pairs.remove(last);
            forget(callers, pair.node.addrs().caller);
            if let Err(err) = pair.node.drain().await {
                log::warn!("the drain of the scenario failed: {err}");
            }
        }
        Scenario::Loss => lose(cluster, callers, |number| number == last).await,
        Scenario::DataCentreLoss => {
            let data_centres = site.data_centres.len();
            lose(cluster, callers, |number| number % data_centres == 1).await;
        }
        Scenario::LossInOutage => {
            cluster
                .platform
                .update_faults(|faults| faults.unavailable = true);
            lose(cluster, callers, |number| number == last).await;
        }
    }
}

fn forget(callers: &Arc<Mutex<Vec<SocketAddr>>>, addr: SocketAddr) {
    let mut callers = callers.lock().expect("a holder of the lock panicked");
    callers.retain(|caller| *caller != addr);
}

async fn lose(
    cluster: &mut Cluster<Platform>,
    callers: &Arc<Mutex<Vec<SocketAddr>>>,
    is_lost: impl Fn(usize) -> bool,
) {
    let pairs = std::mem::take(&mut cluster.pairs);
    for (number, pair) in pairs.into_iter().enumerate() {
        if !is_lost(number) {
            cluster.pairs.push(pair);
            continue;
        }
        forget(callers, pair.node.addrs().caller);
        pair.upstream.stop();
        pair.node.kill().await;
    }
}

fn owners(map: &ClusterMap, site: Site) -> BTreeMap<Slot, u64> {
    let count = map
        .service(site.service)
        .map_or(0, |service| service.row.slot_count);
    let owned = (0..count).filter_map(|slot| {
        let owner = map.owner(site.service, slot)?;
        Some((slot, owner.incarnation))
    });
    owned.collect()
}

/// Requests that each upstream of the cluster ran since a moment.
fn loads(cluster: &Cluster<Platform>, since: Instant) -> Vec<f64> {
    let upstreams = cluster.pairs.iter().map(|pair| &pair.upstream);
    let counts = upstreams.map(|upstream| {
        let executions = upstream.executions();
        executions
            .iter()
            .filter(|run| run.started_at >= since)
            .count() as f64
    });
    counts.collect()
}

fn report(
    scenario: Scenario,
    site: Site,
    settings: &LoadSettings,
    samples: &[Sample],
    event: Instant,
    loads: &[f64],
    (first, last): (&BTreeMap<Slot, u64>, &BTreeMap<Slot, u64>),
) -> Report {
    let latencies = load::latencies(samples);
    let millis = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    let seconds = settings.duration.as_secs_f64();
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let most = loads.iter().copied().fold(0.0, f64::max);
    let variance = loads.iter().map(|load| (load - mean).powi(2)).sum::<f64>();
    let moved = last
        .iter()
        .filter(|(slot, owner)| first.get(slot) != Some(owner));
    let churn = moved.count() as f64 / first.len().max(1) as f64;
    let unavailable = unavailable(samples, event);
    let middle = unavailable.get(unavailable.len() / 2).copied();
    Report {
        scenario: scenario.as_str(),
        site: site.name,
        rate: settings.rate,
        goodput: latencies.len() as f64 / seconds,
        p50_ms: millis(0.5),
        p99_ms: millis(0.99),
        p999_ms: millis(0.999),
        results: load::results(samples),
        imbalance_max: most / mean.max(1.0),
        imbalance_cv: (variance / loads.len().max(1) as f64).sqrt() / mean.max(1.0),
        churn_per_minute: churn * 60.0 / seconds,
        unavailable_ms: unavailable.last().copied().unwrap_or_default() * 1e3,
        unavailable_median_ms: middle.unwrap_or_default() * 1e3,
        intervals: intervals(samples),
    }
}

/// For each key that failed after the event: seconds from the event until it
/// was first served after its last failure. Sorted.
fn unavailable(samples: &[Sample], event: Instant) -> Vec<f64> {
    let after: Vec<&Sample> = samples
        .iter()
        .filter(|sample| sample.intended >= event)
        .collect();
    let failed = after.iter().filter(|sample| !sample.is_ran());
    let keys: BTreeSet<usize> = failed.map(|sample| sample.key).collect();
    let times = keys.into_iter().map(|key| {
        let of_key = after.iter().filter(|sample| sample.key == key);
        let last_failure = of_key.clone().filter(|sample| !sample.is_ran());
        let last_failure = last_failure.map(|sample| sample.intended).max();
        let served =
            of_key.filter(|sample| sample.is_ran() && Some(sample.intended) > last_failure);
        let served = served.map(|sample| sample.intended + sample.latency).min();
        served.map_or(f64::INFINITY, |served| {
            served.duration_since(event).as_secs_f64()
        })
    });
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times
}

fn intervals(samples: &[Sample]) -> Vec<(f64, f64, usize)> {
    let Some(began) = samples.iter().map(|sample| sample.intended).min() else {
        return Vec::new();
    };
    let mut by_interval: BTreeMap<u128, Vec<Sample>> = BTreeMap::new();
    for sample in samples {
        let number = sample.intended.duration_since(began).as_millis() / INTERVAL.as_millis();
        by_interval.entry(number).or_default().push(sample.clone());
    }
    let intervals = by_interval.into_iter().map(|(number, samples)| {
        let p99 = load::latencies(&samples).value_at_quantile(0.99) as f64 / 1_000.0;
        let failed = samples.iter().filter(|sample| !sample.is_ran()).count();
        (number as f64 * INTERVAL.as_secs_f64(), p99, failed)
    });
    intervals.collect()
}
