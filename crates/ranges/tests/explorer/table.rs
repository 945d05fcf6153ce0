//! A table that fails for some nodes or all, loses answers and writes late.

use ibiscove_sim::{NodeIndex, Sim, WORLD};
use ibiscove_store::{Commit, MemoryPlatform, RawRow, Table, TableError, Transaction};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What calls of one node suffer.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableTrouble {
    /// Every call is refused.
    pub is_down: bool,
    /// Share of the writes that are done and not answered.
    pub lost: f64,
    /// Share of the writes that are not answered and done seconds later.
    pub late: f64,
}

impl TableTrouble {
    /// Every call is refused.
    pub const DOWN: Self = Self {
        is_down: true,
        lost: 0.0,
        late: 0.0,
    };
}

/// The table as one node sees it.
#[derive(Clone)]
pub struct FaultyTable {
    sim: Arc<Sim>,
    memory: MemoryPlatform,
    trouble: Arc<Mutex<Vec<TableTrouble>>>,
    node: NodeIndex,
}

impl FaultyTable {
    pub fn new(sim: &Arc<Sim>, nodes: usize) -> Self {
        Self {
            sim: Arc::clone(sim),
            memory: MemoryPlatform::default(),
            trouble: Arc::new(Mutex::new(vec![TableTrouble::default(); nodes])),
            node: 0,
        }
    }

    /// The same table as another node sees it.
    pub fn of(&self, node: NodeIndex) -> Self {
        Self {
            node,
            ..self.clone()
        }
    }

    pub fn set(&self, node: NodeIndex, trouble: TableTrouble) {
        self.trouble.lock().expect("no holder panics")[node] = trouble;
    }

    async fn begin(&self) -> Result<TableTrouble, TableError> {
        self.sim.sleep(Duration::from_millis(4)).await;
        let trouble = self.trouble.lock().expect("no holder panics")[self.node];
        match trouble.is_down {
            true => Err(TableError::Unavailable("down".to_owned())),
            false => Ok(trouble),
        }
    }
}

impl Table for FaultyTable {
    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        self.begin().await?;
        self.memory.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        self.begin().await?;
        self.memory.scan(prefix).await
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        let trouble = self.begin().await?;
        let (lost, late) = self
            .sim
            .draw(|rng| (rng.f64() < trouble.lost, rng.f64() < trouble.late));
        let unanswered = Err(TableError::Unanswered("lost".to_owned()));
        if late {
            let delay = Duration::from_millis(self.sim.draw(|rng| rng.u64(100..6_000)));
            let (sim, memory) = (Arc::clone(&self.sim), self.memory.clone());
            self.sim
                .spawn(WORLD, async move {
                    sim.sleep(delay).await;
                    memory.commit_now(&txn);
                })
                .detach();
            return unanswered;
        }
        let done = self.memory.commit_now(&txn);
        match lost {
            true => unanswered,
            false => Ok(done),
        }
    }
}
