//! The command line: usage errors and their texts, printed settings, help,
//! and the exit codes of `explain`.

use std::process::{Command, Output};
use yare::parameterized;

/// Exit code of a usage error.
const USAGE_ERROR: i32 = 2;

fn run_ibiscove(args: &str, env: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ibiscove"))
        .args(args.split_whitespace())
        .envs(env.iter().copied())
        .output()
        .expect("the binary under test runs")
}

fn utf8(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[parameterized(
    no_command = { "", "no command is given" },
    unknown_command = { "nod", "unknown command \"nod\"" },
    unknown_flag = { "node --leese-ms 5", "unknown flag --leese-ms" },
    stray_argument = { "node calendar", "unexpected argument \"calendar\"" },
    missing_value = { "node --name", "--name needs a value" },
    duplicate_flag = { "node --name a --name b", "--name is given twice" },
    invalid_address = { "node --caller localhost", "--caller takes IP:PORT" },
    invalid_platform = { "node --platform ftp://1.2.3.4:5", "--platform takes memory or http://IP:PORT" },
    invalid_log_level = { "node --log-level loud", "--log-level takes off, error" },
    not_a_number = { "node --lease-ms soon", "--lease-ms takes a whole number from 10 to 600000" },
    below_bounds = { "node --lease-ms 1", "--lease-ms takes a whole number from 10 to 600000, not 1" },
    above_bounds = { "node --max-head-bytes 9999999", "--max-head-bytes takes a whole number from 512" },
    heartbeat_too_slow = { "node --lease-ms 1000 --heartbeat-ms 500", "--heartbeat-ms must be under half" },
    margin_too_wide = { "node --drift-margin-ms 2000", "--drift-margin-ms must be under --lease-ms" },
    no_cluster_key = { "node --peer 0.0.0.0:0", "IBISCOVE_CLUSTER_KEY is not set" },
    explain_without_id = { "explain", "ID is missing" },
    explain_without_file = { "explain 9638af3ce38a1ac8", "FILE is missing" },
    explain_key_too_large = { "explain --key 65536 a.log", "--key takes a number from 0 to 65535" },
    explain_invalid_time = { "explain --from noon a.log", "--from takes a time such as" },
    unknown_demo_flag = { "demo --fast", "unknown flag --fast" },
)]
fn invalid_command_line_exits_with_usage_error_naming_the_cause(args: &str, message: &str) {
    let output = run_ibiscove(args, &[]);
    let stderr = utf8(&output.stderr);
    assert_eq!(output.status.code(), Some(USAGE_ERROR), "{stderr}");
    assert!(stderr.contains(message), "{stderr}");
    assert!(
        output.stdout.is_empty(),
        "a usage error prints nothing on stdout"
    );
}

#[test]
fn invalid_environment_variable_error_names_flag_and_variable() {
    let output = run_ibiscove("node", &[("IBISCOVE_LEASE_MS", "soon")]);
    let stderr = utf8(&output.stderr);
    assert_eq!(output.status.code(), Some(USAGE_ERROR));
    assert!(
        stderr.contains("--lease-ms (from IBISCOVE_LEASE_MS) takes"),
        "{stderr}"
    );
}

#[test]
fn settings_are_printed_with_their_source_and_without_secrets() {
    let env = [
        ("IBISCOVE_CLUSTER_KEY", "wax-seal"),
        ("IBISCOVE_NAME", "from-environment"),
        ("IBISCOVE_LEASE_MS", "3000"),
    ];
    let output = run_ibiscove("node --print-settings --name from-flag", &env);
    assert_eq!(output.status.code(), Some(0));
    let stdout = utf8(&output.stdout);
    let line = |name: &str| {
        let line = stdout.lines().find(|line| line.starts_with(name));
        let words: Vec<&str> = line.expect(name).split_whitespace().collect();
        words[1..].join(" ")
    };
    assert_eq!(line("--name"), "flag from-flag");
    assert_eq!(line("--lease-ms"), "environment 3000");
    assert_eq!(line("--heartbeat-ms"), "default 500");
    assert_eq!(line("IBISCOVE_CLUSTER_KEY"), "environment set");
    assert_eq!(line("IBISCOVE_OPERATOR_TOKEN"), "default not set");
    assert!(!stdout.contains("wax-seal"), "secrets are never printed");
}

#[parameterized(
    program = { "--help", "Usage: ibiscove COMMAND" },
    node = { "node --help", "Usage: ibiscove node" },
    demo = { "demo --help", "Usage: ibiscove demo" },
    version = { "--version", "ibiscove 0." },
)]
fn help_and_version_are_printed(args: &str, message: &str) {
    let output = run_ibiscove(args, &[]);
    assert_eq!(output.status.code(), Some(0));
    assert!(utf8(&output.stdout).contains(message));
}

#[parameterized(
    found = { "a1", 0 },
    not_found = { "a2", 7 },
)]
fn explain_exit_code_reports_whether_the_request_was_found(id: &str, code: i32) {
    let path =
        std::env::temp_dir().join(format!("ibiscove-explain-{}-{id}.log", std::process::id()));
    let line = r#"{"time":"2026-12-04T08:00:05Z","message":"request refused","request":"a1","reason":"overloaded"}"#;
    std::fs::write(&path, line).expect("the directory for temporary files can be written");
    let output = run_ibiscove(&format!("explain {id} {}", path.display()), &[]);
    std::fs::remove_file(&path).expect("the file was created");
    assert_eq!(output.status.code(), Some(code), "{}", utf8(&output.stderr));
    assert_eq!(
        utf8(&output.stdout).contains("reason=overloaded"),
        code == 0
    );
}

#[test]
fn explain_error_names_the_unreadable_file() {
    let output = run_ibiscove("explain a1 /nonexistent/a.log", &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(utf8(&output.stderr).contains("/nonexistent/a.log"));
}
