//! The inventory file: regions, data centres, services and lost instances.

use crate::ParseError;
use ibiscove_types::ServiceKind;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Default number of slots of a divided service, whose keys are each hashed to
/// a slot with one owner.
pub const DEFAULT_SLOTS: u32 = 256;

/// The inventory file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Inventory {
    /// The regions and their data centres.
    #[serde(rename = "region")]
    pub regions: Vec<RegionEntry>,
    /// The services.
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
    /// The region's name.
    pub name: String,
    /// Names of the region's data centres.
    pub data_centres: Vec<String>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The service's name.
    pub name: String,
    /// Whether each key has one owner (divided) or any upstream serves it
    /// (shared).
    pub kind: ServiceKind,
    /// Number of hash slots, a power of two. Only for divided services, and
    /// fixed once the service exists in the cluster.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the upstreams check fences: the number sent with each request,
    /// which increases with each change of the key's owner.
    #[serde(default)]
    pub checks_fences: bool,
    /// Number of upstreams in the register; 0 if unknown.
    #[serde(default)]
    pub upstreams: u32,
    /// Concurrent requests that one upstream accepts; 0 for the announced number.
    #[serde(default)]
    pub concurrency: u32,
    /// Connections that one upstream accepts; 0 for the announced number.
    #[serde(default)]
    pub connections: u32,
    /// Expected concurrent requests of the service at its peak; 0 if unknown.
    /// Only the capacity check uses it.
    #[serde(default)]
    pub peak_concurrency: u32,
    /// Number of upstreams in each data centre; empty if evenly distributed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub placement: BTreeMap<String, u32>,
}

impl ServiceEntry {
    /// Returns the number of upstreams, placed in a data centre or not.
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
    /// Parses an inventory.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        toml::from_str(text).map_err(|cause| ParseError {
            what: "inventory",
            cause: Box::new(cause),
        })
    }

    /// Returns the entry of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == name)
    }
}
