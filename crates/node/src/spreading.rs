//! This node's part in spreading rows: what new rows set off here.

use crate::process::Process;
use ibiscove_config::change::ConfigKind;
use ibiscove_spread::{ReplicatedRow, SpreadSettings};
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, Incarnation};
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks for texts that no peer has given.
const TEXT_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) fn settings<P: Table + Objects, C: Clock>(process: &Process<P, C>) -> SpreadSettings {
    SpreadSettings {
        incarnation: process.ownership.incarnation(),
        ..Default::default()
    }
}

/// Pushes on what was new here, and fetches the texts that new rows wait for
/// from the node that sent them; both outside the call that brought them.
pub(crate) fn pass_on<P: Table + Objects, C: Clock>(
    process: &Arc<Process<P, C>>,
    from: Option<Incarnation>,
    newer: Vec<ReplicatedRow>,
) {
    let sender = from.and_then(|from| Some(process.replica.map().node(from)?.row.peer_addr));
    let sender = sender.filter(|_| !process.replica.missing_texts().is_empty());
    if newer.is_empty() && sender.is_none() {
        return;
    }
    let process = Arc::clone(process);
    smol::spawn(async move {
        let settings = settings(&process);
        let (replica, peers) = (&process.replica, &process.peers);
        ibiscove_spread::propagate_rows(replica, peers, &settings, sender, &newer).await;
    })
    .detach();
}

/// Reads texts that no peer has given from the object store, until the task
/// is dropped.
pub(crate) async fn read_texts<P: Table + Objects, C: Clock>(process: Arc<Process<P, C>>) {
    loop {
        process.clock.sleep(TEXT_INTERVAL).await;
        if process.replica.missing_texts().is_empty() {
            continue;
        }
        for kind in [ConfigKind::Inventory, ConfigKind::Rules] {
            match process.configs.current(kind).await {
                Ok(Some(current)) => {
                    let completed = process.replica.supply_text(current.body.into_bytes());
                    pass_on(&process, None, completed);
                }
                Ok(None) => {}
                Err(err) => log::debug!(kind:%; "text of a change: {err}"),
            }
        }
    }
}
