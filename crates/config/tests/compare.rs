//! Comparison of versions, and import from an asset register.

use ibiscove_config::{Inventory, Rules, diff, import};
use yare::parameterized;

const BASE: &str = "
[[service]]
name = 'a'
kind = 'divided'
[[service]]
name = 'b'
kind = 'shared'
";

#[parameterized(
    reordered = {
        "[[service]]\nname = 'b'\nkind = 'shared'\n[[service]]\nname = 'a'\nkind = 'divided'\n", &[]
    },
    added = {
        "[[service]]\nname = 'a'\nkind = 'divided'\n[[service]]\nname = 'b'\nkind = 'shared'\n\
         [[lost]]\ninstance = 'i'\n",
        &["+ lost i"]
    },
    removed = { "[[service]]\nname = 'a'\nkind = 'divided'\n", &["- service b"] },
    changed = {
        "[[service]]\nname = 'a'\nkind = 'divided'\nslots = 512\n\
         [[service]]\nname = 'b'\nkind = 'shared'\n",
        &["~ service a: slots 256 -> 512"]
    },
)]
fn inventory_diff_lists_changes(after: &str, expected: &[&str]) {
    let parse = |text| Inventory::parse(text).expect("a valid inventory");
    let changes = diff(&parse(BASE), &parse(after));
    let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(lines, expected);
}

#[test]
fn a_changed_order_of_routes_is_a_change() {
    let parse = |text| Rules::parse(text).expect("valid rules");
    let one = "[[route]]\nservice = 'a'\nprefix = '/a'\n";
    let two = "[[route]]\nservice = 'a'\nprefix = '/a/b'\n";
    let changes = diff(
        &parse(&format!("{one}{two}")),
        &parse(&format!("{two}{one}")),
    );
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].entry, "routes");
}

const REGISTER: &str = "\
Asset,Site,Service,Status,City,Capacity,Kind
srv-1,Plateau,Deposits,active,Dakar,12,divided
srv-2,Médina,Deposits,in use,Dakar,10,divided
srv-3,Almadies,Deposits,flooded,Dakar,12,divided
srv-1,Plateau,Deposits,active,Dakar,12,divided
srv-4,Plateau,,active,Dakar,12,divided
srv-5,Plateau,Gallery,active,Dakar,many,shared
srv-6,Plateau,Gallery,active,Tunis,12,shared
srv-7,Plateau,Gallery,active,Dakar,12,shared
srv-8,Plateau,Deposits,active,Dakar,12,shared
";

#[test]
fn an_import_uses_valid_rows_and_reports_the_skipped_ones() {
    let imported = import(REGISTER).expect("a usable register");
    assert_eq!(imported.taken, 3);
    let deposits = imported.inventory.service("deposits").expect("imported");
    assert_eq!(deposits.upstreams, 2);
    assert_eq!(
        deposits.concurrency, 10,
        "the smallest limit of any upstream"
    );
    assert_eq!(deposits.placement["plateau"], 1);
    let skipped: Vec<_> = imported
        .skipped
        .iter()
        .map(|s| (s.line, s.asset.as_str(), s.reason.as_str()))
        .collect();
    assert_eq!(
        skipped,
        [
            (4, "srv-3", "its state is \"flooded\""),
            (5, "srv-1", "its name stands on an earlier row"),
            (6, "srv-4", "service: \"\" gives no name"),
            (7, "srv-5", "concurrency: \"many\" is not a number"),
            (
                8,
                "srv-6",
                "data centre plateau stands in region dakar on an earlier row"
            ),
            (
                10,
                "srv-8",
                "service deposits has another kind on an earlier row"
            ),
        ]
    );
    let text = imported.to_toml().expect("an inventory can be written");
    assert_eq!(
        Inventory::parse(&text).expect("it can be read"),
        imported.inventory
    );
    let findings = imported.findings("inventory.toml").expect("checked");
    assert!(!ibiscove_config::has_errors(&findings), "{findings:?}");
}

#[test]
fn a_register_without_a_required_column_is_rejected() {
    let err = import("Asset,Service\nsrv-1,deposits\n").expect_err("no data centre");
    assert!(err.to_string().contains("data centre"), "{err}");
}
