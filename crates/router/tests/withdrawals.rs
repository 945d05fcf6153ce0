//! Withdrawals of upstreams, whose nodes restart around them and hear of them late.

mod support;

use ibiscove_http::{Pool, PoolSettings};
use ibiscove_proxy::{Announcement, HeaderNames};
use ibiscove_ranges::HoldReport;
use ibiscove_router::{Router, RouterAddrs, RouterSettings};
use ibiscove_store::{Commit, MemoryPlatform, RawRow, Table, TableError, Transaction};
use ibiscove_types::{SystemClock, UpstreamIncarnation};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{CountingUpstream, addr, parse_config, send_request, wait_until_served};

/// A process's way to the table, which a test interrupts.
#[derive(Clone, Default)]
struct TableLink {
    rows: MemoryPlatform,
    is_away: Arc<AtomicBool>,
    /// Whether the answers to transactions are lost and these take effect late.
    is_late: Arc<AtomicBool>,
    late: Arc<Mutex<Vec<Transaction>>>,
}

impl TableLink {
    fn to(rows: &MemoryPlatform) -> Self {
        Self {
            rows: rows.clone(),
            ..Self::default()
        }
    }

    fn check(&self) -> Result<(), TableError> {
        match self.is_away.load(Ordering::SeqCst) {
            true => Err(TableError::Unavailable("away".to_owned())),
            false => Ok(()),
        }
    }
}

impl Table for TableLink {
    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        self.check()?;
        self.rows.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        self.check()?;
        self.rows.scan(prefix).await
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        self.check()?;
        if self.is_late.load(Ordering::SeqCst) {
            self.late.lock().expect("no holder panics").push(txn);
            return Err(TableError::Unanswered("lost".to_owned()));
        }
        self.rows.commit(txn).await
    }
}

type Process = Router<TableLink, CountingUpstream, SystemClock>;

/// The node `node-a` with the upstream beside it, whose processes a test starts one
/// after the other.
struct Node {
    upstream: CountingUpstream,
    upstream_addr: SocketAddr,
    pool: Pool,
}

impl Node {
    async fn new() -> Self {
        let upstream = CountingUpstream::default();
        Self {
            upstream_addr: upstream.serve().await,
            upstream,
            pool: Pool::new(PoolSettings::default()),
        }
    }

    /// Starts a process, at an address of its own since the earlier ones run on.
    async fn start_process(&self, number: u8, table: TableLink) -> (Process, SocketAddr) {
        let settings = RouterSettings {
            node: "node-a".into(),
            service: Some("gallery".into()),
            addrs: RouterAddrs {
                callers: addr(number, 7_400),
                peers: addr(number, 7_401),
                heartbeats: addr(number, 7_401),
                upstream: self.upstream_addr,
                metrics: None,
            },
            ..RouterSettings::default()
        };
        let callers = settings.addrs.callers;
        let grantee = self.upstream.clone();
        let names = HeaderNames::default();
        let started = Router::start(settings, names, table, grantee, SystemClock, parse_config);
        let process = started.await.expect("the addresses are free");
        assert!(process.apply_config("7".into()));
        (process, callers)
    }

    /// Sends requests for a second, none of which may be run.
    async fn expect_unserved(&self, callers: SocketAddr) {
        let before = self.upstream.runs.load(Ordering::SeqCst);
        for _ in 0..10 {
            let (status, body) = send_request(&self.pool, callers, "/signs/1").await;
            assert_eq!(status, 503, "{body}");
            smol::Timer::after(Duration::from_millis(100)).await;
        }
        assert_eq!(self.upstream.runs.load(Ordering::SeqCst), before);
    }
}

/// Announces the upstream `id`, born at `born_ms`, which does not say that it drains.
fn announce(process: &Process, id: &str, born_ms: i64) {
    let announcement = Announcement {
        incarnation: UpstreamIncarnation {
            id: id.into(),
            born_ms,
        },
        service: "gallery".into(),
        concurrency: 4,
        draining: false,
        warm_up_remaining: Duration::ZERO,
        sequence: 5,
    };
    process.apply_announcement(announcement, &HoldReport::default());
}

/// Guards against requests to an upstream that withdrew right after its node had
/// restarted, before the new process heard of it: an announcement that it had sent
/// earlier arrives late.
#[test]
fn upstream_that_withdraws_before_its_node_hears_of_it_gets_no_requests() {
    smol::block_on(async {
        let node = Node::new().await;
        let table = TableLink::default();
        let (process, callers) = node.start_process(81, table).await;
        process.withdraw_upstream("a");
        announce(&process, "a", 1);
        node.expect_unserved(callers).await;
    });
}

