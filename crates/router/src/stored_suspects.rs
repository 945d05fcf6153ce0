//! Rows of requests in quarantine, which outlive the loss of all nodes.
//!
//! A row is written when a request enters or leaves quarantine, by the node that
//! found it out, and read at the start of a node. Between them nodes tell each
//! other; the table may be away for as long as one of them lives.

use crate::{Router, crash_news};
use ibiscove_proxy::suspects::Suspects;
use ibiscove_ranges::Grantee;
use ibiscove_routing::quarantine::CrashRecord;
use ibiscove_store::{Table, TableError, Transaction, Write};
use ibiscove_types::{BootClock, Clock, format_fingerprint};
use std::time::{Duration, Instant};

/// Prefix of the keys of these rows: table and partition.
const PREFIX: &str = "quarantine/all/";
/// Delay after a failed call, half of it random jitter.
const RETRY_BACKOFF: Duration = Duration::from_millis(600);
/// Most records of one write; the table limits the entries of a transaction.
const MAX_WRITES: usize = 64;

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// Reads the rows, then writes changes, until the task is dropped.
    pub(crate) async fn store_suspects(self) {
        let (table, suspects) = (&self.inner.table, &self.inner.suspects);
        let clock = &self.inner.clock;
        let back_off = || clock.sleep(RETRY_BACKOFF.mul_f64(0.5 + fastrand::f64() / 2.0));
        while let Err(err) = read(table, suspects, clock.now()).await {
            log::warn!("requests in quarantine cannot be read yet: {err}");
            back_off().await;
        }
        loop {
            let changed = suspects.changed();
            let unstored = suspects.unstored(MAX_WRITES);
            if unstored.is_empty() {
                changed.await;
                continue;
            }
            match write(table, &unstored).await {
                Ok(()) => suspects.mark_stored(&unstored),
                Err(err) => {
                    log::warn!(records = unstored.len();
                        "requests in quarantine were not stored and are written again: {err}");
                    back_off().await;
                }
            }
        }
    }
}

async fn read(table: &impl Table, suspects: &Suspects, now: Instant) -> Result<(), TableError> {
    let rows = table.scan(PREFIX).await?;
    let records = rows.iter().filter_map(|(key, row)| {
        let name = key.strip_prefix(PREFIX).unwrap_or_default();
        let record = crash_news::parse_row(name, &row.body);
        record
            .inspect_err(|err| {
                metrics::counter!("ibiscove_crash_records_malformed_total").increment(1);
                log::warn!("the row {key} is malformed and ignored: {err}");
            })
            .ok()
    });
    suspects.merge(records, "table", now);
    Ok(())
}

async fn write(table: &impl Table, records: &[CrashRecord]) -> Result<(), TableError> {
    let write = |record: &CrashRecord| {
        let body = serde_json::to_vec(record).map_err(|err| {
            TableError::Unavailable(format!("a record cannot be serialised: {err}"))
        })?;
        Ok(Write {
            key: format!("{PREFIX}{}", format_fingerprint(record.fingerprint)),
            body: Some(body),
        })
    };
    let writes: Result<Vec<Write>, TableError> = records.iter().map(write).collect();
    let txn = Transaction {
        conditions: Vec::new(),
        writes: writes?,
    };
    table.commit(txn).await.map(|_| ())
}
