//! A table service with injected faults: unavailability per node, lost
//! responses, delayed writes, and a return from an earlier copy.

use ibiscove_sim::{ENVIRONMENT, NodeIndex, Sim};
use ibiscove_store::era::{Era, EraTracker, conflict_across_eras, number_of, version_in};
use ibiscove_store::{
    Commit, Condition, MemoryPlatform, PlatformCopy, RawRow, Table, TableError, Transaction, Write,
};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Faults injected into the table calls of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableFaults {
    /// Every call fails.
    pub is_unavailable: bool,
    /// Probability that a write is applied and its response lost.
    pub response_loss_probability: f64,
    /// Probability that a write is applied seconds later and its response lost.
    pub delay_probability: f64,
}

impl TableFaults {
    /// Every call fails.
    pub const UNAVAILABLE: Self = Self {
        is_unavailable: true,
        response_loss_probability: 0.0,
        delay_probability: 0.0,
    };
}

/// The table as seen by one node.
#[derive(Clone)]
pub struct FaultyTable {
    sim: Arc<Sim>,
    content: Content,
    faults: Arc<Mutex<Vec<TableFaults>>>,
    node: NodeIndex,
    /// The newest era that a process has seen.
    tracker: EraTracker,
    /// Calls of all nodes.
    calls: Arc<AtomicUsize>,
}

/// The rows, and a copy of them after each transaction.
#[derive(Clone, Default)]
struct Content {
    memory: MemoryPlatform,
    copies: Arc<Mutex<Vec<(Duration, PlatformCopy)>>>,
    era: Arc<Mutex<Era>>,
}

impl Content {
    fn era(&self) -> Era {
        *self.era.lock().expect("no holder panics")
    }

    /// Commits a transaction of a client in whose newest era its conditions hold the
    /// numbers that the table gave out.
    fn commit(&self, txn: &Transaction, now: Duration) -> Commit {
        let numbered = Transaction {
            conditions: txn
                .conditions
                .iter()
                .map(|condition| Condition {
                    key: condition.key.clone(),
                    version: condition.version.map(number_of),
                })
                .collect(),
            writes: txn.writes.clone(),
        };
        let done = self.memory.commit_now(&numbered);
        let mut copies = self.copies.lock().expect("no holder panics");
        copies.push((now, self.memory.copy()));
        done
    }
}

impl FaultyTable {
    pub fn new(sim: &Arc<Sim>, nodes: usize) -> Self {
        Self {
            sim: Arc::clone(sim),
            content: Content::default(),
            faults: Arc::new(Mutex::new(vec![TableFaults::default(); nodes])),
            node: 0,
            tracker: EraTracker::default(),
            calls: Arc::default(),
        }
    }

    /// Returns how many calls all nodes have made.
    pub fn call_count(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the same table as seen by a process of another node.
    pub fn seen_by(&self, node: NodeIndex) -> Self {
        Self {
            node,
            tracker: EraTracker::default(),
            ..self.clone()
        }
    }

    /// Writes a row as another writer may.
    pub fn put(&self, key: &str, body: &[u8]) {
        let write = Write {
            key: key.to_owned(),
            body: Some(body.into()),
        };
        let txn = Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        self.content.commit(&txn, self.sim.now());
    }

    pub fn inject(&self, node: NodeIndex, faults: TableFaults) {
        self.faults.lock().expect("no holder panics")[node] = faults;
    }

    /// Replaces the rows by those of an earlier time.
    pub fn restore(&self, to: Duration) {
        let mut copies = self.content.copies.lock().expect("no holder panics");
        copies.retain(|(at, _)| *at <= to);
        match copies.last() {
            Some((_, copy)) => self.content.memory.restore(copy),
            None => self
                .content
                .memory
                .restore(&MemoryPlatform::default().copy()),
        }
        *self.content.era.lock().expect("no holder panics") += 1;
    }

    /// Applies the era of an answer that leaves the table now.
    fn answer(&self, called: Option<Era>) -> Result<Era, TableError> {
        let observed = self.tracker.observe(called, self.content.era());
        observed.map_err(|err| TableError::Unanswered(err.to_string()))
    }

    async fn start_call(&self) -> Result<TableFaults, TableError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.sim.sleep(Duration::from_millis(4)).await;
        let faults = self.faults.lock().expect("no holder panics")[self.node];
        match faults.is_unavailable {
            true => Err(TableError::Unavailable(
                "injected fault: table unavailable".to_owned(),
            )),
            false => Ok(faults),
        }
    }
}

impl Table for FaultyTable {
    fn era(&self) -> Option<Era> {
        self.tracker.newest()
    }

    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        let called = self.tracker.newest();
        self.start_call().await?;
        let row = self.content.memory.get(key).await?;
        let era = self.answer(called)?;
        Ok(row.map(|row| in_era(row, era)))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        let called = self.tracker.newest();
        self.start_call().await?;
        let rows = self.content.memory.scan(prefix).await?;
        let era = self.answer(called)?;
        let rows = rows.into_iter();
        Ok(rows.map(|(key, row)| (key, in_era(row, era))).collect())
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        let called = self.tracker.newest();
        if let Some(conflict) = called.and_then(|era| conflict_across_eras(&txn, era)) {
            return Ok(conflict);
        }
        let faults = self.start_call().await?;
        let (is_lost, is_delayed) = self.sim.draw(|rng| {
            (
                rng.f64() < faults.response_loss_probability,
                rng.f64() < faults.delay_probability,
            )
        });
        let unanswered = Err(TableError::Unanswered(
            "injected fault: response lost".to_owned(),
        ));
        if is_delayed {
            let delay = Duration::from_millis(self.sim.draw(|rng| rng.u64(100..6_000)));
            let (sim, content) = (Arc::clone(&self.sim), self.content.clone());
            self.sim
                .spawn(ENVIRONMENT, async move {
                    sim.sleep(delay).await;
                    content.commit(&txn, sim.now());
                })
                .detach();
            return unanswered;
        }
        let done = self.content.commit(&txn, self.sim.now());
        if is_lost {
            return unanswered;
        }
        let era = self.answer(called)?;
        Ok(match done {
            Commit::Done(versions) => {
                Commit::Done(versions.into_iter().map(|v| version_of(era, v)).collect())
            }
            conflict => conflict,
        })
    }
}

fn in_era(row: RawRow, era: Era) -> RawRow {
    RawRow {
        version: version_of(era, row.version),
        ..row
    }
}

fn version_of(era: Era, number: u64) -> u64 {
    version_in(era, number).expect("no schedule has that many eras or writes")
}
