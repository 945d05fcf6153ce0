//! Import of an inventory from the CSV export of an asset register.
//!
//! Registers differ, so columns are recognised by their usual names. An
//! unusable row is skipped and reported with its line; its values are never
//! guessed.

use crate::check_inventory;
use crate::inventory::{Inventory, RegionEntry, ServiceEntry};
use ibiscove_types::ServiceKind;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Region of data centres for which the register names none.
const DEFAULT_REGION: &str = "default";
/// States of an asset that is in use, in lower case.
const IN_USE_STATES: &[&str] = &["", "active", "in use", "in-use", "live", "ok", "running"];

/// The result of an import.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ImportOutcome {
    /// The inventory.
    pub inventory: Inventory,
    /// Number of register rows that were imported.
    pub taken: usize,
    /// The rows that were skipped.
    pub skipped: Vec<SkippedRow>,
}

/// A skipped row of the register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SkippedRow {
    /// Line in the file, counted from 1.
    pub line: u64,
    /// The asset's name; empty if it has none.
    pub asset: String,
    /// Why the row was skipped.
    pub reason: String,
}

/// Why a register cannot be imported.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// The file is not CSV.
    #[error("register: {0}")]
    Csv(#[from] csv::Error),
    /// A required column is missing.
    #[error("register: no column {0}; it needs one of: {1}")]
    Column(&'static str, String),
}

/// A register column, with the lower-case headers that identify it.
#[derive(Clone, Copy)]
struct Column {
    name: &'static str,
    aliases: &'static [&'static str],
}

const ASSET: Column = Column {
    name: "asset",
    aliases: &["asset", "instance", "name", "host", "hostname"],
};
const SERVICE: Column = Column {
    name: "service",
    aliases: &["service", "role", "application", "app"],
};
const DATA_CENTRE: Column = Column {
    name: "data centre",
    aliases: &[
        "data_centre",
        "data centre",
        "datacenter",
        "site",
        "location",
    ],
};
const REGION: Column = Column {
    name: "region",
    aliases: &["region", "city"],
};
const STATE: Column = Column {
    name: "state",
    aliases: &["state", "status"],
};
const KIND: Column = Column {
    name: "kind",
    aliases: &["kind", "ownership"],
};
const CONCURRENCY: Column = Column {
    name: "concurrency",
    aliases: &["concurrency", "capacity"],
};
const CONNECTIONS: Column = Column {
    name: "connections",
    aliases: &["connections", "max_connections"],
};
const CHECKS_FENCES: Column = Column {
    name: "checks fences",
    aliases: &["checks_fences", "fenced"],
};

/// Converts a register's CSV export, with one row per asset, to an inventory.
///
/// A service's limits are the smallest that any of its assets has, because no
/// upstream may receive more than it accepts.
pub fn import(csv: &str) -> Result<ImportOutcome, ImportError> {
    let mut reader = csv::ReaderBuilder::new()
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(csv.as_bytes());
    let columns = Columns::find(reader.headers()?)?;
    let mut builder = InventoryBuilder::default();
    for record in reader.records() {
        match record {
            Ok(record) => builder.add_record(&columns, &record),
            Err(err) => builder.skip_unreadable(&err),
        }
    }
    Ok(builder.finish())
}

struct Columns {
    headers: Vec<String>,
}

impl Columns {
    fn find(headers: &csv::StringRecord) -> Result<Self, ImportError> {
        let columns = Self {
            headers: headers.iter().map(str::to_lowercase).collect(),
        };
        for column in [ASSET, SERVICE, DATA_CENTRE] {
            if columns.index(column).is_none() {
                return Err(ImportError::Column(column.name, column.aliases.join(", ")));
            }
        }
        Ok(columns)
    }

    fn index(&self, column: Column) -> Option<usize> {
        let mut aliases = column.aliases.iter();
        aliases.find_map(|alias| self.headers.iter().position(|header| header == alias))
    }

    fn get<'r>(&self, record: &'r csv::StringRecord, column: Column) -> &'r str {
        self.index(column)
            .and_then(|index| record.get(index))
            .unwrap_or_default()
    }
}

#[derive(Default)]
struct InventoryBuilder {
    regions: BTreeMap<String, BTreeSet<String>>,
    services: BTreeMap<String, ServiceEntry>,
    data_centre_regions: BTreeMap<String, String>,
    assets: BTreeSet<String>,
    skipped: Vec<SkippedRow>,
}

impl InventoryBuilder {
    fn add_record(&mut self, columns: &Columns, record: &csv::StringRecord) {
        if let Err(reason) = self.try_add_record(columns, record) {
            self.skipped.push(SkippedRow {
                line: record.position().map_or(0, csv::Position::line),
                asset: columns.get(record, ASSET).to_owned(),
                reason,
            });
        }
    }

    fn skip_unreadable(&mut self, err: &csv::Error) {
        self.skipped.push(SkippedRow {
            line: err.position().map_or(0, csv::Position::line),
            asset: String::new(),
            reason: err.to_string(),
        });
    }

