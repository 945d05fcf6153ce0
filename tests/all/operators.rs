//! Operator commands of the binary against real nodes.

use crate::support::{announce, eventually};
use ibiscove_node::{Node, NodeSettings};
use ibiscove_standin::{Upstream, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::SystemClock;
use ibiscove_wire::SharedKey;
use serde_json::Value;
use std::process::Command;

const TOKEN: &str = "a token for tests";
const DATA_CENTRES: [&str; 3] = ["plateau", "medina", "almadies"];
const NODES: usize = 6;

type TestNode = Node<MemoryPlatform, SystemClock>;

async fn start_nodes(count: usize) -> Vec<TestNode> {
    let platform = MemoryPlatform::default();
    let mut nodes = Vec::new();
    for number in 0..count {
        let settings = NodeSettings {
            name: format!("node-{number}"),
            region: "dakar".into(),
            data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
            operator_token: Some(SharedKey::new(TOKEN)),
            ..Default::default()
        };
        let node = Node::start(settings, platform.clone(), SystemClock).await;
        nodes.push(node.expect("a node starts"));
    }
    eventually("every node to know every other", async || {
        let known = nodes.iter().map(|node| node.map().live_nodes().count());
        known.into_iter().all(|known| known == count).then_some(())
    })
    .await;
    nodes
}

/// Exit code and output of a command.
#[derive(Debug)]
struct CommandOutput {
    code: i32,
    stdout: String,
    stderr: String,
}

impl CommandOutput {
    fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|err| panic!("{err}: {self:?}"))
    }
}

