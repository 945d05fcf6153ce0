//! Limit on the rate at which a node sends configurations, range maps and crash
//! records, so that many nodes that are behind do not take its link from requests.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Settings of [`TransferPacing`].
#[derive(Clone, Copy, Debug)]
pub struct TransferPacingSettings {
    /// Rate in bytes a second: 40 % of a link of 10 Mbit/s, the narrowest that is
    /// supported.
    pub bytes_per_second: u32,
    /// Bytes that are sent without a wait after a pause: one page of a transfer.
    pub burst_bytes: u32,
    /// Longest wait of a transfer: a quarter of the silence after which its receiver
    /// gives up.
    pub max_wait: Duration,
}

impl Default for TransferPacingSettings {
    fn default() -> Self {
        Self {
            bytes_per_second: 500_000,
            burst_bytes: 64 << 10,
            max_wait: Duration::from_millis(200),
        }
    }
}

/// The transfer would have to wait for too long, and is to be made by another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many transfers are active; the next may start in {retry_after:?}")]
pub struct Busy {
    /// Time after which the transfer need not wait.
    pub retry_after: Duration,
}

/// A token bucket of bytes.
#[derive(Debug)]
pub struct TransferPacing {
    settings: TransferPacingSettings,
    /// When the bucket is full again; none as long as nothing was sent.
    full_at: Mutex<Option<Instant>>,
}

impl TransferPacing {
    /// Returns a full bucket.
    pub fn new(settings: TransferPacingSettings) -> Self {
        Self {
            settings,
            full_at: Mutex::default(),
        }
    }

    /// Reserves a transfer of `bytes`, and returns the time to wait before it starts.
    /// One that is larger than the bucket starts once the bucket is full, and delays
    /// the next ones accordingly. A refused transfer reserves nothing.
    pub fn reserve(&self, bytes: usize, now: Instant) -> Result<Duration, Busy> {
        let mut full_at = self.full_at.lock().unwrap_or_else(PoisonError::into_inner);
        let until_full = full_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        let burst = self.settings.burst_bytes as usize;
        let beyond_burst = until_full + self.duration(bytes.min(burst));
        let wait = beyond_burst.saturating_sub(self.duration(burst));
        if wait > self.settings.max_wait {
            return Err(Busy { retry_after: wait });
        }
        *full_at = Some(now + until_full + self.duration(bytes));
        Ok(wait)
    }

    /// Returns the time that `bytes` take at the limited rate.
    fn duration(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / f64::from(self.settings.bytes_per_second))
    }
}

impl Default for TransferPacing {
    fn default() -> Self {
        Self::new(TransferPacingSettings::default())
    }
}
