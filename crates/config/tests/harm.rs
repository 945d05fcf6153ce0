//! What a change would do to services that live.

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

/// An instance with some slots of `deposits`, in plateau or medina.
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

/// Three instances of `deposits` with 2, 31 and 31 of its 64 slots.
fn living() -> ClusterMap {
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
    nothing = { "", "", &[] },
    unused_service_removed = { "[[service]]\nname = 'calendar'\nkind = 'divided'\n", "", &[] },
    living_service_removed = {
        "[[service]]\nname = 'deposits'\nkind = 'divided'\nslots = 64\n", "", &[HarmKind::LastUpstream]
    },
    slots_changed = { "slots = 64", "slots = 128", &[HarmKind::Shape] },
    kind_changed = { "kind = 'divided'\nslots = 64", "kind = 'shared'", &[HarmKind::Shape] },
    slots_of_unborn_service_changed = {
        "name = 'calendar'\nkind = 'divided'\n", "name = 'calendar'\nkind = 'divided'\nslots = 512\n", &[]
    },
    small_loss = { "[[region]]", "[[lost]]\ninstance = 'i1'\n[[region]]", &[] },
    large_loss = { "[[region]]", "[[lost]]\ninstance = 'i2'\n[[region]]", &[HarmKind::Churn] },
    loss_of_all = {
        "[[region]]",
        "[[lost]]\ninstance = 'i1'\n[[lost]]\ninstance = 'i2'\n[[lost]]\ninstance = 'i3'\n[[region]]",
        &[HarmKind::LastUpstream, HarmKind::Churn]
    },
    loss_of_unknown = { "[[region]]", "[[lost]]\ninstance = 'i9'\n[[region]]", &[] },
    empty_data_centre_removed = { ", 'almadies'", "", &[] },
    data_centre_removed = { "'plateau', ", "", &[HarmKind::DataCentre] },
)]
fn harm(replace: &str, by: &str, expected: &[HarmKind]) {
    let after = BEFORE.replacen(replace, by, 1);
    assert!(
        replace.is_empty() || after != BEFORE,
        "the case changes something"
    );
    let parse = |text: &str| Inventory::parse(text).expect("a valid inventory");
    let harms = find_harms(&parse(BEFORE), &parse(&after), &Rules::default(), &living());
    let kinds: Vec<_> = harms.iter().map(|harm| harm.kind).collect();
    assert_eq!(kinds, expected, "{harms:?}");
}

#[test]
fn a_larger_budget_lets_a_larger_loss_pass() {
    let after = format!("[[lost]]\ninstance = 'i2'\n{BEFORE}");
    let rules = "[[service]]\nname = 'deposits'\nchurn_per_minute = 0.5\n";
    let harms = find_harms(
        &Inventory::parse(BEFORE).expect("valid"),
        &Inventory::parse(&after).expect("valid"),
        &Rules::parse(rules).expect("valid"),
        &living(),
    );
    assert_eq!(harms, []);
}

#[test]
fn only_a_change_of_shape_can_never_be_forced() {
    for kind in [
        HarmKind::LastUpstream,
        HarmKind::Churn,
        HarmKind::DataCentre,
    ] {
        assert!(kind.can_be_forced());
    }
    assert!(!HarmKind::Shape.can_be_forced());
}
