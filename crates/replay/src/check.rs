//! Evaluates promises against a history.

use crate::format::{Promise, Trace};
use crate::history::{CallerResponse, History, VersionSample};
use ibiscove_config::change::ConfigKind;
use ibiscove_types::Outcome;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A violated promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// The observation that violates it.
    pub observed: String,
}

/// Returns every violation of the trace's promises in the history.
pub fn check(trace: &Trace, history: &History) -> Vec<Violation> {
    let violations = trace.promises().flat_map(|promise| {
        let observations = evaluate(promise, history);
        observations.into_iter().map(|observed| Violation {
            promise: promise.clone(),
            observed,
        })
    });
    violations.collect()
}

/// Returns a description of each violation of a promise.
fn evaluate(promise: &Promise, history: &History) -> Vec<String> {
    match promise {
        Promise::SingleOwner => single_owner(history),
        Promise::AssignmentSurvives => assignment_survives(history),
        Promise::WholeAnswers => whole_answers(history),
        Promise::NotRunNeverRan => not_run_never_ran(history),
        Promise::AtMostOnce => at_most_once(history),
        Promise::DrainGetsNothingNew { after_ms } => {
            drain_gets_nothing_new(history, Duration::from_millis(*after_ms))
        }
        Promise::NothingCut => nothing_cut(history),
        Promise::ChangesStay => changes_stay(history),
        Promise::OneWinner => one_winner(history),
        Promise::Runs { order, times } => runs(history, order, *times),
        Promise::AllServed => all_served(history),
    }
}

fn single_owner(history: &History) -> Vec<String> {
    let mut by_slot: BTreeMap<(&str, u32), Vec<(_, u64, &str)>> = BTreeMap::new();
    for run in &history.runs {
        let Some((slot, fence)) = run.slot else {
            continue;
        };
        let runs = by_slot.entry((&run.service, slot)).or_default();
        runs.push((run.started, fence, &run.upstream));
    }
    let mut observed = Vec::new();
    for ((service, slot), mut runs) in by_slot {
        runs.sort();
        let mut owners: BTreeMap<u64, &str> = BTreeMap::new();
        let mut highest_fence = 0;
        for (_, fence, upstream) in runs {
            let owner = *owners.entry(fence).or_insert(upstream);
            if owner != upstream {
                observed.push(format!(
                    "slot {slot} of {service}: {owner} and {upstream} both ran requests under fence {fence}"
                ));
            }
            if fence < highest_fence {
                observed.push(format!(
                    "slot {slot} of {service}: {upstream} ran a request under fence {fence} after fence {highest_fence}"
                ));
            }
            highest_fence = highest_fence.max(fence);
        }
    }
    observed
}

fn assignment_survives(history: &History) -> Vec<String> {
    let mut served_fences: BTreeMap<(&str, u32), u64> = BTreeMap::new();
    for run in &history.runs {
        if let Some((slot, fence)) = run.slot {
            let highest = served_fences.entry((&run.service, slot)).or_default();
            *highest = fence.max(*highest);
        }
    }
    let violations = history.slots.iter().filter_map(|(service, slot, owner)| {
        let served = served_fences.get(&(service.as_str(), *slot)).copied();
        match (owner, served.unwrap_or(0)) {
            (None, _) => Some(format!("slot {slot} of {service} has no live owner")),
            (Some(fence), served) if *fence < served => Some(format!(
                "slot {slot} of {service} has fence {fence}, but was served under {served}"
            )),
            _ => None,
        }
    });
    let mut observed: Vec<String> = violations.collect();
    if history.slots.is_empty() {
        observed.push("no slot was known at the end of the replay".to_owned());
    }
    observed
}

fn whole_answers(history: &History) -> Vec<String> {
    let ran = history
        .responses
        .iter()
        .filter(|response| response.outcome == Some(Outcome::Ran));
    let mismatched =
        ran.filter(|response| response.echoed.as_deref() != Some(&response.request.target()));
    mismatched
        .map(|response| {
            format!(
                "the response to {} echoes {:?}",
                response.request.target(),
                response.echoed
            )
        })
        .collect()
}

fn not_run_never_ran(history: &History) -> Vec<String> {
    let refused = history
        .responses
        .iter()
        .filter(|response| response.outcome == Some(Outcome::NotRun));
    let ran = refused.filter(|response| match &response.request_id {
        Some(id) => history.runs.iter().any(|run| run.request_id == *id),
        // Without an id, any execution of the same target counts.
        None => history
            .runs
            .iter()
            .any(|run| run.target == response.request.target()),
    });
    ran.map(|response| {
        format!(
            "{} was reported as not-run, but ran",
            response.request.target()
        )
    })
    .collect()
}

