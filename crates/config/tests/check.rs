//! Validation: each test case is a text with its expected findings.

use ibiscove_config::{Inventory, Severity, check_inventory, check_rules};
use yare::parameterized;

const INVENTORY: &str = "
[[region]]
name = 'dakar'
data_centres = ['plateau', 'medina', 'almadies']
[[service]]
name = 'deposits'
kind = 'divided'
[[service]]
name = 'gallery'
kind = 'shared'
";

/// Severity, line, field, and a part of the problem's text.
type Expected = (Severity, usize, &'static str, &'static str);

fn assert_findings(findings: &[ibiscove_config::Finding], expected: &[Expected]) {
    for (severity, line, field, words) in expected {
        assert!(
            findings.iter().any(|f| f.severity == *severity
                && f.line == *line
                && f.field == *field
                && f.problem.contains(words)
                && !f.remedy.is_empty()),
            "{severity:?} {line} {field} {words} is not among {findings:#?}"
        );
    }
    assert_eq!(findings.len(), expected.len(), "{findings:#?}");
}

const ERROR: Severity = Severity::Error;
const WARNING: Severity = Severity::Warning;
const REGION: &str = "[[region]]\nname = 'r'\ndata_centres = ['a', 'b', 'c']\n";

#[parameterized(
    syntax = { "[[service]\n", &[(ERROR, 1, "syntax", "unclosed"),
        (ERROR, 1, "service.name", "missing field")] },
    unknown_table = { "[[servise]]\nname = 'a'\n", &[(ERROR, 1, "servise", "no such table")] },
    not_a_list = { "[service]\nname = 'a'\n", &[(ERROR, 1, "service", "not a list")] },
    unknown_field = { "[[service]]\nname = 'a'\nkind = 'shared'\nslot = 4\n",
        &[(ERROR, 4, "service.slot", "unknown field")] },
    wrong_type = { "[[service]]\nname = 'a'\nkind = 'shared'\nupstreams = 'four'\n",
        &[(ERROR, 4, "service.upstreams", "invalid type")] },
    unknown_kind = { "[[service]]\nname = 'a'\nkind = 'sharded'\n",
        &[(ERROR, 3, "service.kind", "unknown variant")] },
    missing_kind = { "[[service]]\nname = 'a'\n", &[(ERROR, 1, "service.kind", "missing field")] },
    several_at_once = {
        "[[service]]\nname = 'a'\nkind = 'shared'\nslot = 4\nupstreams = -1\n\
         [[service]]\nname = 'b'\n[[lost]]\ninstance = ''\n",
        &[
            (ERROR, 4, "service.slot", "unknown field"),
            (ERROR, 5, "service.upstreams", "invalid value"),
            (ERROR, 6, "service.kind", "missing field"),
            (ERROR, 9, "lost.instance", "not a name"),
        ]
    },
    bad_name = { "[[service]]\nname = 'a/b'\nkind = 'shared'\n",
        &[(ERROR, 2, "service.name", "not a name")] },
    reserved_name = { "[[service]]\nname = '_ibiscove'\nkind = 'shared'\n",
        &[(ERROR, 2, "service.name", "not a name")] },
    service_twice = {
        "[[service]]\nname = 'a'\nkind = 'shared'\n[[service]]\nname = 'a'\nkind = 'shared'\n",
        &[(ERROR, 5, "service.name", "twice")]
    },
    lost_instance_twice = { "[[lost]]\ninstance = 'a'\n[[lost]]\ninstance = 'a'\n",
        &[(ERROR, 4, "lost.instance", "twice")] },
    slots_not_power_of_two = { "[[service]]\nname = 'a'\nkind = 'divided'\nslots = 100\n",
        &[(ERROR, 4, "service.slots", "power of two")] },
    zero_slots = { "[[service]]\nname = 'a'\nkind = 'divided'\nslots = 0\n",
        &[(ERROR, 4, "service.slots", "power of two")] },
    too_many_slots = { "[[service]]\nname = 'a'\nkind = 'divided'\nslots = 131072\n",
        &[(ERROR, 4, "service.slots", "power of two")] },
    slots_of_shared = { "[[service]]\nname = 'a'\nkind = 'shared'\nslots = 4\n",
        &[(WARNING, 4, "service.slots", "shared service")] },
    empty_region = { "[[region]]\nname = 'r'\ndata_centres = []\n",
        &[(ERROR, 3, "region.data_centres", "no data centre")] },
    region_twice = {
        "[[region]]\nname = 'r'\ndata_centres = ['a','b','c']\n\
         [[region]]\nname = 'r'\ndata_centres = ['d','e','f']\n",
        &[(ERROR, 5, "region.name", "twice")]
    },
    data_centre_twice = { "[[region]]\nname = 'r'\ndata_centres = ['a','b','c','a']\n",
        &[(ERROR, 3, "region.data_centres", "twice")] },
    two_data_centres = { "[[region]]\nname = 'r'\ndata_centres = ['a','b']\n",
        &[(WARNING, 3, "region.data_centres", "leases")] },
)]
fn inventory_check_reports_findings(text: &str, expected: &[Expected]) {
    assert_findings(&check_inventory("inventory.toml", text).1, expected);
}

