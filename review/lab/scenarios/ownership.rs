//! The check of the rule OWNER on what endpoints have seen.

use crate::keyed::Ledger;
use crate::record::Record;

/// Overlaps that are shorter are not counted.
const SLACK_S: f64 = 0.05;

/// Returns whether no endpoint was given a key on which another was still at work, before
/// that one's hold would have run out.
pub fn held(record: &Record, ledger: &Ledger) -> bool {
    let mut broken = 0;
    for grant in &ledger.grants {
        let at_work = ledger.works.iter().filter(|work| {
            work.endpoint != grant.endpoint
                && (grant.first..=grant.last).contains(&work.key)
                && work.began < grant.taken
                && work
                    .ended
                    .is_some_and(|ended| ended > grant.taken + SLACK_S)
        });
        for work in at_work {
            // The hold of the other endpoint, as its last grant of the key says.
            let held = ledger.grants.iter().filter(|other| {
                other.endpoint == work.endpoint
                    && (other.first..=other.last).contains(&work.key)
                    && other.taken < grant.taken
            });
            let until = held.map(|other| other.until).fold(0.0, f64::max);
            if until <= grant.taken {
                continue;
            }
            broken += 1;
            record.say(format!(
                "OWNER: at {:.3} {} is given key {} (fence {}), on which {} is at work for {} until {:.3}; \
                 its hold ends at {until:.3}",
                grant.taken,
                grant.endpoint,
                work.key,
                grant.fence,
                work.endpoint,
                work.id,
                work.ended.unwrap_or_default(),
            ));
        }
    }
    record.say(format!(
        "{} grants, {} requests run, {broken} keys given while another endpoint was at work",
        ledger.grants.len(),
        ledger.works.len()
    ));
    broken == 0
}
