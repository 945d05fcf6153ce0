//! One attempt at a request: selects a node, sends the request to it and records
//! the result.

use super::plan::RequestPlan;
use super::{Attempts, Entry};
use crate::forward::RequestMetadata;
use crate::gate::{GateLoad, KeyOwnership, Permit};
use crate::headers::{self, GATE_LOAD, OUTCOME};
use crate::refusal::Refusal;
use crate::relay::{RelayedResponse, read_response};
use crate::transit::SentTime;
use crate::upstream_selection::{CandidateSet, InFlightRequest, Target};
use ibiscove_http::SendError;
use ibiscove_routing::placement::{Candidate, Distance};
use ibiscove_types::{BootClock, Clock, Reason, ServiceName, format_fingerprint};
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl<K: KeyOwnership, C: Clock + BootClock> Entry<K, C> {
    pub(super) async fn attempt(
        &self,
        plan: &mut RequestPlan,
        attempts: &mut Attempts,
        rng: &mut fastrand::Rng,
    ) -> Result<RelayedResponse<Permit<K, C>>, Refusal> {
        let now = self.deps().clock.now();
        let fingerprint = plan.metadata.fingerprint;
        let crash_record = self.deps().suspects.record(fingerprint);
        if let Some(record) = crash_record
            && record.suspicion.is_quarantined()
        {
            let fingerprint = format_fingerprint(record.fingerprint);
            log::info!(request = &*plan.metadata.request_id, fingerprint = &*fingerprint,
                crashed_ms = record.crashed_ms; "a copy of a request in quarantine is refused");
            return Err(Refusal::quarantined());
        }
        plan.metadata.crash_record = crash_record;
        let target = match plan.is_divided {
            true => self.owner_target(plan, attempts, now)?,
            false => self.select_upstream(plan, attempts, rng, now)?,
        };
        attempts.nodes.push(Arc::clone(&target.node));
        // While another gate may still meet the target, this one should refuse
        // the request rather than queue it past the target.
        plan.metadata.may_miss_target = !attempts.may_attempt_another(attempts.count + 1);
        plan.metadata.upstream_notice = self.inner.notices.get(&target.node, now);
        let plan = &*plan;
        let in_flight = self.inner.selector.begin(&target.node);
        let remaining = plan.metadata.deadline.saturating_duration_since(now);
        let timeout = async {
            self.deps().clock.sleep(remaining).await;
            Err(Refusal::unknown(Reason::DeadlineExceeded))
        };
        let result = match target.gate {
            None => {
                self.deps()
                    .gate
                    .run(&plan.metadata, &plan.outbound)
                    .or(timeout)
                    .await
            }
            Some(gate) => self.forward(plan, &target, gate).or(timeout).await,
        };
        record_node_outcome(in_flight, &result);
        result
    }

    /// Returns the node that owns the request's key.
    fn owner_target(
        &self,
        plan: &RequestPlan,
        attempts: &mut Attempts,
        now: Instant,
    ) -> Result<Target, Refusal> {
        let deps = self.deps();
        let key = plan.metadata.key.ok_or(Refusal::not_run(Reason::NoKey))?;
        let no_owner = Refusal::not_run(Reason::NoOwner).with_retry_after(NO_OWNER_RETRY_AFTER);
        let map = deps.maps.get(&plan.metadata.service).ok_or(no_owner)?;
        let assignment = map.assignment_of(key);
        attempts.fence = Some(assignment.fence);
        let owner = assignment.owner.as_ref().ok_or(no_owner)?;
        if self.is_wholly_evacuated(&plan.metadata.service, now) {
            return Err(Refusal::not_run(Reason::Evacuated).with_retry_after(EVACUATED_RETRY_AFTER));
        }
        if owner.node == deps.identity.node {
            return Ok(Target {
                node: Arc::clone(&owner.node),
                gate: None,
            });
        }
        let member = deps.members.get(&owner.node).ok_or(no_owner)?;
        if !deps.members.is_alive(&member, now) && !member.leaving {
            return Err(no_owner);
        }
        Ok(Target {
            node: Arc::clone(&owner.node),
            gate: Some(member.gate),
        })
    }

    /// Selects an upstream of a shared service.
    fn select_upstream(
        &self,
        plan: &RequestPlan,
        attempts: &mut Attempts,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Result<Target, Refusal> {
        let deps = self.deps();
        let mut candidates = CandidateSet::default();
        let local = &deps.identity;
        let evacuated = deps.members.evacuations().names();
        let mut is_any_evacuated = false;
        deps.members
            .for_each_alive_of(&plan.metadata.service, now, |member| {
                if evacuated.contains(&member.data_centre) {
                    is_any_evacuated = true;
                    return;
                }
                candidates.add(
                    member,
                    &local.data_centre,
                    &deps.settings.round_trips,
                    &attempts.nodes,
                );
            });
        if let Some(candidate) = self.local_candidate(&plan.metadata.service, attempts) {
            match evacuated.contains(&local.data_centre) {
                true => is_any_evacuated = true,
                false => candidates.add_local(&local.node, candidate),
            }
        }
        let suspect = plan
            .metadata
            .crash_record
            .filter(|record| record.suspicion.is_suspect());
        let target = match suspect {
            // Nodes choose the same upstream, whose gate runs one copy at a time.
            Some(record) => candidates.choose_by_hash(record.fingerprint),
            None => self.inner.selector.choose(&candidates, rng),
        };
        attempts.has_unattempted = candidates.has_unattempted();
        target.ok_or(match is_any_evacuated {
            true => Refusal::not_run(Reason::Evacuated).with_retry_after(EVACUATED_RETRY_AFTER),
            false => Refusal::not_run(Reason::NoUpstream).with_retry_after(NO_OWNER_RETRY_AFTER),
        })
    }

    /// Returns whether all upstreams of a service are in evacuated data centres, so
    /// that its keys can have no other owner.
    fn is_wholly_evacuated(&self, service: &ServiceName, now: Instant) -> bool {
        let deps = self.deps();
        let evacuated = deps.members.evacuations().names();
        if evacuated.is_empty() {
            return false;
        }
        let local = &deps.identity;
        let is_served_here = local.service.as_ref() == Some(service)
            && deps.local_upstream.current().is_some()
            && !evacuated.contains(&local.data_centre);
        let mut is_served = is_served_here;
        deps.members.for_each_alive_of(service, now, |member| {
            is_served |= member.upstream.is_some() && !evacuated.contains(&member.data_centre);
        });
        !is_served
    }

    fn local_candidate(&self, service: &ServiceName, attempts: &Attempts) -> Option<Candidate> {
        let deps = self.deps();
        let upstream = deps.local_upstream.current()?;
        if upstream.announcement.service != *service || upstream.draining_since.is_some() {
            return None;
        }
        let load = deps.gate.load();
        Some(Candidate {
            distance: Distance::Local,
            round_trip: Duration::ZERO,
            load: f64::from(load.load),
            concurrency: f64::from(load.concurrency),
            service_time: load.service_time,
            failure_rate: 0.0,
            is_cold: !upstream.announcement.warm_up_remaining.is_zero(),
            was_attempted: attempts.nodes.contains(&deps.identity.node),
        })
    }

    /// Sends the request to another node's gate.
    async fn forward(
        &self,
        plan: &RequestPlan,
        target: &Target,
        gate: SocketAddr,
    ) -> Result<RelayedResponse<Permit<K, C>>, Refusal> {
        let deps = self.deps();
        let mut to = plan.outbound.headers.clone();
        let sent = SentTime::new(self.inner.process, deps.clock.since_boot());
        let metadata = RequestMetadata {
            sent: Some(sent),
            ..plan.metadata.clone()
        };
        if let Err(err) = metadata.write(&mut to, deps.clock.now()) {
            log::error!(
                "the metadata of a request cannot be serialised; the request is refused: {err}"
            );
            return Err(Refusal::not_run(Reason::Internal));
        }
        let max_idle = match plan.metadata.idempotent {
            true => deps.settings.max_idle,
            false => deps.settings.max_idle_non_idempotent,
        };
        let sent = deps
            .pool
            .send(gate, plan.outbound.to_http(to), max_idle)
            .await;
        let exchange = sent.map_err(|err| peer_refusal(plan, target, &err))?;
        let load = headers::text(exchange.response.headers(), &GATE_LOAD);
        if let Some(load) = load.and_then(GateLoad::from_header) {
            let GateLoad {
                load,
                service_time,
                concurrency,
            } = load;
            deps.members
                .record_load(&target.node, load, service_time, concurrency);
        }
        deps.suspects
            .merge_header(exchange.response.headers(), &target.node, deps.clock.now());
        let refusal = Refusal::from_response(&exchange.response);
        let (budget, deadline) = (&deps.response_budget, plan.metadata.deadline);
        self.inner.notices.record(
            &target.node,
            exchange.response.headers(),
            refusal.is_none(),
            deps.clock.now(),
        );
        if let Some(refusal) = refusal {
            // Reading the body to its end makes the connection reusable.
            drop(read_response::<()>(exchange, None, budget, deadline).await);
            return Err(refusal);
        }
        let is_from_gate = exchange.response.headers().contains_key(OUTCOME);
        if !is_from_gate {
            return Err(Refusal::unknown(Reason::PeerLost));
        }
        let read = read_response(exchange, None, budget, deadline).await;
        let mut response = read.map_err(|err| {
            log::info!(request = &*plan.metadata.request_id, peer = &*target.node;
                "a peer's answer broke off; the outcome of the request is unknown: {err}");
            Refusal::unknown(Reason::PeerLost)
        })?;
        headers::remove_hop_by_hop(response.headers_mut());
        response.headers_mut().remove(OUTCOME);
        Ok(response)
    }
}

/// Time after which a caller may retry when a key has no owner or a service no
/// upstream.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time after which a caller may retry when all upstreams are in evacuated data centres,
/// which an operator takes back.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Updates a node's failure rate after an attempt. Refusals for lack of free
/// capacity or ownership do not count: the node responded as it should.
fn record_node_outcome<P>(
    in_flight: InFlightRequest,
    result: &Result<RelayedResponse<P>, Refusal>,
) {
    match result {
        Ok(response) => in_flight.finish(response.status().is_server_error()),
        Err(refusal) => match refusal.reason {
            Reason::PeerUnreachable
            | Reason::PeerLost
            | Reason::UpstreamUnreachable
            | Reason::UpstreamLost
            | Reason::UpstreamRefused
            | Reason::NodesDisagree
            | Reason::NoUpstream => in_flight.finish(true),
            _ => {}
        },
    }
}

fn peer_refusal(plan: &RequestPlan, target: &Target, err: &SendError) -> Refusal {
    log::info!(request = &*plan.metadata.request_id, peer = &*target.node,
        since_ms = plan.arrived.elapsed().as_millis() as u64; "no answer from a peer: {err}");
    match err.is_unsent() {
        true => Refusal::not_run(Reason::PeerUnreachable),
        false => Refusal::unknown(Reason::PeerLost),
    }
}
