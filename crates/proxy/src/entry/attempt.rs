//! One attempt at a request: which node gets it, and what its answer teaches.

use super::plan::Plan;
use super::{Entry, Tried};
use crate::gate::{KeyOwner, Permit};
use crate::headers::{self, GATE_LOAD, OUTCOME};
use crate::refusal::Refusal;
use crate::relay::{Reply, read_answer};
use crate::targets::{Choices, InFlight, Target};
use hyper::HeaderMap;
use ibiscove_http::SendError;
use ibiscove_routing::placement::{Candidate, Distance};
use ibiscove_types::{Clock, Reason, ServiceName};
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl<K: KeyOwner, C: Clock> Entry<K, C> {
    pub(super) async fn attempt(
        &self,
        plan: &mut Plan,
        tried: &mut Tried,
        rng: &mut fastrand::Rng,
    ) -> Result<Reply<Permit<K, C>>, Refusal> {
        let now = self.parts().clock.now();
        let target = match plan.is_divided {
            true => self.owner(plan, tried, now)?,
            false => self.choose(plan, tried, rng, now)?,
        };
        tried.nodes.push(Arc::clone(&target.node));
        // Where another gate may still meet the target, this one should not let
        // the request wait until it is late.
        plan.work.may_be_late = !tried.may_ask_others(tried.attempts + 1);
        let plan = &*plan;
        let in_flight = self.inner.targets.begin(&target.node);
        let left = plan.work.deadline.saturating_duration_since(now);
        let timeout = async {
            self.parts().clock.sleep(left).await;
            Err(Refusal::unknown(Reason::DeadlineExceeded))
        };
        let answered = match target.gate {
            None => {
                self.parts()
                    .gate
                    .run(&plan.work, &plan.call)
                    .or(timeout)
                    .await
            }
            Some(gate) => self.forward(plan, &target, gate).or(timeout).await,
        };
        learn(in_flight, &answered);
        answered
    }

    /// The node that owns the request's key.
    fn owner(&self, plan: &Plan, tried: &mut Tried, now: Instant) -> Result<Target, Refusal> {
        let parts = self.parts();
        let key = plan.work.key.ok_or(Refusal::not_run(Reason::NoKey))?;
        let no_owner = Refusal::not_run(Reason::NoOwner).after(NO_OWNER_RETRY);
        let known = parts.maps.get(&plan.work.service).ok_or(no_owner)?;
        let assignment = known.map.assignment_of(key);
        tried.fence = Some(assignment.fence);
        let owner = assignment.owner.as_ref().ok_or(no_owner)?;
        if owner.node == parts.identity.node {
            return Ok(Target {
                node: Arc::clone(&owner.node),
                gate: None,
            });
        }
        let member = parts.members.get(&owner.node).ok_or(no_owner)?;
        if !parts.members.is_alive(&member, now) && !member.leaving {
            return Err(no_owner);
        }
        Ok(Target {
            node: Arc::clone(&owner.node),
            gate: Some(member.gate),
        })
    }

    /// The best upstream of a shared service.
    fn choose(
        &self,
        plan: &Plan,
        tried: &mut Tried,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Result<Target, Refusal> {
        let parts = self.parts();
        let mut choices = Choices::default();
        let own = &parts.identity;
        parts
            .members
            .for_each_alive_of(&plan.work.service, now, |member| {
                choices.add(
                    member,
                    &own.data_centre,
                    &parts.settings.distances,
                    &tried.nodes,
                );
            });
        if let Some(candidate) = self.own_candidate(&plan.work.service, tried) {
            choices.add_own(&own.node, candidate);
        }
        let target = self.inner.targets.choose(&choices, rng);
        let target = target.ok_or(Refusal::not_run(Reason::NoUpstream).after(NO_OWNER_RETRY))?;
        tried.has_others = choices.has_untried();
        Ok(target)
    }

    fn own_candidate(&self, service: &ServiceName, tried: &Tried) -> Option<Candidate> {
        let parts = self.parts();
        let present = parts.local_upstream.current()?;
        if present.announcement.service != *service || present.draining_since.is_some() {
            return None;
        }
        let load = parts.gate.load();
        Some(Candidate {
            distance: Distance::Local,
            round_trip: Duration::ZERO,
            load: f64::from(load.load),
            slots: f64::from(present.announcement.concurrency),
            service_time: load.service_time,
            failure_rate: 0.0,
            is_cold: !present.announcement.warm_up_remaining.is_zero(),
            was_attempted: tried.nodes.contains(&parts.identity.node),
        })
    }

    /// Sends the request to another node's gate.
    async fn forward(
        &self,
        plan: &Plan,
        target: &Target,
        gate: SocketAddr,
    ) -> Result<Reply<Permit<K, C>>, Refusal> {
        let parts = self.parts();
        let mut to = plan.call.headers.clone();
        if let Err(err) = plan.work.write(&mut to, parts.clock.now()) {
            log::error!("a request cannot be forwarded: {err}");
            return Err(Refusal::not_run(Reason::BadHeader));
        }
        let max_idle = match plan.work.idempotent {
            true => parts.settings.max_idle,
            false => parts.settings.max_idle_once,
        };
        let sent = parts.pool.send(gate, plan.call.request(to), max_idle).await;
        let exchange = sent.map_err(|err| peer_failed(plan, target, &err))?;
        if let Some((load, service_time)) = read_load(exchange.response.headers()) {
            parts.members.record_load(&target.node, load, service_time);
        }
        if let Some(refusal) = Refusal::read(&exchange.response) {
            // Read to its end the connection serves again.
            drop(read_answer::<()>(exchange, None).await);
            return Err(refusal);
        }
        let is_from_gate = exchange.response.headers().contains_key(OUTCOME);
        if !is_from_gate {
            return Err(Refusal::unknown(Reason::PeerLost));
        }
        let mut reply = read_answer(exchange, None).await.map_err(|err| {
            log::info!(request = &*plan.work.request_id, peer = &*target.node;
                "a peer's answer broke off: {err}");
            Refusal::unknown(Reason::PeerLost)
        })?;
        headers::remove_hop_by_hop(reply.headers_mut());
        reply.headers_mut().remove(OUTCOME);
        Ok(reply)
    }
}

/// When a caller may return while a key or service has nobody.
const NO_OWNER_RETRY: Duration = Duration::from_millis(250);

/// Learns of a node by what came of an attempt there. Refusals for want of
/// room or ownership teach nothing: the node said so itself.
fn learn<P>(in_flight: InFlight, answered: &Result<Reply<P>, Refusal>) {
    match answered {
        Ok(reply) => in_flight.end(reply.status().is_server_error()),
        Err(refusal) => match refusal.reason {
            Reason::PeerUnreachable
            | Reason::PeerLost
            | Reason::UpstreamUnreachable
            | Reason::UpstreamLost
            | Reason::UpstreamRefused
            | Reason::NoUpstream => in_flight.end(true),
            _ => {}
        },
    }
}

fn peer_failed(plan: &Plan, target: &Target, err: &SendError) -> Refusal {
    log::info!(request = &*plan.work.request_id, peer = &*target.node,
        since_ms = plan.arrived.elapsed().as_millis() as u64; "no answer from a peer: {err}");
    match err.is_unsent() {
        true => Refusal::not_run(Reason::PeerUnreachable),
        false => Refusal::unknown(Reason::PeerLost),
    }
}

fn read_load(from: &HeaderMap) -> Option<(u32, Duration)> {
    let (load, micros) = headers::text(from, &GATE_LOAD)?.split_once(',')?;
    Some((
        load.parse().ok()?,
        Duration::from_micros(micros.parse().ok()?),
    ))
}