async fn run_with_token(token: &str, node: &TestNode, args: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ibiscove"));
    command
        .args(args)
        .args(["--admin", &node.addrs().admin.to_string()])
        .env("IBISCOVE_OPERATOR_TOKEN", token);
    let output = smol::unblock(move || command.output()).await;
    let output = output.expect("the binary under test starts");
    CommandOutput {
        code: output.status.code().expect("the command exited on its own"),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

async fn run(node: &TestNode, args: &[&str]) -> CommandOutput {
    run_with_token(TOKEN, node, args).await
}

/// A temporary file, removed on drop.
struct TempFile(std::path::PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("ibiscove-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a file can be written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path in UTF-8")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn service_entry(name: &str) -> String {
    format!("[[service]]\nname = '{name}'\nkind = 'divided'\n")
}

fn inventory_versions(nodes: &[TestNode]) -> Vec<u64> {
    let version = |node: &TestNode| node.map().config("inventory").map_or(0, |c| c.row.version);
    nodes.iter().map(version).collect()
}

#[test]
fn apply_with_wait_reaches_every_node_and_can_be_rolled_back() {
    smol::block_on(async {
        let nodes = start_nodes(NODES).await;
        let file = TempFile::new("first.toml", &service_entry("a"));
        // Too long for the row, so its text is stored as an object.
        let long = format!("{}# {}\n", service_entry("b"), "x".repeat(64 << 10));
        let long = TempFile::new("second.toml", &long);
        let apply = ["apply", "inventory", file.path(), "--expect", "0", "--wait"];
        let output = run(&nodes[0], &apply).await;
        assert_eq!(output.code, 0, "{output:?}");
        assert_eq!(inventory_versions(&nodes), [1; NODES]);

        let apply = ["apply", "inventory", long.path(), "--expect", "1", "--wait"];
        let output = run(&nodes[1], &apply).await;
        assert_eq!(output.code, 0, "{output:?}");
        for node in &nodes {
            let map = node.map();
            let row = &map.config("inventory").expect("a version").row;
            assert_eq!((row.version, row.body.len() > 64 << 10), (2, true));
        }

        let rollback = [
            "rollback",
            "inventory",
            "--to",
            "1",
            "--expect",
            "2",
            "--wait",
        ];
        assert_eq!(run(&nodes[2], &rollback).await.code, 0);
        let current = run(&nodes[3], &["get", "inventory", "--output", "json"])
            .await
            .json();
        assert_eq!(current["version"], 3);
        assert_eq!(current["body"], service_entry("a"));
        let history = run(&nodes[4], &["history", "inventory", "--output", "json"])
            .await
            .json();
        let versions: Vec<_> = history
            .as_array()
            .expect("a list")
            .iter()
            .map(|v| &v["version"])
            .collect();
        assert_eq!(versions, [3, 2, 1]);
        let status = run(&nodes[5], &["status", "--output", "json"]).await;
        assert_eq!(status.code, 0, "{status:?}");
        assert_eq!(
            status.json()["nodes"].as_array().expect("a list").len(),
            NODES
        );
    });
}

#[test]
fn concurrent_changes_at_two_nodes_accept_one_and_report_a_conflict() {
    smol::block_on(async {
        let nodes = start_nodes(NODES).await;
        let files = [
            TempFile::new("awa.toml", &service_entry("a")),
            TempFile::new("moussa.toml", &service_entry("b")),
        ];
        let apply = |file: &TempFile, author: &'static str| {
            let path = file.path().to_owned();
            let expect = ["--expect", "0", "--author", author, "--output", "json"];
            [
                ["apply", "inventory"].map(String::from).to_vec(),
                vec![path],
                expect.map(String::from).to_vec(),
            ]
            .concat()
        };
        let (awa, moussa) = (apply(&files[0], "awa"), apply(&files[1], "moussa"));
        let (awa, moussa) = smol::future::zip(
            run(
                &nodes[0],
                &awa.iter().map(String::as_str).collect::<Vec<_>>(),
            ),
            run(
                &nodes[1],
                &moussa.iter().map(String::as_str).collect::<Vec<_>>(),
            ),
        )
        .await;
        let mut codes = [awa.code, moussa.code];
        codes.sort_unstable();
        assert_eq!(codes, [0, 3], "{awa:?} {moussa:?}");
        let (winner, loser) = if awa.code == 0 {
            ("awa", moussa)
        } else {
            ("moussa", awa)
        };
        assert_eq!(loser.json()["current"]["author"], winner);
        assert_eq!(loser.json()["changes"].as_array().expect("a list").len(), 2);
    });
}

#[test]
fn wrong_operator_token_is_refused() {
    smol::block_on(async {
        let nodes = start_nodes(1).await;
        let output = run_with_token("another token", &nodes[0], &["status"]).await;
        assert_eq!(output.code, 1);
        assert!(output.stderr.contains("token"), "{output:?}");
    });
}

#[test]
fn status_reports_an_unreachable_node() {
    smol::block_on(async {
        let mut nodes = start_nodes(2).await;
        nodes.remove(1).kill().await;
        eventually("the lost node reported as unreachable", async || {
            let output = run(&nodes[0], &["status", "--output", "json"]).await;
            let status = output.json();
            let lost = status["nodes"].as_array().expect("a list");
            let lost = lost.iter().find(|node| node["name"] == "node-1")?;
            (output.code == 6 && lost["lag"]["reason"] == "unreachable").then_some(())
        })
        .await;
    });
}

async fn start_upstream(node: &TestNode, service: &str) -> Upstream {
    let settings = UpstreamSettings {
        name: format!("{service}-0"),
        service: service.into(),
        ..Default::default()
    };
    announce(node.addrs().upstream, settings).await
}

#[test]
fn owner_is_named_and_harmful_changes_to_a_live_service_are_refused() {
    smol::block_on(async {
        let nodes = start_nodes(1).await;
        let _upstream = start_upstream(&nodes[0], "deposits").await;
        let owner = eventually("an owner", async || {
            let args = ["owner", "deposits", "family/1 x", "--output", "json"];
            let output = run(&nodes[0], &args).await;
            (output.code == 0)
                .then(|| output.json())
                .filter(|json| !json["owner"].is_null())
        })
        .await;
        assert_eq!(owner["owner"]["name"], "node-0");
        let file = TempFile::new(
            "slots.toml",
            &format!("{}slots = 64\n", service_entry("deposits")),
        );
        for force in [&[][..], &["--force"][..]] {
            let apply = ["apply", "inventory", file.path(), "--expect", "0"];
            let output = run(&nodes[0], &[&apply, force].concat()).await;
            assert_eq!(output.code, 4, "{output:?}");
        }
        let output = run(&nodes[0], &["drain", "--dry-run", "--output", "json"]).await;
        assert_eq!(output.json()["slots"], 256);
        let output = run(&nodes[0], &["drain"]).await;
        assert_eq!(
            output.code, 4,
            "draining the last upstream is refused: {output:?}"
        );
        assert_eq!(nodes[0].row().grants.len(), 256);
    });
}

#[test]
fn check_diff_and_import_run_without_a_node() {
    let run_offline = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_ibiscove"))
            .args(args)
            .output();
        let output = output.expect("the binary under test starts");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stdout).into_owned(),
        )
    };
    let valid = TempFile::new("good.toml", &service_entry("a"));
    let invalid = TempFile::new("bad.toml", &format!("{}slots = 3\n", service_entry("a")));
    let asset_list = TempFile::new(
        "register.csv",
        "asset,site,service\ns1,plateau,a\ns2,medina,\n",
    );
    assert_eq!(
        run_offline(&["check", "--inventory", valid.path()]).0,
        Some(0)
    );
    let (code, out) = run_offline(&["check", "--inventory", invalid.path(), "--output", "json"]);
    assert_eq!(code, Some(1));
    let findings: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(findings[0]["line"], 4);
    let (code, out) = run_offline(&["diff", "inventory", valid.path(), invalid.path()]);
    assert_eq!(
        (code, out.as_str()),
        (Some(0), "~ service a: slots 256 -> 3\n")
    );
    let (code, out) = run_offline(&["import", asset_list.path()]);
    assert_eq!(code, Some(0));
    assert!(out.contains("name = \"a\""), "{out}");
}
