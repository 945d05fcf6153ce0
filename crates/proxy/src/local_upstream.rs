//! The upstream beside this node, as it announced itself.

use event_listener::Event;
use ibiscove_types::{ServiceName, UpstreamLife};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What an upstream says of itself, again and again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Which upstream, and which life of it.
    pub life: UpstreamLife,
    /// Its service.
    pub service: ServiceName,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it is about to end.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
    /// Rises with each announcement of a life.
    pub sequence: u64,
}

/// When an upstream counts as gone.
#[derive(Clone, Copy, Debug)]
pub struct LocalUpstreamSettings {
    /// Silence after which an upstream that also answers no requests is gone:
    /// a little over two of its announcements.
    pub silence: Duration,
    /// Time since the last answer within which silence does not matter.
    pub answered_within: Duration,
    /// For how long a draining upstream still takes new work on the keys that
    /// it has not handed over.
    pub drain_work: Duration,
}

impl Default for LocalUpstreamSettings {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(2_200),
            answered_within: Duration::from_millis(1_000),
            drain_work: Duration::from_millis(1_000),
        }
    }
}

/// The upstream in its present state.
#[derive(Clone, Debug)]
pub struct Present {
    /// What it said last.
    pub announced: Announcement,
    /// When it said so.
    pub heard: Instant,
    /// Since when it has been draining.
    pub draining_since: Option<Instant>,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    /// It was older than what is known.
    Stale,
    /// Nothing that others act on.
    Same,
    /// The upstream is new, or began to drain.
    Changed,
}

/// The upstream beside this node. Clones share it.
#[derive(Clone)]
pub struct LocalUpstream {
    inner: Arc<Inner>,
}

struct Inner {
    settings: LocalUpstreamSettings,
    addr: SocketAddr,
    state: Mutex<State>,
    changed: Arc<Event>,
}

#[derive(Default)]
struct State {
    present: Option<Present>,
    /// The newest life that ended; older announcements of it come late.
    ended: Option<(UpstreamLife, u64)>,
    last_answer: Option<Instant>,
}

impl LocalUpstream {
    /// No upstream yet. It takes requests at `addr`; `changed` is notified of
    /// what others should know.
    pub fn new(settings: LocalUpstreamSettings, addr: SocketAddr, changed: Arc<Event>) -> Self {
        Self {
            inner: Arc::new(Inner {
                settings,
                addr,
                state: Mutex::default(),
                changed,
            }),
        }
    }

    /// Where the upstream takes requests.
    pub fn addr(&self) -> SocketAddr {
        self.inner.addr
    }

    /// The upstream, while there is one.
    pub fn present(&self) -> Option<Present> {
        self.lock().present.clone()
    }

    /// Takes an announcement.
    pub fn announce(&self, announced: Announcement, now: Instant) -> Announced {
        let mut state = self.lock();
        if let Some((life, sequence)) = &state.ended {
            let is_late = announced.life.born_ms < life.born_ms
                || (announced.life == *life && announced.sequence <= *sequence);
            if is_late {
                return Announced::Stale;
            }
        }
        let change = match &state.present {
            None => Announced::Changed,
            Some(known) => compare(&known.announced, &announced),
        };
        if change == Announced::Stale {
            return change;
        }
        let draining_since = match &state.present {
            Some(known) if known.announced.life == announced.life => {
                known.draining_since.or(announced.draining.then_some(now))
            }
            _ => announced.draining.then_some(now),
        };
        if change == Announced::Changed {
            log::info!(
                upstream = &*announced.life.id, born_ms = announced.life.born_ms,
                service = &*announced.service, draining = announced.draining,
                sequence = announced.sequence;
                "upstream announced itself"
            );
        }
        state.present = Some(Present {
            announced,
            heard: now,
            draining_since,
        });
        drop(state);
        if change == Announced::Changed {
            self.inner.changed.notify(usize::MAX);
        }
        change
    }

    /// The upstream says that it leaves: it drains, though it never said so.
    pub fn leave(&self, id: &str, now: Instant) {
        let mut state = self.lock();
        let Some(known) = state
            .present
            .as_mut()
            .filter(|known| &*known.announced.life.id == id)
        else {
            return;
        };
        known.announced.draining = true;
        known.draining_since.get_or_insert(now);
        drop(state);
        log::info!(upstream = id; "upstream leaves");
        self.inner.changed.notify(usize::MAX);
    }

    /// The upstream answered a request.
    pub fn note_answer(&self, now: Instant) {
        self.lock().last_answer = Some(now);
    }

    /// Nobody listens at the upstream's address any more: its process ended.
    /// True when it was present.
    pub fn note_refused(&self, life: &UpstreamLife) -> bool {
        self.end(life, "its address refuses connections")
    }

    /// Gives the upstream up when it has been silent for too long; true when it
    /// was present.
    pub fn check_silence(&self, now: Instant) -> bool {
        let life = {
            let state = self.lock();
            let Some(known) = &state.present else {
                return false;
            };
            let age = |at: Instant| now.saturating_duration_since(at);
            let settings = &self.inner.settings;
            let answers = state
                .last_answer
                .is_some_and(|at| age(at) < settings.answered_within);
            if answers || age(known.heard) < settings.silence {
                return false;
            }
            known.announced.life.clone()
        };
        self.end(&life, "it is silent")
    }

    fn end(&self, life: &UpstreamLife, why: &str) -> bool {
        let mut state = self.lock();
        let Some(known) = state.present.take_if(|known| known.announced.life == *life) else {
            return false;
        };
        state.ended = Some((known.announced.life, known.announced.sequence));
        drop(state);
        log::warn!(upstream = &*life.id, why = why; "upstream is gone");
        self.inner.changed.notify(usize::MAX);
        true
    }

    /// Whether the upstream takes new work, and on keys that it has not handed
    /// over.
    pub fn takes_work(&self, present: &Present, is_keyed: bool, now: Instant) -> bool {
        match present.draining_since {
            None => true,
            Some(since) => {
                let drained = now.saturating_duration_since(since);
                is_keyed && drained < self.inner.settings.drain_work
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn compare(known: &Announcement, new: &Announcement) -> Announced {
    if new.life == known.life {
        // An upstream that said that it leaves never comes back in that life.
        return match () {
            () if new.sequence <= known.sequence => Announced::Stale,
            () if known.draining && !new.draining => Announced::Stale,
            () if known.draining == new.draining => Announced::Same,
            () => Announced::Changed,
        };
    }
    match new.life.born_ms > known.life.born_ms {
        true => Announced::Changed,
        false => Announced::Stale,
    }
}
