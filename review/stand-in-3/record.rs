//! What was sent, run and answered.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Whole, with this status.
    Answer(u16),
    /// The connection ended without a complete answer.
    Cut(String),
    /// The client's deadline passed.
    Deadline,
}

/// One client attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub node: String,
    /// When its last byte was written.
    pub sent: Duration,
    pub deadline: Duration,
    pub end: Option<(Duration, End)>,
    /// When an endpoint began to run it, and its id.
    pub ran: Vec<(Duration, String)>,
    /// When the endpoint ended its work.
    pub ended: Option<Duration>,
}

/// The record of a run. Clones share it.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    inner: Arc<Mutex<Inner>>,
}

/// What an endpoint holds, or held until an end.
#[derive(Clone, Debug)]
pub struct Hold {
    pub endpoint: String,
    pub first: u16,
    pub last: u16,
    pub fence: u64,
    pub from: Duration,
    pub until: Duration,
}

#[derive(Default)]
struct Inner {
    holds: Vec<Hold>,
    attempts: BTreeMap<String, Attempt>,
    events: Vec<(Duration, String)>,
}

impl Inner {
    /// Ends what an endpoint holds of some keys; other keys of the same hold are held on.
    fn end_holds(&mut self, endpoint: &str, (first, last): (u16, u16), now: Duration) {
        let mut rest = Vec::new();
        for hold in &mut self.holds {
            let overlaps = hold.first <= last && first <= hold.last;
            if hold.endpoint != endpoint || !overlaps || hold.until <= now {
                continue;
            }
            if hold.first < first {
                rest.push(Hold {
                    last: first - 1,
                    ..hold.clone()
                });
            }
            if last < hold.last {
                rest.push(Hold {
                    first: last + 1,
                    ..hold.clone()
                });
            }
            hold.first = hold.first.max(first);
            hold.last = hold.last.min(last);
            hold.until = now;
        }
        self.holds.append(&mut rest);
    }
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            inner: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn event(&self, text: &str) -> Duration {
        let now = self.now();
        println!("{:8.3} {text}", now.as_secs_f64());
        self.inner
            .lock()
            .unwrap()
            .events
            .push((now, text.to_owned()));
        now
    }

    pub fn sent(&self, id: &str, node: &str, deadline: Duration) {
        let attempt = Attempt {
            node: node.to_owned(),
            sent: self.now(),
            deadline,
            end: None,
            ran: Vec::new(),
            ended: None,
        };
        self.inner
            .lock()
            .unwrap()
            .attempts
            .insert(id.to_owned(), attempt);
    }

    pub fn answered(&self, id: &str, end: End) {
        let now = self.now();
        if let Some(attempt) = self.inner.lock().unwrap().attempts.get_mut(id) {
            attempt.end = Some((now, end));
        }
    }

    pub fn ran(&self, id: &str, endpoint: &str) {
        let now = self.now();
        if let Some(attempt) = self.inner.lock().unwrap().attempts.get_mut(id) {
            attempt.ran.push((now, endpoint.to_owned()));
        }
    }

    pub fn ended(&self, id: &str) {
        let now = self.now();
        if let Some(attempt) = self.inner.lock().unwrap().attempts.get_mut(id) {
            attempt.ended = Some(now);
        }
    }

    /// Records that an endpoint has taken keys.
    pub fn took(&self, endpoint: &str, keys: (u16, u16), fence: u64, until: Instant) {
        let now = self.now();
        let until = until.saturating_duration_since(self.began);
        let (first, last) = keys;
        let left = until.saturating_sub(now).as_secs_f64();
        let text = format!("{endpoint} takes {first}-{last}, fence {fence}, for {left:.3} s");
        let mut inner = self.inner.lock().unwrap();
        inner.events.push((now, text));
        let renewed = inner.holds.iter_mut().find(|hold| {
            let is_same = (hold.first, hold.last, hold.fence) == (first, last, fence);
            is_same && hold.endpoint == endpoint && hold.until > now
        });
        if let Some(renewed) = renewed {
            renewed.until = until;
            return;
        }
        inner.end_holds(endpoint, keys, now);
        inner.holds.push(Hold {
            endpoint: endpoint.to_owned(),
            first,
            last,
            fence,
            from: now,
            until,
        });
    }

    /// Records that an endpoint has released keys.
    pub fn let_go(&self, endpoint: &str, keys: (u16, u16)) {
        let now = self.now();
        let mut inner = self.inner.lock().unwrap();
        let text = format!("{endpoint} has let go {}-{}", keys.0, keys.1);
        inner.events.push((now, text));
        inner.end_holds(endpoint, keys, now);
    }

    /// Records that the process of an endpoint has ended, and with it all that it held.
    pub fn ended_process(&self, endpoint: &str) {
        let now = self.event(&format!("{endpoint} has ended"));
        let mut inner = self.inner.lock().unwrap();
        let held = inner.holds.iter_mut();
        for hold in held.filter(|hold| hold.endpoint == endpoint) {
            hold.until = hold.until.min(now);
        }
    }

    pub fn holds(&self) -> Vec<Hold> {
        self.inner.lock().unwrap().holds.clone()
    }

    /// Returns how many requests were answered with a status.
    pub fn count_answered(&self, status: u16) -> usize {
        let attempts = self.attempts();
        let is_it = |a: &&Attempt| matches!(&a.end, Some((_, End::Answer(s))) if *s == status);
        attempts.values().filter(is_it).count()
    }

    pub fn attempts(&self) -> BTreeMap<String, Attempt> {
        self.inner.lock().unwrap().attempts.clone()
    }

    /// Returns the record as text.
    pub fn text(&self) -> String {
        let inner = self.inner.lock().unwrap();
        let mut lines: Vec<(Duration, String)> = inner.events.clone();
        for (id, attempt) in &inner.attempts {
            let Attempt { node, deadline, .. } = attempt;
            let deadline = deadline.as_millis();
            let text = format!("request {id} sent to {node}, deadline {deadline} ms");
            lines.push((attempt.sent, text));
            for (at, endpoint) in &attempt.ran {
                lines.push((*at, format!("request {id} runs at {endpoint}")));
            }
            if let Some(at) = attempt.ended {
                lines.push((at, format!("request {id} has run")));
            }
            if let Some((at, end)) = &attempt.end {
                lines.push((*at, format!("request {id} ends for its client: {end:?}")));
            }
        }
        lines.sort();
        let mut out = String::new();
        for (at, line) in lines {
            let _ = writeln!(out, "{:8.3} {line}", at.as_secs_f64());
        }
        out
    }
}
