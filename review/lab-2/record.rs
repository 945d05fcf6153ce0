//! What was sent, answered and run, in the order of events.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A run of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub endpoint: String,
    pub at: Instant,
}

/// What a client got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub request: String,
    /// Name of the machine that took the request.
    pub machine: String,
    pub sent_at: Instant,
    /// 0 if the connection ended without an answer.
    pub status: u16,
}

/// Keys that an endpoint held from one moment to another.
#[derive(Clone, Debug)]
pub struct Held {
    pub endpoint: String,
    pub keys: (u16, u16),
    pub fence: u64,
    pub from: Instant,
    /// When the hold ends, by its time, a release, a later grant or the endpoint's end.
    pub until: Instant,
}

struct Inner {
    started: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
    answers: Mutex<Vec<Answer>>,
    held: Mutex<Vec<Held>>,
}

#[derive(Clone)]
pub struct Record(Arc<Inner>);

impl Record {
    /// Writes to a file.
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Inner {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
            runs: Mutex::default(),
            answers: Mutex::default(),
            held: Mutex::default(),
        })))
    }

    pub fn line(&self, text: &str) {
        let at = self.0.started.elapsed().as_secs_f64();
        writeln!(self.0.file.lock().unwrap(), "{at:8.3} {text}").ok();
    }

    pub fn ran(&self, request: &str, endpoint: &str, is_leaving: bool) {
        let leaving = match is_leaving {
            true => ", which leaves",
            false => "",
        };
        self.line(&format!("run      {request} at {endpoint}{leaving}"));
        self.0.runs.lock().unwrap().push(Run {
            request: request.to_owned(),
            endpoint: endpoint.to_owned(),
            at: Instant::now(),
        });
    }

    pub fn answered(&self, answer: Answer) {
        let Answer {
            request,
            machine,
            status,
            ..
        } = &answer;
        self.line(&format!("answered {request} at {machine}: {status}"));
        self.0.answers.lock().unwrap().push(answer);
    }

    pub fn granted(&self, endpoint: &str, keys: (u16, u16), fence: u64, hold: Duration) {
        let (from, target) = keys;
        let hold_s = hold.as_secs_f64();
        self.line(&format!(
            "granted  keys {from} to {target} to {endpoint} fence {fence} for {hold_s:.2} s"
        ));
        let now = Instant::now();
        let mut all = self.0.held.lock().unwrap();
        let same = |held: &&mut Held| {
            held.endpoint == endpoint && held.keys == keys && held.fence == fence && held.until >= now
        };
        match all.iter_mut().find(same) {
            Some(renewed) => renewed.until = now + hold,
            None => all.push(Held {
                endpoint: endpoint.to_owned(),
                keys,
                fence,
                from: now,
                until: now + hold,
            }),
        }
    }

    pub fn released(&self, endpoint: &str, keys: (u16, u16)) {
        let (from, target) = keys;
        self.line(&format!("released keys {from} to {target} by {endpoint}"));
        self.cut(|held| {
            held.endpoint == endpoint && held.keys.0 <= target && from <= held.keys.1
        });
    }

    pub fn ended(&self, endpoint: &str) {
        self.line(&format!("ended    {endpoint}"));
        self.cut(|held| held.endpoint == endpoint);
    }

    fn cut(&self, concerns: impl Fn(&Held) -> bool) {
        let now = Instant::now();
        let mut all = self.0.held.lock().unwrap();
        for held in all.iter_mut().filter(|held| concerns(held) && held.until > now) {
            held.until = now;
        }
    }

    /// Returns all holds. A release of a part ends a hold as a whole here, which shows no
    /// holds that there were not.
    pub fn held(&self) -> Vec<Held> {
        self.0.held.lock().unwrap().clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    pub fn answers(&self) -> Vec<Answer> {
        self.0.answers.lock().unwrap().clone()
    }
}
