//! A platform that counts what is asked of it.

use ibiscove_store::{Commit, Objects, RawRow, Table, TableError, Transaction};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// What was asked of the platform so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCalls {
    /// Rows read one by one.
    pub gets: u64,
    /// Reads of whole prefixes.
    pub scans: u64,
    /// Rows that those reads gave.
    pub scanned_rows: u64,
    /// Transactions, refused ones included.
    pub commits: u64,
    /// Objects read or listed.
    pub fetches: u64,
    /// Objects stored.
    pub puts: u64,
}

impl PlatformCalls {
    /// Calls that read.
    pub fn reads(&self) -> u64 {
        self.gets + self.scans + self.fetches
    }

    /// Calls that write.
    pub fn writes(&self) -> u64 {
        self.commits + self.puts
    }
}

#[derive(Debug, Default)]
struct Counts {
    gets: AtomicU64,
    scans: AtomicU64,
    scanned_rows: AtomicU64,
    commits: AtomicU64,
    fetches: AtomicU64,
    puts: AtomicU64,
}

/// A platform whose calls are counted. Clones share the counts.
#[derive(Clone, Debug)]
pub struct CountingPlatform<P> {
    platform: P,
    counts: Arc<Counts>,
}

impl<P> CountingPlatform<P> {
    /// Counts calls from now on.
    pub fn new(platform: P) -> Self {
        Self {
            platform,
            counts: Arc::default(),
        }
    }

    /// What was asked so far.
    pub fn calls(&self) -> PlatformCalls {
        let counts = &self.counts;
        let value = |count: &AtomicU64| count.load(Ordering::Relaxed);
        PlatformCalls {
            gets: value(&counts.gets),
            scans: value(&counts.scans),
            scanned_rows: value(&counts.scanned_rows),
            commits: value(&counts.commits),
            fetches: value(&counts.fetches),
            puts: value(&counts.puts),
        }
    }
}

fn add(count: &AtomicU64, number: usize) {
    count.fetch_add(number as u64, Ordering::Relaxed);
}

impl<P: Table> Table for CountingPlatform<P> {
    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        add(&self.counts.gets, 1);
        self.platform.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        add(&self.counts.scans, 1);
        let rows = self.platform.scan(prefix).await?;
        add(&self.counts.scanned_rows, rows.len());
        Ok(rows)
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        add(&self.counts.commits, 1);
        self.platform.commit(txn).await
    }
}

impl<P: Objects> Objects for CountingPlatform<P> {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), TableError> {
        add(&self.counts.puts, 1);
        self.platform.put(name, body).await
    }

    async fn fetch(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        add(&self.counts.fetches, 1);
        self.platform.fetch(name).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, TableError> {
        add(&self.counts.fetches, 1);
        self.platform.list(prefix).await
    }
}
