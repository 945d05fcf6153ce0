//! The node's use of anti-entropy, by which rows spread: propagates new rows
//! and fetches the configuration texts that they refer to.

use crate::process::Process;
use ibiscove_config::change::ConfigKind;
use ibiscove_spread::{ReplicatedRow, SpreadSettings};
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, Incarnation};
use std::sync::Arc;
use std::time::Duration;

/// Interval between two reads of texts that no peer has supplied.
const TEXT_FETCH_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) fn spread_settings<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
) -> SpreadSettings {
    SpreadSettings {
        incarnation: process.ownership.incarnation(),
        ..Default::default()
    }
}

/// Propagates rows that were new here, and fetches texts that they refer to
/// from the node that sent them; both outside the call that delivered the rows.
pub(crate) fn propagate<P: Table + Objects, C: Clock>(
    process: &Arc<Process<P, C>>,
    from: Option<Incarnation>,
    new_rows: Vec<ReplicatedRow>,
) {
    let sender = from.and_then(|from| Some(process.replica.map().node(from)?.row.peer_addr));
    let sender = sender.filter(|_| !process.replica.missing_texts().is_empty());
    if new_rows.is_empty() && sender.is_none() {
        return;
    }
    let process = Arc::clone(process);
    smol::spawn(async move {
        let settings = spread_settings(&process);
        let (replica, peers) = (&process.replica, &process.peers);
        ibiscove_spread::propagate_rows(replica, peers, &settings, sender, &new_rows).await;
    })
    .detach();
}

/// Reads texts that no peer has supplied from the object store, until the task
/// is dropped.
pub(crate) async fn fetch_missing_texts<P: Table + Objects, C: Clock>(process: Arc<Process<P, C>>) {
    loop {
        process.clock.sleep(TEXT_FETCH_INTERVAL).await;
        if process.replica.missing_texts().is_empty() {
            continue;
        }
        for kind in [ConfigKind::Inventory, ConfigKind::Rules] {
            match process.configs.current(kind).await {
                Ok(Some(current)) => {
                    let completed = process.replica.supply_text(current.body.into_bytes());
                    propagate(&process, None, completed);
                }
                Ok(None) => {}
                Err(err) => log::debug!(kind:%; "reading a change's text failed, retries: {err}"),
            }
        }
    }
}
