//! Operators' commands against real nodes.

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

async fn start(count: usize) -> Vec<TestNode> {
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
    eventually("every node known to every node", async || {
        let known = nodes.iter().map(|node| node.map().live_nodes().count());
        known.into_iter().all(|known| known == count).then_some(())
    })
    .await;
    nodes
}

/// What a command printed, and its exit code.
#[derive(Debug)]
struct Ran {
    code: i32,
    out: String,
    err: String,
}

impl Ran {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|err| panic!("{err}: {self:?}"))
    }
}

async fn run_with(token: &str, node: &TestNode, args: &[&str]) -> Ran {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ibiscove"));
    command
        .args(args)
        .args(["--admin", &node.addrs().admin.to_string()])
        .env("IBISCOVE_OPERATOR_TOKEN", token);
    let output = smol::unblock(move || command.output()).await;
    let output = output.expect("the binary under test starts");
    Ran {
        code: output.status.code().expect("it was not killed"),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

async fn run(node: &TestNode, args: &[&str]) -> Ran {
    run_with(TOKEN, node, args).await
}

/// A file of a test's own. It is removed with the value.
struct File(std::path::PathBuf);

impl File {
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

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn service(name: &str) -> String {
    format!("[[service]]\nname = '{name}'\nkind = 'divided'\n")
}

fn inventory_versions(nodes: &[TestNode]) -> Vec<u64> {
    let version = |node: &TestNode| node.map().config("inventory").map_or(0, |c| c.row.version);
    nodes.iter().map(version).collect()
}

#[test]
fn a_change_waited_for_is_on_every_node_and_can_be_rolled_back() {
    smol::block_on(async {
        let nodes = start(NODES).await;
        let file = File::new("first.toml", &service("a"));
        // Too long for the row, so that its text goes another way.
        let long = format!("{}# {}\n", service("b"), "x".repeat(64 << 10));
        let long = File::new("second.toml", &long);
        let apply = ["apply", "inventory", file.path(), "--expect", "0", "--wait"];
        let ran = run(&nodes[0], &apply).await;
        assert_eq!(ran.code, 0, "{ran:?}");
        assert_eq!(inventory_versions(&nodes), [1; NODES]);

        let apply = ["apply", "inventory", long.path(), "--expect", "1", "--wait"];
        let ran = run(&nodes[1], &apply).await;
        assert_eq!(ran.code, 0, "{ran:?}");
        for node in &nodes {
            let map = node.map();
            let row = &map.config("inventory").expect("a version").row;
            assert_eq!((row.version, row.body.len() > 64 << 10), (2, true));
        }

        let back = [
            "rollback",
            "inventory",
            "--to",
            "1",
            "--expect",
            "2",
            "--wait",
        ];
        assert_eq!(run(&nodes[2], &back).await.code, 0);
        let got = run(&nodes[3], &["get", "inventory", "--output", "json"])
            .await
            .json();
        assert_eq!(got["version"], 3);
        assert_eq!(got["body"], service("a"));
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
fn of_two_operators_at_two_nodes_one_wins_and_the_other_is_told() {
    smol::block_on(async {
        let nodes = start(NODES).await;
        let files = [
            File::new("awa.toml", &service("a")),
            File::new("moussa.toml", &service("b")),
        ];
        let apply = |file: &File, author: &'static str| {
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
fn a_wrong_token_is_refused() {
    smol::block_on(async {
        let nodes = start(1).await;
        let ran = run_with("another token", &nodes[0], &["status"]).await;
        assert_eq!(ran.code, 1);
        assert!(ran.err.contains("token"), "{ran:?}");
    });
}

#[test]
fn status_names_a_node_that_does_not_answer() {
    smol::block_on(async {
        let mut nodes = start(2).await;
        nodes.remove(1).kill().await;
        eventually("the lost node named", async || {
            let ran = run(&nodes[0], &["status", "--output", "json"]).await;
            let status = ran.json();
            let lost = status["nodes"].as_array().expect("a list");
            let lost = lost.iter().find(|node| node["name"] == "node-1")?;
            (ran.code == 6 && lost["lag"]["reason"] == "unreachable").then_some(())
        })
        .await;
    });
}

async fn upstream(node: &TestNode, service: &str) -> Upstream {
    let settings = UpstreamSettings {
        name: format!("{service}-0"),
        service: service.into(),
        ..Default::default()
    };
    announce(node.addrs().upstream, settings).await
}

#[test]
fn the_owner_of_a_key_is_named_and_its_living_service_is_protected() {
    smol::block_on(async {
        let nodes = start(1).await;
        let _upstream = upstream(&nodes[0], "deposits").await;
        let owner = eventually("an owner", async || {
            let args = ["owner", "deposits", "family/1 x", "--output", "json"];
            let ran = run(&nodes[0], &args).await;
            (ran.code == 0)
                .then(|| ran.json())
                .filter(|json| !json["owner"].is_null())
        })
        .await;
        assert_eq!(owner["owner"]["name"], "node-0");
        let file = File::new(
            "slots.toml",
            &format!("{}slots = 64\n", service("deposits")),
        );
        for force in [&[][..], &["--force"][..]] {
            let apply = ["apply", "inventory", file.path(), "--expect", "0"];
            let ran = run(&nodes[0], &[&apply, force].concat()).await;
            assert_eq!(ran.code, 4, "{ran:?}");
        }
        let ran = run(&nodes[0], &["drain", "--dry-run", "--output", "json"]).await;
        assert_eq!(ran.json()["slots"], 256);
        let ran = run(&nodes[0], &["drain"]).await;
        assert_eq!(ran.code, 4, "the last upstream is held: {ran:?}");
        assert_eq!(nodes[0].row().grants.len(), 256);
    });
}

#[test]
fn checks_and_imports_need_no_node() {
    let ibiscove = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_ibiscove"))
            .args(args)
            .output();
        let output = output.expect("the binary under test starts");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stdout).into_owned(),
        )
    };
    let good = File::new("good.toml", &service("a"));
    let bad = File::new("bad.toml", &format!("{}slots = 3\n", service("a")));
    let register = File::new(
        "register.csv",
        "asset,site,service\ns1,plateau,a\ns2,medina,\n",
    );
    assert_eq!(ibiscove(&["check", "--inventory", good.path()]).0, Some(0));
    let (code, out) = ibiscove(&["check", "--inventory", bad.path(), "--output", "json"]);
    assert_eq!(code, Some(1));
    let findings: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(findings[0]["line"], 4);
    let (code, out) = ibiscove(&["diff", "inventory", good.path(), bad.path()]);
    assert_eq!(
        (code, out.as_str()),
        (Some(0), "~ service a: slots 256 -> 3\n")
    );
    let (code, out) = ibiscove(&["import", register.path()]);
    assert_eq!(code, Some(0));
    assert!(out.contains("name = \"a\""), "{out}");
}