#[parameterized(
    placed_in_unknown_data_centre = { "placement = { d = 1 }",
        &[(ERROR, 4, "service.placement", "no region"),
        (WARNING, 1, "service.upstreams", "every upstream")] },
    placement_differs_from_count = { "upstreams = 3\nplacement = { a = 1, b = 1 }",
        &[(ERROR, 5, "service.placement", "2 upstreams are placed and 3 listed")] },
    all_in_one_data_centre = { "placement = { a = 3 }",
        &[(WARNING, 1, "service.upstreams", "every upstream")] },
    single_upstream = { "upstreams = 1", &[(WARNING, 4, "service.upstreams", "every upstream")] },
    too_small_when_evenly_distributed = { "upstreams = 4\nconcurrency = 10\npeak_concurrency = 21",
        &[(WARNING, 6, "service.peak_concurrency", "2 of 4 upstreams carry 20")] },
    sufficient_when_evenly_distributed = {
        "upstreams = 4\nconcurrency = 10\npeak_concurrency = 20", &[]
    },
    too_small_when_placed = {
        "placement = { a = 3, b = 1 }\nconcurrency = 10\npeak_concurrency = 11",
        &[(WARNING, 6, "service.peak_concurrency", "1 of 4 upstreams carry 10")]
    },
)]
fn capacity_check_reports_findings(fields: &str, expected: &[Expected]) {
    let text = format!("[[service]]\nname = 's'\nkind = 'divided'\n{fields}\n{REGION}");
    assert_findings(&check_inventory("inventory.toml", &text).1, expected);
}

