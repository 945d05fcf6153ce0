//! Checks that `docs/guarantees.md` names existing tests for each guarantee.

use std::path::Path;

const PAGE: &str = include_str!("../../docs/guarantees.md");

/// Returns the names in backticks that look like names of tests: lower-case
/// words joined by `_`. Words of the trace format are excluded.
fn test_names() -> Vec<&'static str> {
    let quoted = PAGE.split('`').skip(1).step_by(2);
    quoted
        .filter(|name| name.matches('_').count() >= 3)
        .filter(|name| name.chars().all(|c| c.is_ascii_lowercase() || c == '_'))
        .filter(|name| !name.starts_with("drain_gets") && !name.starts_with("not_run_never"))
        .collect()
}

fn read_sources(folder: &Path, text: &mut String) {
    for entry in std::fs::read_dir(folder).expect("a folder of the repository") {
        let path = entry.expect("an entry of the folder").path();
        if path.is_dir() {
            read_sources(&path, text);
        } else if path.extension().is_some_and(|end| end == "rs") {
            text.push_str(&std::fs::read_to_string(&path).expect("a source file"));
        }
    }
}

#[test]
fn every_test_named_in_the_guarantees_page_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut text = String::new();
    read_sources(&root.join("tests"), &mut text);
    read_sources(&root.join("crates"), &mut text);
    let names = test_names();
    assert!(names.len() >= 20, "only {} tests are named", names.len());
    for name in names {
        assert!(text.contains(&format!("fn {name}(")), "no test {name}");
    }
}

#[test]
fn every_guarantee_names_a_test_and_a_limit() {
    let guarantees: Vec<&str> = PAGE.split("\n## ").skip(1).collect();
    assert_eq!(guarantees.len(), 8);
    for guarantee in guarantees {
        let title = guarantee.lines().next().unwrap_or_default();
        assert!(guarantee.contains("\nTests: "), "{title} names no test");
        assert!(
            guarantee.contains("\nNot claimed: "),
            "{title} names no limit"
        );
    }
}
