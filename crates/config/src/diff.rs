//! Differences between two versions of a configuration, per entry and field.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One difference between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The differing entry, such as `service deposits`.
    pub entry: String,
    /// The field; none if the whole entry was added or removed.
    pub field: Option<String>,
    /// The earlier value as JSON, if any.
    pub before: Option<Value>,
    /// The later value as JSON, if any.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match (&self.before, &self.after) {
            (None, _) => '+',
            (_, None) => '-',
            _ => '~',
        };
        write!(f, "{sign} {}", self.entry)?;
        let Some(field) = &self.field else {
            return Ok(());
        };
        write!(f, ": {field}")?;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, " {before} -> {after}"),
            (Some(value), None) | (None, Some(value)) => write!(f, " {value}"),
            (None, None) => Ok(()),
        }
    }
}

/// Returns the differences between two inventories or two sets of rules.
///
/// Entries are matched by name, not by position, so that sorting a file is no
/// change. The order of routes is compared separately, because the first
/// matching route applies.
pub fn diff<T: Serialize>(before: &T, after: &T) -> Vec<Change> {
    let before = Entries::from_config(before);
    let after = Entries::from_config(after);
    let names: BTreeSet<_> = before.by_name.keys().chain(after.by_name.keys()).collect();
    let mut changes = Vec::new();
    for name in names {
        let (old, new) = (before.by_name.get(name), after.by_name.get(name));
        match (old, new) {
            (Some(old), Some(new)) => diff_fields(name, old, new, &mut changes),
            _ => changes.push(Change {
                entry: name.clone(),
                field: None,
                before: old.cloned(),
                after: new.cloned(),
            }),
        }
    }
    let (old, new) = (
        before.routes_shared_with(&after),
        after.routes_shared_with(&before),
    );
    if old != new {
        changes.push(Change {
            entry: "routes".to_owned(),
            field: Some("order".to_owned()),
            before: Some(old.into()),
            after: Some(new.into()),
        });
    }
    changes
}

fn diff_fields(name: &str, before: &Value, after: &Value, changes: &mut Vec<Change>) {
    let empty = serde_json::Map::new();
    let before = before.as_object().unwrap_or(&empty);
    let after = after.as_object().unwrap_or(&empty);
    let fields: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    for field in fields {
        let (old, new) = (before.get(field), after.get(field));
        if old != new {
            changes.push(Change {
                entry: name.to_owned(),
                field: Some(field.clone()),
                before: old.cloned(),
                after: new.cloned(),
            });
        }
    }
}

/// The entries of one version.
struct Entries {
    by_name: BTreeMap<String, Value>,
    /// Names of the routes, in file order.
    routes: Vec<String>,
}

impl Entries {
    fn from_config(value: &impl Serialize) -> Self {
        let value = serde_json::to_value(value).unwrap_or_default();
        let mut by_name = BTreeMap::new();
        let mut routes = Vec::new();
        for (section, entries) in value.as_object().into_iter().flatten() {
            for entry in entries.as_array().into_iter().flatten() {
                let name = format!("{section} {}", entry_name(entry));
                if section == "route" {
                    routes.push(name.clone());
                }
                by_name.insert(name, entry.clone());
            }
        }
        Self { by_name, routes }
    }

    /// Returns the names of the routes that `other` has too, in this order.
    fn routes_shared_with(&self, other: &Self) -> Vec<String> {
        let routes = self.routes.iter();
        routes
            .filter(|name| other.by_name.contains_key(*name))
            .cloned()
            .collect()
    }
}

/// Returns the name that identifies an entry in its section: a route's methods
/// and prefix, or the `name` or `instance` field.
fn entry_name(entry: &Value) -> String {
    let text = |field: &str| entry[field].as_str().map(str::to_owned);
    if let Some(prefix) = text("prefix") {
        let methods = entry["methods"].as_array().into_iter().flatten();
        let methods: Vec<_> = methods.filter_map(Value::as_str).collect();
        return match methods.is_empty() {
            true => prefix,
            false => format!("{} {prefix}", methods.join(",")),
        };
    }
    text("name")
        .or_else(|| text("instance"))
        .unwrap_or_default()
}