#[parameterized(
    empty_file = { "", &[] },
    unknown_service = { "[[route]]\nservice = 'deposit'\nprefix = '/d'\n",
        &[(ERROR, 2, "route.service", "no service")] },
    not_a_path = { "[[route]]\nservice = 'gallery'\nprefix = 'g?x'\n",
        &[(ERROR, 3, "route.prefix", "not a path")] },
    reserved_path = { "[[route]]\nservice = 'gallery'\nprefix = '/_ibiscove/x'\n",
        &[(ERROR, 3, "route.prefix", "nodes themselves")] },
    unknown_method = { "[[route]]\nservice = 'gallery'\nprefix = '/g'\nmethods = ['FETCH']\n",
        &[(ERROR, 4, "route.methods", "not a method")] },
    no_key_source = { "[[route]]\nservice = 'deposits'\nprefix = '/v1/deposits'\n",
        &[(ERROR, 1, "route.key", "where the key stands")] },
    key_in_prefix = {
        "[[route]]\nservice = 'deposits'\nprefix = '/deposits'\nkey = { segment = 0 }\n",
        &[(ERROR, 4, "route.key", "every request has one key")]
    },
    no_key_for_shared = { "[[route]]\nservice = 'gallery'\nprefix = '/v1/gallery'\n", &[] },
    empty_header = {
        "[[route]]\nservice = 'deposits'\nprefix = '/d'\nkey = { header = '' }\n",
        &[(ERROR, 4, "route.key", "empty")]
    },
    zero_timeout = { "[[route]]\nservice = 'gallery'\nprefix = '/g'\ntimeout_ms = 0\n",
        &[(ERROR, 4, "route.timeout_ms", "out of range")] },
    timeout_above_limit = { "[[route]]\nservice = 'gallery'\nprefix = '/g'\ntimeout_ms = 600001\n",
        &[(ERROR, 4, "route.timeout_ms", "out of range")] },
    unreachable = {
        "[[route]]\nservice = 'gallery'\nprefix = '/g'\n\
         [[route]]\nservice = 'gallery'\nprefix = '/g/x'\nmethods = ['GET']\n",
        &[(ERROR, 6, "route.prefix", "matches first")]
    },
    reachable_by_method = {
        "[[route]]\nservice = 'gallery'\nprefix = '/g'\nmethods = ['GET']\n\
         [[route]]\nservice = 'gallery'\nprefix = '/g'\n",
        &[]
    },
    settings_of_unknown_service = { "[[service]]\nname = 'deposit'\n",
        &[(ERROR, 2, "service.name", "no service")] },
    settings_twice = { "[[service]]\nname = 'gallery'\n[[service]]\nname = 'gallery'\n",
        &[(ERROR, 4, "service.name", "twice")] },
    shares_out_of_range = {
        "[[service]]\nname = 'gallery'\nretry_budget = 1.5\nchurn_per_minute = -0.1\n\
         tolerated_imbalance = 0.0\nqueue = 0\n",
        &[
            (ERROR, 3, "service.retry_budget", "share"),
            (ERROR, 4, "service.churn_per_minute", "share"),
            (ERROR, 5, "service.tolerated_imbalance", "share"),
            (ERROR, 6, "service.queue", "out of range"),
        ]
    },
    not_a_number = { "[[service]]\nname = 'gallery'\nretry_budget = nan\n",
        &[(ERROR, 3, "service.retry_budget", "share")] },
)]
fn rules_check_reports_findings(text: &str, expected: &[Expected]) {
    let inventory = Inventory::parse(INVENTORY).expect("a valid inventory");
    assert_findings(
        &check_rules("rules.toml", text, Some(&inventory)).1,
        expected,
    );
}

#[test]
fn a_finding_is_displayed_with_its_position_and_remedy() {
    let (_, findings) = check_inventory("i.toml", "[[service]]\nname='a'\nkind='divided'\nslots=3");
    assert_eq!(
        findings[0].to_string(),
        "i.toml:4: error: service.slots: 3 is not a power of two up to 65536; use 4"
    );
}

#[parameterized(
    dakar = { "dakar", &[("gallery", 4), ("calendar", 3), ("deposits", 5)] },
    tunis = { "tunis", &[("catalogue", 4), ("orders", 3), ("billing", 3)] },
)]
fn the_example_files_have_no_findings_and_the_documented_sizes(
    example: &str,
    sizes: &[(&str, u32)],
) {
    let folder = format!("{}/../../examples/{example}", env!("CARGO_MANIFEST_DIR"));
    let read = |file: &str| std::fs::read_to_string(format!("{folder}/{file}")).expect("a file");
    let (inventory, findings) = check_inventory("inventory.toml", &read("inventory.toml"));
    assert_eq!(findings, []);
    let inventory = inventory.expect("no error");
    let (_, findings) = check_rules("rules.toml", &read("rules.toml"), Some(&inventory));
    assert_eq!(findings, []);
    assert_eq!(inventory.regions[0].data_centres.len(), 3);
    for (name, upstreams) in sizes {
        let service = inventory.service(name).expect("the service is listed");
        assert_eq!(service.upstreams, *upstreams);
    }
}
