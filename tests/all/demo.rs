//! The `demo` command, which the README runs first.

use std::process::Command;

#[test]
fn demo_survives_a_node_loss_without_running_a_request_twice() {
    let output = Command::new(env!("CARGO_BIN_EXE_ibiscove"))
        .arg("demo")
        .output()
        .expect("the binary under test runs");
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{stdout}");
    for line in [
        "# Losing node deposits-",
        "family-0 was served again after ",
        "ran once, by deposits-",
        "409  unknown: repeat-unknown",
        "runs of one payment or booking beyond the first: 0\n",
        "the remaining nodes drained",
    ] {
        assert!(stdout.contains(line), "{line:?} is missing:\n{stdout}");
    }
}