fn at_most_once(history: &History) -> Vec<String> {
    let requests = history.responses.iter().map(|response| &response.request);
    let requests = requests.filter(|req| !req.is_idempotent());
    let targets: BTreeSet<String> = requests.map(|req| req.target()).collect();
    let violations = targets.into_iter().filter_map(|target| {
        let times = history
            .runs
            .iter()
            .filter(|run| run.target == target)
            .count();
        (times > 1).then(|| format!("{target} ran {times} times"))
    });
    violations.collect()
}

fn drain_gets_nothing_new(history: &History, after: Duration) -> Vec<String> {
    let mut observed = Vec::new();
    for drain in &history.drains {
        let late_runs = history
            .runs
            .iter()
            .filter(|run| run.upstream == drain.node && run.started > drain.started + after);
        observed.extend(late_runs.map(|run| {
            format!(
                "{} started at the drained {} after the allowed time",
                run.target, drain.node
            )
        }));
    }
    observed
}

fn nothing_cut(history: &History) -> Vec<String> {
    let failed_drains = history
        .drains
        .iter()
        .filter(|drain| drain.completed.is_none());
    let mut observed: Vec<String> = failed_drains
        .map(|drain| format!("the drain of {} failed", drain.node))
        .collect();
    let cut_requests = history
        .responses
        .iter()
        .filter(|response| is_cut(response, history));
    observed.extend(cut_requests.map(|response| {
        format!(
            "{} sent to {} got status {:?}, outcome {:?}",
            response.request.target(),
            response.node,
            response.status,
            response.outcome
        )
    }));
    observed
}

/// Returns whether a request that was sent before some drain began got no
/// complete response, or one that reports neither `ran` nor `not-run`.
fn is_cut(response: &CallerResponse, history: &History) -> bool {
    let mut drains = history.drains.iter();
    let was_in_flight = drains.any(|drain| response.sent <= drain.started);
    let has_outcome = matches!(response.outcome, Some(Outcome::Ran | Outcome::NotRun));
    was_in_flight && (response.status.is_none() || !has_outcome)
}

fn version(sample: &VersionSample, kind: ConfigKind) -> u64 {
    match kind {
        ConfigKind::Inventory => sample.inventory,
        ConfigKind::Rules => sample.rules,
    }
}

fn changes_stay(history: &History) -> Vec<String> {
    let mut observed = Vec::new();
    for kind in [ConfigKind::Inventory, ConfigKind::Rules] {
        let changes = history
            .changes
            .iter()
            .filter(|result| result.change.kind == kind);
        let accepted = changes
            .filter_map(|result| result.accepted)
            .max()
            .unwrap_or(0);
        for sample in &history.last_samples {
            let version = version(sample, kind);
            if version < accepted {
                observed.push(format!(
                    "{} has {kind} version {version}, but {accepted} was accepted",
                    sample.node
                ));
            }
        }
        let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
        for sample in history.samples.iter().chain(&history.last_samples) {
            let version = version(sample, kind);
            let highest = highest.entry(&sample.node).or_default();
            if version < *highest {
                observed.push(format!(
                    "{} reverted from {kind} version {highest} to {version}",
                    sample.node
                ));
            }
            *highest = version.max(*highest);
        }
    }
    observed
}

fn one_winner(history: &History) -> Vec<String> {
    let mut accepted: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for result in &history.changes {
        let key = (result.change.kind.as_str(), result.change.expect);
        *accepted.entry(key).or_default() += usize::from(result.accepted.is_some());
    }
    let violations = accepted.into_iter().filter(|(_, count)| *count != 1);
    violations
        .map(|((kind, expect), count)| {
            format!("{count} changes of {kind} version {expect} were accepted")
        })
        .collect()
}

fn runs(history: &History, order: &str, times: usize) -> Vec<String> {
    let suffix = format!("/{order}");
    let executions = history
        .runs
        .iter()
        .filter(|run| run.target.ends_with(&suffix));
    let count = executions.count();
    if count == times {
        return Vec::new();
    }
    vec![format!("{order} ran {count} times instead of {times}")]
}

fn all_served(history: &History) -> Vec<String> {
    let mut is_served: BTreeMap<String, bool> = BTreeMap::new();
    let responses = history.responses.iter();
    for response in responses.filter(|response| response.request.is_idempotent()) {
        let ran = response.outcome == Some(Outcome::Ran);
        *is_served.entry(response.request.target()).or_default() |= ran;
    }
    let is_empty = is_served.is_empty();
    let unserved = is_served.into_iter().filter(|(_, served)| !served);
    let mut observed: Vec<String> = unserved
        .map(|(target, _)| format!("{target} never got a response that reports ran"))
        .collect();
    if is_empty {
        observed.push("no request was sent".to_owned());
    }
    observed
}
