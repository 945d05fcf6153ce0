//! Rows of the directory that another writer may have made.

use ibiscove_mesh::directory::{self, Introductions, MAX_INTRODUCTIONS, NodeAddress};
use ibiscove_store::{MemoryPlatform, Transaction, Write};
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};
use yare::parameterized;

fn put(table: &MemoryPlatform, key: &str, text: &str) {
    let txn = Transaction {
        conditions: Vec::new(),
        writes: vec![Write {
            key: key.to_owned(),
            body: Some(text.into()),
        }],
    };
    table.commit_now(&txn);
}

/// An odd row sent heartbeats to all machines of a network, or made a node remove the
/// row of another one in place of it.
#[parameterized(
    name_of_another_row = { r#"{"name":"node-7","ip":"10.1.0.9"}"# },
    empty_name = { r#"{"name":"","ip":"10.1.0.9"}"# },
    name_as_number = { r#"{"name":7,"ip":"10.1.0.9"}"# },
    unspecified = { r#"{"name":"odd","ip":"0.0.0.0"}"# },
    unspecified_v6 = { r#"{"name":"odd","ip":"::"}"# },
    multicast = { r#"{"name":"odd","ip":"224.0.0.1"}"# },
    multicast_v6 = { r#"{"name":"odd","ip":"ff02::1"}"# },
    broadcast = { r#"{"name":"odd","ip":"255.255.255.255"}"# },
    mapped_broadcast = { r#"{"name":"odd","ip":"::ffff:255.255.255.255"}"# },
    with_port = { r#"{"name":"odd","ip":"10.1.0.9:65536"}"# },
    out_of_range = { r#"{"name":"odd","ip":"10.1.0.256"}"# },
    no_address = { r#"{"name":"odd"}"# },
    number_too_large = { r#"{"name":"odd","ip":1e999}"# },
    deeply_nested = { &format!(r#"{{"name":"odd","ip":{}"#, "[".repeat(1_000_000)) },
    nested_in_an_unknown_field = { &"{\"x\":".repeat(1_000_000) },
    empty = { "" },
    not_text = { "\u{0}\u{1}" },
)]
fn an_odd_row_names_no_node_and_hides_no_other(odd: &str) {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let node = |name: &str, ip: &str| NodeAddress {
            name: name.to_owned(),
            ip: ip.parse().expect("the address is valid"),
        };
        let others = [node("a", "10.1.0.1"), node("z", "fd00::2")];
        for other in &others {
            let registered = directory::register(&table, other).await;
            registered.expect("the table responds");
        }
        put(&table, "nodes/all/odd", odd);
        let nodes = directory::read(&table).await.expect("the others hold");
        assert_eq!(nodes, others);
    });
}

/// Thousands of rows of another writer made each node that started spend the calls of the
/// table, which all nodes share, on their removal.
#[test]
fn a_node_removes_a_bounded_number_of_rows() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let count = 1_000;
        for i in 0..count {
            let text = format!(r#"{{"name":"odd-{i}","ip":"10.1.0.9"}}"#);
            put(&table, &format!("nodes/all/odd-{i}"), &text);
        }
        let nodes = directory::read(&table).await.expect("the table responds");
        directory::remove_all(&table, nodes.iter().map(|node| &*node.name)).await;
        let left = directory::read(&table).await.expect("the table responds");
        assert_eq!(left.len(), count - directory::MAX_REMOVALS);
    });
}

/// Thousands of rows of another writer made each round of heartbeats of a node that
/// starts fill its link. Every address must still have its turn.
#[parameterized(
    mesh = { 196, 1 },
    most = { MAX_INTRODUCTIONS, 1 },
    thousands = { 5_000, 10 },
)]
fn a_round_of_introductions_is_bounded(count: usize, rounds: usize) {
    let addresses = (0..count).map(|i| IpAddr::from(Ipv4Addr::from_bits(i as u32 + 1)));
    let introductions = Introductions::default();
    introductions.set(addresses);
    let mut introduced = BTreeSet::new();
    for _ in 0..rounds {
        let round = introductions.next_round();
        assert!(round.len() <= MAX_INTRODUCTIONS, "{}", round.len());
        introduced.extend(round);
    }
    assert_eq!(introduced.len(), count);
}
