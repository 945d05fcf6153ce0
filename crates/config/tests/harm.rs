//! Impact check: harm that a change would do to existing services.

use ibiscove_config::{HarmKind, Inventory, Rules, find_harms};
use ibiscove_types::ClusterMap;
use ibiscove_types::rows::{ServiceRow, node_key, service_key};
use ibiscove_types::{NodeRow, ServiceKind};
use yare::parameterized;

const BEFORE: &str = "
[[region]]
name = 'dakar'
data_centres = ['plateau', 'medina', 'almadies']
[[service]]
name = 'deposits'
kind = 'divided'
slots = 64
[[service]]
name = 'calendar'
kind = 'divided'
";

/// Returns a node that owns some slots of `deposits`, in plateau or medina.
fn node(number: u64, slots: std::ops::Range<u32>) -> NodeRow {
    let grants: Vec<_> = slots
        .map(|slot| serde_json::json!([slot, 1, null, "claimed"]))
        .collect();
    let addr = "127.0.0.1:1";
    let data_centre = if number == 1 { "plateau" } else { "medina" };
    serde_json::from_value(serde_json::json!({
        "incarnation": number, "name": format!("i{number}"), "region": "dakar",
        "data_centre": data_centre, "peer_addr": addr, "forward_addr": addr,
        "caller_addr": addr, "state": "live", "witnesses": [], "heirs": [], "grants": grants,
        "upstream": {
            "service": "deposits", "addr": addr, "concurrency": 12, "connections": 130,
            "checks_fences": true,
        },
    }))
    .expect("a node row")
}

/// Returns the map of three nodes that own 2, 31 and 31 of the 64 slots of
/// `deposits`.
fn cluster_map() -> ClusterMap {
    let service = ServiceRow::new("deposits".into(), ServiceKind::Divided, 64);
    let service = serde_json::to_vec(&service).expect("plain data");
    let nodes = [node(1, 0..2), node(2, 2..33), node(3, 33..64)];
    let nodes = nodes.map(|row| {
        (
            node_key(row.incarnation),
            serde_json::to_vec(&row).expect("plain data"),
        )
    });
    let service_key = service_key("deposits");
    let rows = nodes.iter().map(|(key, body)| (key.as_str(), 1, &body[..]));
    ClusterMap::from_rows(rows.chain([(service_key.as_str(), 1, &service[..])]))
}

#[parameterized(
    no_change = { "", "", &[] },
    unused_service_removed = { "[[service]]\nname = 'calendar'\nkind = 'divided'\n", "", &[] },
    existing_service_removed = {
        "[[service]]\nname = 'deposits'\nkind = 'divided'\nslots = 64\n", "", &[HarmKind::LastUpstream]
    },
    slots_changed = { "slots = 64", "slots = 128", &[HarmKind::Shape] },
    kind_changed = { "kind = 'divided'\nslots = 64", "kind = 'shared'", &[HarmKind::Shape] },
    slots_of_nonexistent_service_changed = {
        "name = 'calendar'\nkind = 'divided'\n", "name = 'calendar'\nkind = 'divided'\nslots = 512\n", &[]
    },
    loss_within_churn_limit = { "[[region]]", "[[lost]]\ninstance = 'i1'\n[[region]]", &[] },
    loss_above_churn_limit = {
        "[[region]]", "[[lost]]\ninstance = 'i2'\n[[region]]", &[HarmKind::Churn]
    },
    loss_of_all_upstreams = {
        "[[region]]",
        "[[lost]]\ninstance = 'i1'\n[[lost]]\ninstance = 'i2'\n[[lost]]\ninstance = 'i3'\n[[region]]",
        &[HarmKind::LastUpstream, HarmKind::Churn]
    },
    loss_of_unknown_instance = { "[[region]]", "[[lost]]\ninstance = 'i9'\n[[region]]", &[] },
    data_centre_without_nodes_removed = { ", 'almadies'", "", &[] },
    data_centre_with_nodes_removed = { "'plateau', ", "", &[HarmKind::DataCentre] },
)]
fn change_has_expected_harms(replace: &str, with: &str, expected: &[HarmKind]) {
    let after = BEFORE.replacen(replace, with, 1);
    assert!(
        replace.is_empty() || after != BEFORE,
        "the test case changes the inventory"
    );
    let parse = |text: &str| Inventory::parse(text).expect("a valid inventory");
    let harms = find_harms(
        &parse(BEFORE),
        &parse(&after),
        &Rules::default(),
        &cluster_map(),
    );
    let kinds: Vec<_> = harms.iter().map(|harm| harm.kind).collect();
    assert_eq!(kinds, expected, "{harms:?}");
}

#[test]
fn with_a_larger_churn_limit_a_larger_loss_does_no_harm() {
    let after = format!("[[lost]]\ninstance = 'i2'\n{BEFORE}");
    let rules = "[[service]]\nname = 'deposits'\nchurn_per_minute = 0.5\n";
    let harms = find_harms(
        &Inventory::parse(BEFORE).expect("valid"),
        &Inventory::parse(&after).expect("valid"),
        &Rules::parse(rules).expect("valid"),
        &cluster_map(),
    );
    assert_eq!(harms, []);
}

#[test]
fn every_harm_except_a_change_of_shape_can_be_forced() {
    for kind in [
        HarmKind::LastUpstream,
        HarmKind::Churn,
        HarmKind::DataCentre,
    ] {
        assert!(kind.can_be_forced());
    }
    assert!(!HarmKind::Shape.can_be_forced());
}
