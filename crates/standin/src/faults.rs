//! Faults in front of a platform.

use ibiscove_store::{Commit, Objects, RawRow, Table, TableError, Transaction};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// Every call is refused before it has an effect.
    pub unavailable: bool,
    /// Time that every call takes.
    pub delay: Duration,
    /// This many of the next commits take effect and lose their answer.
    pub lost_responses: u32,
}

/// A platform with faults. Clones share them.
#[derive(Clone, Debug)]
pub struct FaultyPlatform<P> {
    platform: P,
    faults: Arc<Mutex<PlatformFaults>>,
}

impl<P> FaultyPlatform<P> {
    /// A platform without faults so far.
    pub fn new(platform: P) -> Self {
        Self {
            platform,
            faults: Arc::default(),
        }
    }

    /// Changes what goes wrong from now on.
    pub fn update_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.faults());
    }

    fn faults(&self) -> MutexGuard<'_, PlatformFaults> {
        self.faults.lock().expect("a holder of the lock panicked")
    }

    async fn enter(&self) -> Result<(), TableError> {
        let faults = *self.faults();
        if !faults.delay.is_zero() {
            smol::Timer::after(faults.delay).await;
        }
        if faults.unavailable {
            return Err(TableError::Unavailable("down by a fault".to_owned()));
        }
        Ok(())
    }

    /// Whether the answer of this commit is lost.
    fn loses_answer(&self) -> bool {
        let mut faults = self.faults();
        let loses = faults.lost_responses > 0;
        faults.lost_responses = faults.lost_responses.saturating_sub(1);
        loses
    }
}

impl<P: Table> Table for FaultyPlatform<P> {
    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        self.enter().await?;
        self.platform.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        self.enter().await?;
        self.platform.scan(prefix).await
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        self.enter().await?;
        let loses = self.loses_answer();
        let commit = self.platform.commit(txn).await?;
        if loses {
            return Err(TableError::Unanswered("lost by a fault".to_owned()));
        }
        Ok(commit)
    }
}

impl<P: Objects> Objects for FaultyPlatform<P> {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), TableError> {
        self.enter().await?;
        self.platform.put(name, body).await
    }

    async fn fetch(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        self.enter().await?;
        self.platform.fetch(name).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, TableError> {
        self.enter().await?;
        self.platform.list(prefix).await
    }
}
