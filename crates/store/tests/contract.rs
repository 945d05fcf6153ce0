//! Contract tests of the platform traits, run against each implementation.
//!
//! To test another implementation, add it to [`Implementation`].

use ibiscove_store::http::{HttpPlatform, HttpSettings};
use ibiscove_store::{Commit, MemoryPlatform, Objects, Table, Transaction};
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;
use yare::parameterized;

/// Timeout of a call, long enough for a loaded machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone, Copy)]
enum Implementation {
    Memory,
    Http,
}

/// Runs a check against an empty platform.
macro_rules! run_against {
    ($implementation:expr, $check:expr) => {
        smol::block_on(async {
            match $implementation {
                Implementation::Memory => $check(MemoryPlatform::default()).await,
                Implementation::Http => $check(http_platform()).await,
            }
        })
    };
}

fn http_platform() -> HttpPlatform {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    ibiscove_standin::platform::serve(listener, MemoryPlatform::default())
        .expect("the stand-in platform starts");
    HttpPlatform::new(HttpSettings {
        addr,
        timeout: CALL_TIMEOUT,
    })
}

fn write(key: &str, version: Option<u64>, body: &str) -> Transaction {
    let mut txn = Transaction::default();
    txn.replace(key, version, body.into());
    txn
}

async fn put(table: &impl Table, key: &str, version: Option<u64>, body: &str) -> u64 {
    match table.commit(write(key, version, body)).await {
        Ok(Commit::Done(versions)) => versions[0],
        other => panic!("{other:?}"),
    }
}

async fn body(table: &impl Table, key: &str) -> Option<String> {
    let row = table.get(key).await.expect("the platform responds")?;
    Some(String::from_utf8_lossy(&row.body).into_owned())
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn versions_increase_and_a_write_with_a_stale_version_conflicts(implementation: Implementation) {
    async fn check(table: impl Table) {
        assert_eq!(table.get("a").await, Ok(None));
        let first = put(&table, "a", None, "1").await;
        let second = put(&table, "a", Some(first), "2").await;
        assert!(second > first);
        for stale in [None, Some(first), Some(second + 1)] {
            let conflict = table.commit(write("a", stale, "3")).await;
            assert_eq!(conflict, Ok(Commit::Conflict("a".to_owned())), "{stale:?}");
        }
        let row = table
            .get("a")
            .await
            .expect("the platform responds")
            .expect("the row exists");
        assert_eq!((row.version, &*row.body), (second, b"2".as_slice()));
    }
    run_against!(implementation, check);
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn a_transaction_is_atomic(implementation: Implementation) {
    async fn check(table: impl Table) {
        let a = put(&table, "a", None, "1").await;
        let b = put(&table, "b", None, "1").await;
        let write_both = |b| {
            let mut txn = write("a", Some(a), "2");
            txn.replace("b", Some(b), b"2".to_vec());
            txn
        };
        let conflict = table.commit(write_both(b + 7)).await;
        assert_eq!(conflict, Ok(Commit::Conflict("b".to_owned())));
        assert_eq!(body(&table, "a").await.as_deref(), Some("1"));
        let Ok(Commit::Done(versions)) = table.commit(write_both(b)).await else {
            panic!("both conditions hold");
        };
        assert_eq!(versions.len(), 2);
        assert!(versions[0] > a && versions[1] > b);
        assert_eq!(body(&table, "b").await.as_deref(), Some("2"));
    }
    run_against!(implementation, check);
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn a_row_that_is_only_a_condition_keeps_its_version(implementation: Implementation) {
    async fn check(table: impl Table) {
        let a = put(&table, "a", None, "1").await;
        let mut txn = write("b", None, "1");
        txn.require("a", Some(a));
        assert!(matches!(table.commit(txn).await, Ok(Commit::Done(_))));
        let mut txn = write("c", None, "1");
        txn.require("a", None);
        assert_eq!(
            table.commit(txn).await,
            Ok(Commit::Conflict("a".to_owned()))
        );
        assert_eq!(body(&table, "c").await, None);
        assert_eq!(
            table
                .get("a")
                .await
                .expect("the platform responds")
                .expect("the row exists")
                .version,
            a
        );
    }
    run_against!(implementation, check);
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn a_recreated_row_has_a_higher_version_than_before_its_deletion(implementation: Implementation) {
    async fn check(table: impl Table) {
        let first = put(&table, "a", None, "1").await;
        let mut txn = Transaction::default();
        txn.require("a", Some(first));
        txn.writes.push(ibiscove_store::Write {
            key: "a".to_owned(),
            body: None,
        });
        assert!(matches!(table.commit(txn).await, Ok(Commit::Done(_))));
        assert_eq!(table.get("a").await, Ok(None));
        assert!(put(&table, "a", None, "2").await > first);
    }
    run_against!(implementation, check);
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn scans_and_lists_return_keys_with_a_prefix_in_order(implementation: Implementation) {
    async fn check(platform: impl Table + Objects) {
        for key in ["node/b", "node/a", "nodes", "service/a"] {
            put(&platform, key, None, key).await;
            platform
                .put(key, key.into())
                .await
                .expect("the platform responds");
        }
        let rows = platform.scan("node/").await.expect("the platform responds");
        let keys: Vec<_> = rows.iter().map(|(key, _)| key.as_str()).collect();
        assert_eq!(keys, ["node/a", "node/b"]);
        let names = platform.list("node/").await.expect("the platform responds");
        assert_eq!(names, ["node/a", "node/b"]);
        assert_eq!(platform.fetch("node/a").await, Ok(Some(b"node/a".to_vec())));
        assert_eq!(platform.fetch("node/c").await, Ok(None));
        platform
            .put("node/a", b"new".to_vec())
            .await
            .expect("the platform responds");
        assert_eq!(platform.fetch("node/a").await, Ok(Some(b"new".to_vec())));
    }
    run_against!(implementation, check);
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn keys_with_reserved_characters_remain_distinct(implementation: Implementation) {
    async fn check(platform: impl Table + Objects) {
        let keys = [
            "a b",
            "a%20b",
            "a?b=c",
            "a#b",
            "a/../b",
            "b",
            "a+b",
            "é",
            "a&prefix=b",
            "a\\b",
        ];
        for key in keys {
            put(&platform, key, None, key).await;
            platform
                .put(key, key.into())
                .await
                .expect("the platform responds");
        }
        for key in keys {
            assert_eq!(body(&platform, key).await.as_deref(), Some(key));
            assert_eq!(platform.fetch(key).await, Ok(Some(key.into())));
            let rows = platform.scan(key).await.expect("the platform responds");
            assert!(rows.iter().any(|(found, _)| found == key), "{key}");
            assert!(
                rows.iter().all(|(found, _)| found.starts_with(key)),
                "{key}"
            );
        }
    }
    run_against!(implementation, check);
}
