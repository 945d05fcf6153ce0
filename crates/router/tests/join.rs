//! The directory row by which other nodes find a node, when the table returns from an
//! earlier copy of itself.

mod support;

use ibiscove_proxy::HeaderNames;
use ibiscove_router::{Router, RouterAddrs, RouterSettings};
use ibiscove_store::era::Era;
use ibiscove_store::{Commit, MemoryPlatform, RawRow, Table, TableError, Transaction};
use ibiscove_types::SystemClock;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use support::{CountingUpstream, addr, parse_config};

/// A table whose era a test sets.
#[derive(Clone, Default)]
struct TableOfEras {
    rows: MemoryPlatform,
    era: Arc<AtomicU64>,
}

impl Table for TableOfEras {
    fn era(&self) -> Option<Era> {
        Some(self.era.load(Ordering::SeqCst))
    }

    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        self.rows.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        self.rows.scan(prefix).await
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        self.rows.commit(txn).await
    }
}

/// Waits until the directory has a row; returns how long that took.
async fn wait_for_row(table: &TableOfEras) -> Duration {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(20) {
        let rows = table.scan("nodes/").await.expect("memory answers");
        if !rows.is_empty() {
            return started.elapsed();
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
    panic!("the node has no row");
}

/// Guards against a node that no later one finds, because the table lost its row while
/// it was still introducing itself to the others.
#[test]
fn node_registers_again_if_the_table_returns_while_it_joins() {
    smol::block_on(async {
        let table = TableOfEras::default();
        let earlier = table.rows.copy();
        let settings = RouterSettings {
            node: "node-61".into(),
            addrs: RouterAddrs {
                callers: addr(61, 7_400),
                peers: addr(61, 7_401),
                heartbeats: addr(61, 7_401),
                upstream: addr(61, 7_402),
                metrics: None,
            },
            ..RouterSettings::default()
        };
        let started = Router::start(
            settings,
            HeaderNames::default(),
            table.clone(),
            CountingUpstream::default(),
            SystemClock,
            parse_config,
        );
        let _router = started.await.expect("the addresses are free");
        wait_for_row(&table).await;
        // The node has noted that it is registered.
        smol::Timer::after(Duration::from_millis(500)).await;
        table.rows.restore(&earlier);
        table.era.store(1, Ordering::SeqCst);
        let took = wait_for_row(&table).await;
        assert!(took < Duration::from_secs(3), "{took:?}");
    });
}
