//! What was sent, answered and run, in the order of events.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

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

struct Inner {
    started: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
    answers: Mutex<Vec<Answer>>,
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

    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    pub fn answers(&self) -> Vec<Answer> {
        self.0.answers.lock().unwrap().clone()
    }
}
