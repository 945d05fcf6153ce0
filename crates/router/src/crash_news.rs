//! What nodes tell each other of requests beside which upstreams have crashed.

use ibiscove_mesh::heartbeat::News;
use ibiscove_proxy::suspects::Suspects;
use ibiscove_routing::quarantine::{CrashRecord, Suspicion};
use ibiscove_types::{Fingerprint, format_fingerprint};
use ibiscove_wire::messages::RequestCrashes;
use std::time::Instant;

/// Records in one datagram, beside the sender's presence.
const RECORDS_PER_DATAGRAM: usize = 8;

/// Applies the news of a heartbeat. Malformed ones are counted and ignored.
pub fn apply(suspects: &Suspects, news: Vec<RequestCrashes>, sender: &str, now: Instant) {
    let decoded: Vec<CrashRecord> = news
        .into_iter()
        .filter_map(|crashes| {
            let record = decode(&crashes);
            if record.is_none() {
                metrics::counter!("ibiscove_crash_records_malformed_total").increment(1);
                log::debug!(peer = sender; "a crash record is malformed and ignored");
            }
            record
        })
        .collect();
    suspects.merge(decoded, sender, now);
}

/// Parses a row of the table; its key ends with `name`.
pub fn parse_row(name: &str, body: &[u8]) -> Result<CrashRecord, String> {
    let record: CrashRecord = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    if format_fingerprint(record.fingerprint) != name {
        return Err("it is of another request than its key".to_owned());
    }
    match record.is_plausible() {
        true => Ok(record),
        false => Err("a number is out of range".to_owned()),
    }
}

/// Divides records into the news of one datagram each.
pub fn batches(records: Vec<CrashRecord>) -> impl Iterator<Item = News> {
    let crashes: Vec<RequestCrashes> = records.iter().map(encode).collect();
    let mut remaining = crashes.into_iter();
    std::iter::from_fn(move || {
        let crashes: Vec<_> = remaining.by_ref().take(RECORDS_PER_DATAGRAM).collect();
        (!crashes.is_empty()).then(|| News {
            crashes,
            ..News::default()
        })
    })
}

fn encode(record: &CrashRecord) -> RequestCrashes {
    RequestCrashes {
        fingerprint: record.fingerprint.to_be_bytes().to_vec(),
        clearings: i32::try_from(record.suspicion.clearings).unwrap_or(i32::MAX),
        crashes: record.suspicion.crashes.into(),
        crashed_ms: record.crashed_ms as i64,
    }
}

fn decode(crashes: &RequestCrashes) -> Option<CrashRecord> {
    let record = CrashRecord {
        fingerprint: Fingerprint::from_be_bytes(crashes.fingerprint.as_slice().try_into().ok()?),
        suspicion: Suspicion {
            clearings: u32::try_from(crashes.clearings).ok()?,
            crashes: u8::try_from(crashes.crashes).ok()?,
        },
        crashed_ms: u64::try_from(crashes.crashed_ms).ok()?,
    };
    record.is_plausible().then_some(record)
}
