//! News of range maps as heartbeats carry them.

use ibiscove_ranges::RangeMaps;
use ibiscove_ranges::map::{Assignment, KeyRange, Owner};
use ibiscove_ranges::maps::{
    MAX_NEWS_ASSIGNMENTS, SectionChanges, SectionContent, SectionNews, SectionUpdate,
};
use ibiscove_types::{Key, UpstreamIncarnation};
use ibiscove_wire::messages::{RangeAssignment, RangeMapChange};

/// Applies the news of a heartbeat. Malformed ones are counted and ignored; their
/// sections are fetched from the sender.
pub fn apply(maps: &RangeMaps, news: Vec<RangeMapChange>) {
    for change in news {
        match decode(change) {
            Some((service, section, update)) => {
                maps.accept_update(&service.into(), section, update);
            }
            None => {
                metrics::counter!("ibiscove_map_news_malformed_total").increment(1);
                log::debug!("news of a range map are malformed and ignored");
            }
        }
    }
}

/// Divides news into the changes of one datagram each. News without changes need
/// a datagram too, in which the sender's versions show them.
pub fn batches(news: Vec<SectionNews>) -> Vec<Vec<RangeMapChange>> {
    let mut batches: Vec<Vec<RangeMapChange>> = Vec::new();
    let mut last_len = 0;
    if !news.is_empty() {
        batches.push(Vec::new());
    }
    for item in news {
        let Some(change) = encode(item) else {
            continue;
        };
        let len = change.assignments.len();
        match batches.last_mut() {
            Some(batch) if last_len + len <= MAX_NEWS_ASSIGNMENTS => {
                batch.push(change);
                last_len += len;
            }
            _ => {
                batches.push(vec![change]);
                last_len = len;
            }
        }
    }
    batches
}

fn encode(news: SectionNews) -> Option<RangeMapChange> {
    let changes = news.changes?;
    Some(RangeMapChange {
        service_name: news.service.to_string(),
        section: i32::try_from(news.section).ok()?,
        version: news.version as i64,
        from_epoch: changes.from_epoch as i64,
        to_epoch: changes.to_epoch as i64,
        assignments: changes.changes.into_iter().map(encode_assignment).collect(),
    })
}

fn encode_assignment(assignment: Assignment) -> RangeAssignment {
    let (node, life) = match assignment.owner {
        Some(Owner { node, life }) => (Some(node.to_string()), Some(life)),
        None => (None, None),
    };
    RangeAssignment {
        first: assignment.range.first.into(),
        last: assignment.range.last.into(),
        fence: assignment.fence as i64,
        owner_node: node,
        owner_id: life.as_ref().map(|life| life.id.to_string()),
        owner_born_ms: life.map(|life| life.born_ms),
        handover: assignment.handover.as_deref().map(str::to_owned),
    }
}

fn decode(change: RangeMapChange) -> Option<(String, usize, SectionUpdate)> {
    let changes: Option<Vec<Assignment>> = change
        .assignments
        .into_iter()
        .map(decode_assignment)
        .collect();
    let update = SectionUpdate {
        version: u64::try_from(change.version).ok()?,
        content: SectionContent::Changes(SectionChanges {
            from_epoch: u64::try_from(change.from_epoch).ok()?,
            to_epoch: u64::try_from(change.to_epoch).ok()?,
            changes: changes?,
        }),
    };
    let section = usize::try_from(change.section).ok()?;
    Some((change.service_name, section, update))
}

fn decode_assignment(assignment: RangeAssignment) -> Option<Assignment> {
    let range = KeyRange {
        first: Key::try_from(assignment.first).ok()?,
        last: Key::try_from(assignment.last).ok()?,
    };
    let life = assignment.owner_id.zip(assignment.owner_born_ms);
    let owner = assignment
        .owner_node
        .zip(life)
        .map(|(node, (id, born_ms))| Owner {
            node: node.into(),
            life: UpstreamIncarnation {
                id: id.into(),
                born_ms,
            },
        });
    (range.first <= range.last).then_some(Assignment {
        range,
        owner,
        fence: u64::try_from(assignment.fence).ok()?,
        handover: assignment.handover.map(Into::into),
    })
}
