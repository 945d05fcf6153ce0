//! Capacity check: whether each service tolerates the loss of one data centre.

use super::Severity;
use crate::document::{Document, Located};
use crate::inventory::{RegionEntry, ServiceEntry};

/// Warns if the upstreams that remain after the loss of the data centre with
/// the most of them cannot carry the service's peak load, or if none remain.
pub(super) fn check(
    document: &mut Document<'_>,
    service: &Located<ServiceEntry>,
    regions: &[Located<RegionEntry>],
) {
    let entry = &service.value;
    let total = entry.upstream_count();
    if total == 0 {
        return;
    }
    let remaining = total - max_upstreams_in_data_centre(entry, total, data_centre_count(regions));
    if remaining == 0 {
        let problem = "the loss of one data centre takes every upstream";
        let remedy = "add an upstream in another data centre";
        document.push(
            Severity::Warning,
            &service.location,
            "upstreams",
            problem,
            remedy,
        );
        return;
    }
    let capacity = u64::from(remaining) * u64::from(entry.concurrency);
    let peak = u64::from(entry.peak_concurrency);
    if entry.concurrency != 0 && capacity < peak {
        let problem = format!(
            "after the loss of one data centre {remaining} of {total} upstreams carry \
             {capacity} requests at a time, and {peak} are expected"
        );
        let needed = peak.div_ceil(u64::from(entry.concurrency)) - u64::from(remaining);
        let remedy = format!("add {needed} upstreams outside the largest data centre");
        document.push(
            Severity::Warning,
            &service.location,
            "peak_concurrency",
            &problem,
            &remedy,
        );
    }
}

fn data_centre_count(regions: &[Located<RegionEntry>]) -> u32 {
    let count: usize = regions.iter().map(|r| r.value.data_centres.len()).sum();
    count.max(1) as u32
}

/// Returns the number of upstreams in the data centre that has the most; without
/// a placement, they count as evenly distributed.
fn max_upstreams_in_data_centre(entry: &ServiceEntry, total: u32, data_centres: u32) -> u32 {
    let max_placed = entry.placement.values().copied().max();
    max_placed.unwrap_or_else(|| total.div_ceil(data_centres))
}
