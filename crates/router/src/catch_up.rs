//! Fetches what other nodes have newer.

use crate::Router;
use ibiscove_mesh::Member;
use ibiscove_proxy::serving;
use ibiscove_ranges::Grantee;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock, RowVersion, ServiceName};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time that a newer configuration is given to come by itself, before it is
/// asked of the node that has it.
const CONFIG_PATIENCE: Duration = Duration::from_millis(250);

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// A heartbeat came.
    pub(crate) fn heard(&self, member: &Member, is_new: bool) {
        if is_new {
            // It may not know this node yet.
            self.inner.pushed.notify(usize::MAX);
        }
        if let Some(keeper) = self.inner.keeper.get() {
            keeper.observe_lease(member);
        }
        if member.config_version > self.inner.config.version()
            && let Some(fetching) = self.inner.fetching.begin(CONFIG)
        {
            let fetch = self.clone().fetch_config(member.clone(), fetching);
            smol::spawn(fetch).detach();
        }
        for (service, version) in &member.maps {
            if *version > self.inner.maps.version(service)
                && let Some(fetching) = self.inner.fetching.begin(service)
            {
                let service = service.clone();
                let fetch = self
                    .clone()
                    .fetch_map(member.clone(), service, *version, fetching);
                smol::spawn(fetch).detach();
            }
        }
    }

    async fn fetch_config(self, from: Member, _fetching: Fetching) {
        let inner = &self.inner;
        // A node without any configuration does not wait for its own feed.
        if inner.config.version() > 0 {
            inner.clock.sleep(CONFIG_PATIENCE).await;
        }
        if from.config_version <= inner.config.version() {
            return;
        }
        match serving::fetch_config(&inner.peers, &inner.clock, from.gate).await {
            Ok(text) => {
                if self.apply_config(text) {
                    log::info!(peer = &*from.name, version = from.config_version;
                        "configuration taken from a peer");
                }
            }
            Err(err) => {
                log::warn!(peer = &*from.name; "a newer configuration was not fetched: {err}");
            }
        }
    }

    async fn fetch_map(
        self,
        from: Member,
        service: ServiceName,
        version: RowVersion,
        _fetching: Fetching,
    ) {
        let inner = &self.inner;
        let fetched =
            serving::fetch_map(&inner.peers, &inner.clock, from.gate, &service, &inner.maps).await;
        match fetched {
            Ok(()) => log::debug!(service = &*service, version; "range map taken from a peer"),
            Err(err) => {
                log::warn!(peer = &*from.name, service = &*service;
                    "a newer range map was not fetched: {err}");
            }
        }
    }
}

/// Stands for the configuration among what is being fetched; no service has
/// this name.
const CONFIG: &str = "";

/// What is being fetched now. While one answer is awaited the heartbeats of all
/// other nodes tell of the same newer version.
#[derive(Clone, Default)]
pub(crate) struct ActiveFetches(Arc<Mutex<BTreeSet<String>>>);

/// A fetch under way; dropping it lets the next one begin.
struct Fetching {
    all: ActiveFetches,
    what: String,
}

impl ActiveFetches {
    /// Begins a fetch unless one of the same thing is under way.
    fn begin(&self, what: &str) -> Option<Fetching> {
        self.lock().insert(what.to_owned()).then(|| Fetching {
            all: self.clone(),
            what: what.to_owned(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Fetching {
    fn drop(&mut self) {
        self.all.lock().remove(&self.what);
    }
}
