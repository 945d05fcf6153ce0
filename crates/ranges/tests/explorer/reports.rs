//! Simulated upstreams that take grants in the answers to their reports, under
//! lost, late and reordered reports and answers.

use crate::cluster::Cluster;
use crate::upstreams::SimUpstreams;
use ibiscove_ranges::{GrantCall, HeldRange, HoldList, HoldReport, ReleasedRange};
use ibiscove_sim::ENVIRONMENT;
use ibiscove_types::{SinceBoot, UpstreamIncarnation};
use std::sync::Arc;
use std::time::Duration;

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(870);
/// The same while the upstream lets go of ranges.
const RELEASING_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a report within which an upstream takes the answer.
const ANSWER_WINDOW: Duration = Duration::from_secs(1);

/// A report on its way.
#[derive(Clone)]
pub struct SentReport {
    pub incarnation: UpstreamIncarnation,
    pub is_draining: bool,
    pub sequence: u64,
    pub sent: Duration,
    pub report: HoldReport,
}

/// Fates of a report and its answer, drawn by the injected faults.
struct Fate {
    report_delay: Duration,
    answer_delay: Duration,
    is_answer_lost: bool,
}

impl Cluster {
    /// Sends the reports of a node's upstream until the simulation ends.
    pub fn send_reports(&self, node: usize) {
        let (sim, upstreams) = (Arc::clone(&self.sim), self.upstreams.clone());
        let cluster = self.share();
        let phase = sim.draw(|rng| rng.u64(..REPORT_INTERVAL.as_millis() as u64));
        let reports = async move {
            sim.sleep(Duration::from_millis(phase)).await;
            loop {
                let report = upstreams.next_report(node);
                let is_releasing = upstreams.is_releasing(node);
                if let Some(report) = report {
                    let fate = draw_fate(&upstreams, node);
                    cluster.deliver_report(node, report, fate);
                }
                sim.sleep(match is_releasing {
                    true => RELEASING_INTERVAL,
                    false => REPORT_INTERVAL,
                })
                .await;
            }
        };
        self.sim.spawn(ENVIRONMENT, reports).detach();
    }

    fn deliver_report(&self, node: usize, report: SentReport, fate: Fate) {
        let (sim, cluster) = (Arc::clone(&self.sim), self.share());
        let delivery = async move {
            sim.sleep(fate.report_delay).await;
            let Some((index, process)) = cluster.process(node) else {
                return;
            };
            let answer_sim = Arc::clone(&sim);
            let exchange = async move {
                let list = process.exchange_report(&report);
                let Some(list) = list.filter(|_| !fate.is_answer_lost) else {
                    return;
                };
                let apply_sim = Arc::clone(&answer_sim);
                let apply = async move {
                    apply_sim.sleep(fate.answer_delay).await;
                    cluster.upstreams.apply_list(node, &report, &list);
                };
                answer_sim.spawn(ENVIRONMENT, apply).detach();
            };
            sim.spawn(index, exchange).detach();
        };
        self.sim.spawn(ENVIRONMENT, delivery).detach();
    }
}

fn draw_fate(upstreams: &SimUpstreams, node: usize) -> Fate {
    let faults = upstreams.faults(node);
    upstreams.sim.draw(|rng| {
        let late =
            |rng: &mut fastrand::Rng, longest: u64| match rng.f64() < faults.delay_probability {
                true => Duration::from_millis(rng.u64(1..longest)),
                false => Duration::from_micros(300),
            };
        Fate {
            report_delay: late(rng, 4_000),
            answer_delay: late(rng, 1_100),
            is_answer_lost: rng.f64() < faults.response_loss_probability,
        }
    })
}

impl SimUpstreams {
    /// Returns the next report of an upstream that is up.
    fn next_report(&self, index: usize) -> Option<SentReport> {
        let now = self.sim.now();
        let mut all = self.all();
        let state = &mut all[index];
        if !state.is_up {
            return None;
        }
        let (done, held): (Vec<_>, Vec<_>) = std::mem::take(&mut state.holds)
            .into_iter()
            .filter(|hold| hold.expires_at > now)
            .partition(|hold| hold.released_at.is_some_and(|at| at <= now));
        state.holds = held;
        // Clones of the handover tell the releases of one range apart.
        state
            .unacknowledged
            .extend(done.iter().map(|hold| ReleasedRange {
                range: hold.range,
                handover: Some(format!("{}-{}", hold.fence, now.as_micros()).into()),
            }));
        state.sequence += 1;
        Some(SentReport {
            incarnation: state.incarnation.clone(),
            is_draining: state.is_draining,
            sequence: state.sequence,
            sent: now,
            report: HoldReport {
                held: state
                    .holds
                    .iter()
                    .map(|hold| HeldRange {
                        range: hold.range,
                        fence: hold.fence,
                    })
                    .collect(),
                released: state.unacknowledged.clone(),
            },
        })
    }

    fn is_releasing(&self, index: usize) -> bool {
        let all = self.all();
        all[index]
            .holds
            .iter()
            .any(|hold| hold.released_at.is_some())
    }

    /// Applies the answer to a report: the upstream stops new work on what the
    /// list lacks and lets go of it once running work has ended.
    fn apply_list(&self, index: usize, report: &SentReport, list: &HoldList) {
        let now = self.sim.now();
        if now > report.sent + ANSWER_WINDOW {
            return;
        }
        let work_ends = now + Duration::from_millis(self.sim.draw(|rng| rng.u64(1..300)));
        {
            let mut all = self.all();
            let state = &mut all[index];
            if !state.is_up || state.incarnation != report.incarnation {
                return;
            }
            state
                .unacknowledged
                .retain(|released| !report.report.released.contains(released));
            state.let_go_beyond(list, work_ends);
        }
        let counted_from = match self.counts_from_arrival() {
            true => now,
            false => report.sent,
        };
        for grant in &list.grants {
            let call = GrantCall {
                incarnation: report.incarnation.clone(),
                range: grant.range,
                fence: grant.fence,
                duration: list.duration,
                send_by: SinceBoot::MAX,
                handover: grant.handover.clone(),
            };
            self.apply(index, &report.incarnation, &call, counted_from);
        }
    }
}
