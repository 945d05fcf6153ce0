//! Quarantine of requests that crash the upstreams that run them, known as poison
//! messages or queries of death.
//!
//! Requests that were at an upstream when it crashed are suspects. Those of them
//! that are innocent are cleared by the next copy that ends well; one whose copies
//! end in [`MAX_CRASHES`] crashes, each begun after the one before was known, is
//! quarantined. Nodes exchange [`CrashRecord`]s in any order and as often as they
//! like: all that have seen the same records reach the same state. See
//! `docs/quarantine.md`.

use ibiscove_types::{Fingerprint, checksum};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Crashes after which no copy of a request is run any more.
pub const MAX_CRASHES: u8 = 3;
/// Time after the last crash for which a record is kept.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(3_600);
/// Records that are kept. A crash adds one for each slot of an upstream, so this is
/// enough for the crashes of some hundred upstreams within the lifetime.
pub const MAX_RECORDS: usize = 2_048;
/// Most clearings of a request. A record beyond that is not one of a node, and could not
/// be told from the next clearings.
const MAX_CLEARINGS: u32 = 1 << 20;
/// Difference between the wall clocks of two nodes that is tolerated.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(60);

/// Milliseconds since the Unix epoch.
pub type WallMillis = u64;

/// How strongly a request is suspected. The later of two states compares greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Suspicion {
    /// How often a copy that ended well has cleared the request.
    pub clearings: u32,
    /// Crashes since then, one after the other.
    pub crashes: u8,
}

impl Suspicion {
    /// Returns whether an upstream has crashed beside a copy of the request.
    pub fn is_suspect(self) -> bool {
        self.crashes > 0
    }

    /// Returns whether copies of the request are refused.
    pub fn is_quarantined(self) -> bool {
        self.crashes >= MAX_CRASHES
    }

    /// Returns the state after the crash of an upstream that ran a copy in this one.
    fn after_crash(self) -> Self {
        Self {
            crashes: self.crashes.saturating_add(1).min(MAX_CRASHES),
            ..self
        }
    }
}

/// What nodes tell each other about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    #[serde(with = "fingerprint_text")]
    pub fingerprint: Fingerprint,
    /// How strongly it is suspected.
    pub suspicion: Suspicion,
    /// When an upstream crashed last beside a copy of it.
    pub crashed_ms: WallMillis,
}

impl CrashRecord {
    /// Returns whether a node may have made the record.
    pub fn is_plausible(&self) -> bool {
        self.suspicion.clearings <= MAX_CLEARINGS
    }
}

/// Fingerprints as JSON texts, because JSON numbers lose bits.
mod fingerprint_text {
    use ibiscove_types::{Fingerprint, format_fingerprint, parse_fingerprint};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(value: &Fingerprint, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&format_fingerprint(*value))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Fingerprint, D::Error> {
        let text = String::deserialize(from)?;
        parse_fingerprint(&text).ok_or_else(|| D::Error::custom("not a fingerprint"))
    }
}

/// The records of all requests that upstreams have crashed beside.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, CrashRecord>,
    digest: u64,
}

impl Quarantine {
    /// Returns how strongly a request is suspected.
    pub fn suspicion(&self, fingerprint: Fingerprint) -> Suspicion {
        self.record(fingerprint)
            .map_or(Suspicion::default(), |record| record.suspicion)
    }

    /// Returns the record of a request.
    pub fn record(&self, fingerprint: Fingerprint) -> Option<CrashRecord> {
        self.records.get(&fingerprint).copied()
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = &CrashRecord> {
        self.records.values()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns a number that is equal for equal suspicions, whatever their order.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Records that an upstream crashed beside a copy of a request that was sent to
    /// it `when_sent` was known of the request. Copies that are lost at the same time
    /// count as one crash, because a common cause may have ended their upstreams.
    /// Returns the record if it has changed.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        when_sent: Suspicion,
        now: WallMillis,
    ) -> Option<CrashRecord> {
        let record = CrashRecord {
            fingerprint,
            suspicion: when_sent.after_crash(),
            crashed_ms: now,
        };
        self.merge(record, now).then_some(record)
    }

    /// Records that an upstream ran a copy of a request to its end, which clears it.
    /// Returns the record if it has changed.
    pub fn record_success(&mut self, fingerprint: Fingerprint) -> Option<CrashRecord> {
        let earlier = self
            .record(fingerprint)
            .filter(|record| record.suspicion.is_suspect())?;
        let record = CrashRecord {
            suspicion: Suspicion {
                clearings: earlier.suspicion.clearings.saturating_add(1),
                crashes: 0,
            },
            ..earlier
        };
        self.insert(record);
        Some(record)
    }

    /// Takes over what another node knows. Returns whether it was new. A record that
    /// has expired or is not plausible is ignored, and one from a clock that is far ahead
    /// does not last longer for it.
    pub fn merge(&mut self, record: CrashRecord, now: WallMillis) -> bool {
        if is_expired(&record, now) || !record.is_plausible() {
            return false;
        }
        let latest = now.saturating_add(millis(MAX_CLOCK_DIFFERENCE));
        let suspicion = Suspicion {
            crashes: record.suspicion.crashes.min(MAX_CRASHES),
            ..record.suspicion
        };
        let record = CrashRecord {
            suspicion,
            crashed_ms: record.crashed_ms.min(latest),
            ..record
        };
        let Some(earlier) = self.record(record.fingerprint) else {
            if self.records.len() >= MAX_RECORDS && !self.evict_for(&record) {
                return false;
            }
            self.insert(record);
            return true;
        };
        self.insert(CrashRecord {
            suspicion: suspicion.max(earlier.suspicion),
            crashed_ms: record.crashed_ms.max(earlier.crashed_ms),
            ..record
        });
        suspicion > earlier.suspicion
    }

    /// Removes the records that have expired.
    pub fn prune(&mut self, now: WallMillis) {
        let expired: Vec<Fingerprint> = self
            .records()
            .filter(|record| is_expired(record, now))
            .map(|record| record.fingerprint)
            .collect();
        for fingerprint in expired {
            self.remove(fingerprint);
        }
    }

    fn insert(&mut self, record: CrashRecord) {
        self.remove(record.fingerprint);
        self.digest ^= digest_of(&record);
        self.records.insert(record.fingerprint, record);
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.remove(&fingerprint) {
            self.digest ^= digest_of(&record);
        }
    }

    /// Makes space for a record by removing the least important one, unless that is
    /// the record itself.
    fn evict_for(&mut self, record: &CrashRecord) -> bool {
        let least = self.records().min_by_key(|kept| importance(kept)).copied();
        match least {
            Some(least) if importance(&least) < importance(record) => {
                self.remove(least.fingerprint);
                true
            }
            _ => false,
        }
    }
}

/// Orders records for eviction: suspects never displace a request in quarantine.
fn importance(record: &CrashRecord) -> (u8, WallMillis, Fingerprint) {
    let crashes = record.suspicion.crashes;
    (crashes, record.crashed_ms, record.fingerprint)
}

fn is_expired(record: &CrashRecord, now: WallMillis) -> bool {
    record.crashed_ms.saturating_add(millis(RECORD_LIFETIME)) <= now
}

fn digest_of(record: &CrashRecord) -> u64 {
    let mut bytes = [0; 21];
    bytes[..16].copy_from_slice(&record.fingerprint.to_be_bytes());
    bytes[16..20].copy_from_slice(&record.suspicion.clearings.to_be_bytes());
    bytes[20] = record.suspicion.crashes;
    checksum(&bytes)
}

fn millis(duration: Duration) -> WallMillis {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
