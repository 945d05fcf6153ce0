//! Validation of the inventory.

use super::{NAME_REMEDY, Severity, capacity, is_name};
use crate::document::{Document, Located};
use crate::inventory::{Inventory, LostInstance, RegionEntry, ServiceEntry};
use ibiscove_types::ServiceKind;
use std::collections::HashSet;

/// Limit on a service's hash slots: each takes some bytes in a row.
const MAX_SLOTS: u32 = 65_536;
/// Number of data centres with which the loss of one leaves two witnesses, the
/// nodes that confirm leases.
const MIN_DATA_CENTRES_FOR_LEASES: usize = 3;

pub(super) fn check(document: &mut Document<'_>) -> Inventory {
    let regions: Vec<Located<RegionEntry>> = document.entries("region");
    let services: Vec<Located<ServiceEntry>> = document.entries("service");
    let lost: Vec<Located<LostInstance>> = document.entries("lost");
    check_regions(document, &regions);
    check_names(document, &services, |service| &service.name, "name");
    check_names(document, &lost, |lost| &lost.instance, "instance");
    let data_centres: HashSet<&str> = regions
        .iter()
        .flat_map(|region| region.value.data_centres.iter().map(String::as_str))
        .collect();
    for service in &services {
        check_slots(document, service);
        check_placement(document, service, &data_centres);
        capacity::check(document, service, &regions);
    }
    Inventory {
        regions: regions.into_iter().map(|entry| entry.value).collect(),
        services: services.into_iter().map(|entry| entry.value).collect(),
        lost: lost.into_iter().map(|entry| entry.value).collect(),
    }
}

/// Reports invalid and duplicate names.
fn check_names<T>(
    document: &mut Document<'_>,
    entries: &[Located<T>],
    name: impl Fn(&T) -> &String,
    field: &str,
) {
    let mut seen = HashSet::new();
    for entry in entries {
        let name = name(&entry.value);
        if !is_name(name) {
            let problem = format!("{name:?} is not a name");
            document.push(
                Severity::Error,
                &entry.location,
                field,
                &problem,
                NAME_REMEDY,
            );
        } else if !seen.insert(name) {
            let problem = format!("{name:?} is given twice");
            let remedy = "keep one of the entries";
            document.push(Severity::Error, &entry.location, field, &problem, remedy);
        }
    }
}

fn check_regions(document: &mut Document<'_>, regions: &[Located<RegionEntry>]) {
    check_names(document, regions, |region| &region.name, "name");
    let mut seen = HashSet::new();
    for region in regions {
        for name in &region.value.data_centres {
            if !is_name(name) {
                let problem = format!("{name:?} is not a name");
                document.push(
                    Severity::Error,
                    &region.location,
                    "data_centres",
                    &problem,
                    NAME_REMEDY,
                );
            } else if !seen.insert(name) {
                let problem = format!("data centre {name:?} is given twice");
                let remedy = "name each data centre once, in one region";
                document.push(
                    Severity::Error,
                    &region.location,
                    "data_centres",
                    &problem,
                    remedy,
                );
            }
        }
        check_data_centre_count(document, region);
    }
}

fn check_data_centre_count(document: &mut Document<'_>, region: &Located<RegionEntry>) {
    let count = region.value.data_centres.len();
    if count == 0 {
        let problem = "the region has no data centre";
        let remedy = "list at least one";
        document.push(
            Severity::Error,
            &region.location,
            "data_centres",
            problem,
            remedy,
        );
    } else if count < MIN_DATA_CENTRES_FOR_LEASES {
        let problem = format!("{count} data centres cannot keep leases when one is lost");
        let remedy = "spread the region over three data centres";
        document.push(
            Severity::Warning,
            &region.location,
            "data_centres",
            &problem,
            remedy,
        );
    }
}

fn check_slots(document: &mut Document<'_>, service: &Located<ServiceEntry>) {
    let entry = &service.value;
    if !service.location.has_field("slots") {
        return;
    }
    if entry.kind == ServiceKind::Shared {
        let problem = "a shared service has no slots";
        let remedy = "remove the field or set kind = \"divided\"";
        document.push(
            Severity::Warning,
            &service.location,
            "slots",
            problem,
            remedy,
        );
    }
    if !entry.slots.is_power_of_two() || entry.slots > MAX_SLOTS {
        let problem = format!("{} is not a power of two up to {MAX_SLOTS}", entry.slots);
        let next_valid = entry.slots.clamp(1, MAX_SLOTS).next_power_of_two();
        let remedy = format!("use {next_valid}");
        document.push(
            Severity::Error,
            &service.location,
            "slots",
            &problem,
            &remedy,
        );
    }
}

fn check_placement(
    document: &mut Document<'_>,
    service: &Located<ServiceEntry>,
    data_centres: &HashSet<&str>,
) {
    let entry = &service.value;
    for name in entry.placement.keys() {
        if !data_centres.contains(name.as_str()) {
            let problem = format!("no region has a data centre {name:?}");
            let remedy = "add it to a region or correct its name";
            document.push(
                Severity::Error,
                &service.location,
                "placement",
                &problem,
                remedy,
            );
        }
    }
    let placed: u32 = entry.placement.values().sum();
    if placed != 0 && entry.upstreams != 0 && placed != entry.upstreams {
        let problem = format!(
            "{placed} upstreams are placed and {} listed",
            entry.upstreams
        );
        let remedy = "make the two numbers agree, or leave upstreams out";
        document.push(
            Severity::Error,
            &service.location,
            "placement",
            &problem,
            remedy,
        );
    }
}
