//! What exists.

use crate::ParseError;
use ibiscove_types::ServiceKind;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Slots of a divided service when the inventory names none.
pub const DEFAULT_SLOTS: u32 = 256;

/// The inventory file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Inventory {
    /// Regions and their data centres.
    #[serde(rename = "region")]
    pub regions: Vec<RegionEntry>,
    /// Services.
    #[serde(rename = "service")]
    pub services: Vec<ServiceEntry>,
    /// Instances that the operator declares lost.
    #[serde(rename = "lost")]
    pub lost: Vec<LostInstance>,
}

/// A region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionEntry {
    /// Its name.
    pub name: String,
    /// Names of its data centres.
    pub data_centres: Vec<String>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Its name.
    pub name: String,
    /// Whether each key has one owner.
    pub kind: ServiceKind,
    /// Number of hash slots, a power of two. Only for divided services, and
    /// fixed once the service lives.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether its upstreams check fences.
    #[serde(default)]
    pub checks_fences: bool,
    /// Number of upstreams that the register lists; 0 when not known.
    #[serde(default)]
    pub upstreams: u32,
    /// Requests that one upstream works on at a time; 0: as announced.
    #[serde(default)]
    pub concurrency: u32,
    /// Connections that one upstream accepts; 0: as announced.
    #[serde(default)]
    pub connections: u32,
    /// Requests at a time that the service is expected to carry at its peak;
    /// 0 when not known. Only the check of capacity uses it.
    #[serde(default)]
    pub peak_concurrency: u32,
    /// Number of upstreams in each data centre; none: spread evenly.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub placement: BTreeMap<String, u32>,
}

impl ServiceEntry {
    /// Number of upstreams that the inventory lists, placed or not.
    pub fn upstream_count(&self) -> u32 {
        self.upstreams.max(self.placement.values().sum())
    }
}

/// An instance that the operator declares lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LostInstance {
    /// The instance's name.
    pub instance: String,
}

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

impl Inventory {
    /// Reads an inventory.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        toml::from_str(text).map_err(|cause| ParseError {
            what: "inventory",
            cause: Box::new(cause),
        })
    }

    /// The entry of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == name)
    }
}
