//! What every platform must hold, run over each implementation.
//!
//! Another implementation is put under the suite by adding it to
//! [`Implementation`].

use ibiscove_store::http::{HttpPlatform, HttpSettings};
use ibiscove_store::{Commit, MemoryPlatform, Objects, Table, Transaction};
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;
use yare::parameterized;

/// Time for a call, long enough for any machine.
const PATIENCE: Duration = Duration::from_secs(20);

#[derive(Clone, Copy)]
enum Implementation {
    Memory,
    Http,
}

/// Runs a check against an empty platform.
macro_rules! on {
    ($implementation:expr, $check:expr) => {
        smol::block_on(async {
            match $implementation {
                Implementation::Memory => $check(MemoryPlatform::default()).await,
                Implementation::Http => $check(over_http()).await,
            }
        })
    };
}

fn over_http() -> HttpPlatform {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    ibiscove_standin::platform::serve(listener, MemoryPlatform::default()).expect("it serves");
    HttpPlatform::new(HttpSettings {
        addr,
        timeout: PATIENCE,
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
    let row = table.get(key).await.expect("an answer")?;
    Some(String::from_utf8_lossy(&row.body).into_owned())
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn versions_rise_and_a_stale_one_is_refused(implementation: Implementation) {
    async fn check(table: impl Table) {
        assert_eq!(table.get("a").await, Ok(None));
        let first = put(&table, "a", None, "1").await;
        let second = put(&table, "a", Some(first), "2").await;
        assert!(second > first);
        for stale in [None, Some(first), Some(second + 1)] {
            let refused = table.commit(write("a", stale, "3")).await;
            assert_eq!(refused, Ok(Commit::Conflict("a".to_owned())), "{stale:?}");
        }
        let row = table.get("a").await.expect("an answer").expect("a row");
        assert_eq!((row.version, &*row.body), (second, b"2".as_slice()));
    }
    on!(implementation, check);
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn a_transaction_is_done_whole_or_not_at_all(implementation: Implementation) {
    async fn check(table: impl Table) {
        let a = put(&table, "a", None, "1").await;
        let b = put(&table, "b", None, "1").await;
        let two = |b| {
            let mut txn = write("a", Some(a), "2");
            txn.replace("b", Some(b), b"2".to_vec());
            txn
        };
        let refused = table.commit(two(b + 7)).await;
        assert_eq!(refused, Ok(Commit::Conflict("b".to_owned())));
        assert_eq!(body(&table, "a").await.as_deref(), Some("1"));
        let Ok(Commit::Done(versions)) = table.commit(two(b)).await else {
            panic!("both conditions hold");
        };
        assert_eq!(versions.len(), 2);
        assert!(versions[0] > a && versions[1] > b);
        assert_eq!(body(&table, "b").await.as_deref(), Some("2"));
    }
    on!(implementation, check);
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn a_row_that_is_only_required_is_left_as_it_is(implementation: Implementation) {
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
                .expect("an answer")
                .expect("a row")
                .version,
            a
        );
    }
    on!(implementation, check);
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn a_deleted_row_comes_back_with_a_higher_version(implementation: Implementation) {
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
    on!(implementation, check);
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn scans_and_lists_give_a_prefix_in_order(implementation: Implementation) {
    async fn check(platform: impl Table + Objects) {
        for key in ["node/b", "node/a", "nodes", "service/a"] {
            put(&platform, key, None, key).await;
            platform.put(key, key.into()).await.expect("an answer");
        }
        let rows = platform.scan("node/").await.expect("an answer");
        let keys: Vec<_> = rows.iter().map(|(key, _)| key.as_str()).collect();
        assert_eq!(keys, ["node/a", "node/b"]);
        let names = platform.list("node/").await.expect("an answer");
        assert_eq!(names, ["node/a", "node/b"]);
        assert_eq!(platform.fetch("node/a").await, Ok(Some(b"node/a".to_vec())));
        assert_eq!(platform.fetch("node/c").await, Ok(None));
        platform
            .put("node/a", b"new".to_vec())
            .await
            .expect("an answer");
        assert_eq!(platform.fetch("node/a").await, Ok(Some(b"new".to_vec())));
    }
    on!(implementation, check);
}

#[parameterized(memory = { Implementation::Memory }, http = { Implementation::Http })]
fn keys_of_any_text_are_kept_apart(implementation: Implementation) {
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
            platform.put(key, key.into()).await.expect("an answer");
        }
        for key in keys {
            assert_eq!(body(&platform, key).await.as_deref(), Some(key));
            assert_eq!(platform.fetch(key).await, Ok(Some(key.into())));
            let rows = platform.scan(key).await.expect("an answer");
            assert!(rows.iter().any(|(found, _)| found == key), "{key}");
            assert!(
                rows.iter().all(|(found, _)| found.starts_with(key)),
                "{key}"
            );
        }
    }
    on!(implementation, check);
}