/// Guards against requests to an upstream whose withdrawal was acknowledged by a process
/// that has been killed since, with all others: an announcement that it had sent earlier
/// reaches the next process.
#[test]
fn withdrawal_that_was_acknowledged_outlives_all_processes() {
    smol::block_on(async {
        let node = Node::new().await;
        let rows = MemoryPlatform::default();
        let (first, callers) = node.start_process(82, TableLink::to(&rows)).await;
        announce(&first, "a", 1);
        wait_until_served(&node.pool, callers, "/signs/1").await;
        first.withdraw_upstream("a");
        assert!(first.withdrawals_stored().await);

        let (second, callers) = node.start_process(83, TableLink::to(&rows)).await;
        announce(&second, "a", 1);
        // The row is read after the start; the upstream still serves at this time.
        smol::Timer::after(Duration::from_millis(500)).await;
        node.expect_unserved(callers).await;
        announce(&second, "a", 2);
        wait_until_served(&node.pool, callers, "/signs/1").await;
    });
}

/// Guards against an acknowledgement that does not hold: while the table is away, the
/// withdrawal would be forgotten if all processes were killed.
#[test]
fn withdrawal_counts_as_stored_only_once_the_table_has_it() {
    smol::block_on(async {
        let node = Node::new().await;
        let table = TableLink::default();
        let is_away = Arc::clone(&table.is_away);
        let (process, callers) = node.start_process(84, table).await;
        announce(&process, "a", 1);
        wait_until_served(&node.pool, callers, "/signs/1").await;
        is_away.store(true, Ordering::SeqCst);
        process.withdraw_upstream("a");
        assert!(!process.withdrawals_stored().await);
        node.expect_unserved(callers).await;
        is_away.store(false, Ordering::SeqCst);
        assert!(process.withdrawals_stored().await);
    });
}

/// Guards against requests to an upstream whose withdrawal an earlier process has
/// acknowledged: the next one cannot reach the table, and a late announcement reaches it.
#[test]
fn withdrawal_holds_for_a_process_that_cannot_read_it_yet() {
    smol::block_on(async {
        let node = Node::new().await;
        let rows = MemoryPlatform::default();
        let (first, callers) = node.start_process(88, TableLink::to(&rows)).await;
        announce(&first, "a", 1);
        wait_until_served(&node.pool, callers, "/signs/1").await;
        first.withdraw_upstream("a");
        assert!(first.withdrawals_stored().await);

        let link = TableLink::to(&rows);
        link.is_away.store(true, Ordering::SeqCst);
        let (second, callers) = node.start_process(89, link.clone()).await;
        announce(&second, "a", 1);
        node.expect_unserved(callers).await;
        link.is_away.store(false, Ordering::SeqCst);
        smol::Timer::after(Duration::from_millis(500)).await;
        node.expect_unserved(callers).await;
        announce(&second, "a", 2);
        wait_until_served(&node.pool, callers, "/signs/1").await;
    });
}

/// An upstream that announced itself while the table was away is used once the table is
/// back, without another announcement.
#[test]
fn upstream_is_used_once_the_withdrawals_are_read() {
    smol::block_on(async {
        let node = Node::new().await;
        let link = TableLink::default();
        link.is_away.store(true, Ordering::SeqCst);
        let (process, callers) = node.start_process(90, link.clone()).await;
        announce(&process, "a", 1);
        node.expect_unserved(callers).await;
        link.is_away.store(false, Ordering::SeqCst);
        wait_until_served(&node.pool, callers, "/signs/1").await;
    });
}

/// Guards against a withdrawal that is replaced by the row of an earlier process, whose
/// write takes effect late.
#[test]
fn late_write_of_an_earlier_process_replaces_no_withdrawal() {
    smol::block_on(async {
        let node = Node::new().await;
        let rows = MemoryPlatform::default();
        let early_link = TableLink::to(&rows);
        let (early, _) = node.start_process(85, early_link.clone()).await;
        early_link.is_late.store(true, Ordering::SeqCst);
        early.withdraw_upstream("a");
        assert!(!early.withdrawals_stored().await);
        // The process is killed.
        early_link.is_away.store(true, Ordering::SeqCst);

        let (late, _) = node.start_process(86, TableLink::to(&rows)).await;
        late.withdraw_upstream("b");
        assert!(late.withdrawals_stored().await);
        let late_writes = std::mem::take(&mut *early_link.late.lock().expect("no holder panics"));
        assert!(!late_writes.is_empty());
        for txn in late_writes {
            rows.commit_now(&txn);
        }

        let (process, callers) = node.start_process(87, TableLink::to(&rows)).await;
        announce(&process, "b", 1);
        smol::Timer::after(Duration::from_millis(500)).await;
        node.expect_unserved(callers).await;
    });
}
