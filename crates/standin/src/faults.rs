//! Fault injection into the calls of a platform.

use ibiscove_store::{Commit, Objects, RawRow, Table, TableError, Transaction};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// Whether every call fails before it has an effect.
    pub unavailable: bool,
    /// Delay before every call.
    pub delay: Duration,
    /// Number of next commits that take effect but whose response is lost.
    pub lost_responses: u32,
}

/// A platform whose calls fail as [`PlatformFaults`] says. Clones share the faults.
#[derive(Clone, Debug)]
pub struct FaultyPlatform<P> {
    platform: P,
    faults: Arc<Mutex<PlatformFaults>>,
}

impl<P> FaultyPlatform<P> {
    /// Wraps a platform, without faults at first.
    pub fn new(platform: P) -> Self {
        Self {
            platform,
            faults: Arc::default(),
        }
    }

    /// Changes the faults for later calls.
    pub fn update_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.faults());
    }

    fn faults(&self) -> MutexGuard<'_, PlatformFaults> {
        self.faults
            .lock()
            .expect("a thread panicked while it held the lock")
    }

    async fn inject_before_call(&self) -> Result<(), TableError> {
        let faults = *self.faults();
        if !faults.delay.is_zero() {
            smol::Timer::after(faults.delay).await;
        }
        if faults.unavailable {
            return Err(TableError::Unavailable(
                "injected fault: the platform is unavailable".to_owned(),
            ));
        }
        Ok(())
    }

    /// Whether the response of this commit is to be lost; counts it.
    fn take_lost_response(&self) -> bool {
        let mut faults = self.faults();
        let is_lost = faults.lost_responses > 0;
        faults.lost_responses = faults.lost_responses.saturating_sub(1);
        is_lost
    }
}

impl<P: Table> Table for FaultyPlatform<P> {
    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        self.inject_before_call().await?;
        self.platform.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        self.inject_before_call().await?;
        self.platform.scan(prefix).await
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        self.inject_before_call().await?;
        let is_lost = self.take_lost_response();
        let commit = self.platform.commit(txn).await?;
        if is_lost {
            return Err(TableError::Unanswered(
                "injected fault: the response is lost".to_owned(),
            ));
        }
        Ok(commit)
    }
}

impl<P: Objects> Objects for FaultyPlatform<P> {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), TableError> {
        self.inject_before_call().await?;
        self.platform.put(name, body).await
    }

    async fn fetch(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        self.inject_before_call().await?;
        self.platform.fetch(name).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, TableError> {
        self.inject_before_call().await?;
        self.platform.list(prefix).await
    }
}