    fn try_add_record(
        &mut self,
        columns: &Columns,
        record: &csv::StringRecord,
    ) -> Result<(), String> {
        let get = |column| columns.get(record, column);
        let state = get(STATE).to_lowercase();
        if !IN_USE_STATES.contains(&state.as_str()) {
            return Err(format!("its state is {state:?}"));
        }
        let asset = get(ASSET);
        if asset.is_empty() {
            return Err("it has no name".to_owned());
        }
        if self.assets.contains(asset) {
            return Err("its name stands on an earlier row".to_owned());
        }
        let service = normalize_name(get(SERVICE), SERVICE)?;
        let data_centre = normalize_name(get(DATA_CENTRE), DATA_CENTRE)?;
        let region = match get(REGION) {
            "" => DEFAULT_REGION.to_owned(),
            text => normalize_name(text, REGION)?,
        };
        let entry = service_entry(&service, &get)?;
        self.check_region(&data_centre, &region)?;
        self.merge_service(entry, &data_centre)?;
        self.assets.insert(asset.to_owned());
        self.data_centre_regions
            .insert(data_centre.clone(), region.clone());
        self.regions.entry(region).or_default().insert(data_centre);
        Ok(())
    }

    fn check_region(&self, data_centre: &str, region: &str) -> Result<(), String> {
        match self.data_centre_regions.get(data_centre) {
            Some(known_region) if known_region != region => Err(format!(
                "data centre {data_centre} stands in region {known_region} on an earlier row"
            )),
            _ => Ok(()),
        }
    }

    fn merge_service(&mut self, entry: ServiceEntry, data_centre: &str) -> Result<(), String> {
        let merged = self.services.entry(entry.name.clone());
        let merged = merged.or_insert_with(|| entry.clone());
        if merged.kind != entry.kind {
            return Err(format!(
                "service {} has another kind on an earlier row",
                entry.name
            ));
        }
        merged.concurrency = min_known(merged.concurrency, entry.concurrency);
        merged.connections = min_known(merged.connections, entry.connections);
        merged.checks_fences &= entry.checks_fences;
        merged.upstreams += 1;
        *merged.placement.entry(data_centre.to_owned()).or_default() += 1;
        Ok(())
    }

    fn finish(self) -> ImportOutcome {
        let regions = self.regions.into_iter();
        let regions = regions.map(|(name, data_centres)| RegionEntry {
            name,
            data_centres: data_centres.into_iter().collect(),
        });
        ImportOutcome {
            inventory: Inventory {
                regions: regions.collect(),
                services: self.services.into_values().collect(),
                lost: Vec::new(),
            },
            taken: self.assets.len(),
            skipped: self.skipped,
        }
    }
}

/// Returns the smaller of two numbers, where 0 means unknown.
fn min_known(a: u32, b: u32) -> u32 {
    match (a, b) {
        (0, other) | (other, 0) => other,
        (a, b) => a.min(b),
    }
}

fn service_entry<'r>(
    service: &str,
    get: &impl Fn(Column) -> &'r str,
) -> Result<ServiceEntry, String> {
    let kind = match get(KIND).to_lowercase().as_str() {
        // Exclusive ownership of keys is safe for a shared service as well.
        "" | "divided" | "exclusive" => ServiceKind::Divided,
        "shared" => ServiceKind::Shared,
        other => return Err(format!("{other:?} is neither shared nor divided")),
    };
    let checks_fences = match get(CHECKS_FENCES).to_lowercase().as_str() {
        "" | "no" | "false" => false,
        "yes" | "true" => true,
        other => return Err(format!("checks fences: {other:?} is neither yes nor no")),
    };
    Ok(ServiceEntry {
        name: service.to_owned(),
        kind,
        slots: crate::inventory::DEFAULT_SLOTS,
        checks_fences,
        upstreams: 0,
        concurrency: parse_number(get(CONCURRENCY), CONCURRENCY)?,
        connections: parse_number(get(CONNECTIONS), CONNECTIONS)?,
        peak_concurrency: 0,
        placement: BTreeMap::new(),
    })
}

fn parse_number(text: &str, column: Column) -> Result<u32, String> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse()
        .map_err(|_| format!("{}: {text:?} is not a number", column.name))
}

/// Converts a register's text to a valid name: lower case, with '-' for
/// characters that names must not have.
fn normalize_name(text: &str, column: Column) -> Result<String, String> {
    let name: String = text
        .to_lowercase()
        .chars()
        .map(|c| {
            if c.is_ascii_alphanumeric() || "-_.".contains(c) {
                c
            } else {
                '-'
            }
        })
        .collect();
    if !crate::check::is_name(&name) || name.chars().all(|c| c == '-') {
        return Err(format!("{}: {text:?} gives no name", column.name));
    }
    Ok(name)
}

impl ImportOutcome {
    /// Returns the inventory as TOML, without fields whose value is unknown.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        let mut table = toml::Table::try_from(&self.inventory)?;
        table.retain(|_, section| {
            section
                .as_array()
                .is_some_and(|entries| !entries.is_empty())
        });
        let services = table.get_mut("service").and_then(|s| s.as_array_mut());
        for service in services.into_iter().flatten() {
            if let Some(service) = service.as_table_mut() {
                remove_unset_fields(service);
            }
        }
        toml::to_string(&table)
    }

    /// Validates the inventory and returns the findings, under the given file
    /// name.
    pub fn findings(&self, file: &str) -> Result<Vec<crate::Finding>, toml::ser::Error> {
        Ok(check_inventory(file, &self.to_toml()?).1)
    }
}

fn remove_unset_fields(service: &mut toml::Table) {
    let shared = service.get("kind").and_then(|kind| kind.as_str()) == Some("shared");
    service.retain(|field, value| value.as_integer() != Some(0) && !(shared && field == "slots"));
}
