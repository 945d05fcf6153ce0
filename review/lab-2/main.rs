//! Stand-ins and courses of events for the cases of the second review. The first
//! argument names the course, the second the file that takes the record.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod client;
mod cluster;
mod endpoint;
mod http;
mod json;
mod leaving;
mod node;
mod record;
mod slow;
mod store;
mod withdrawn;

use std::process::ExitCode;

/// How a course of events ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, course, record] = &args[..] else {
        eprintln!("usage: lab COURSE RECORD");
        return ExitCode::from(2);
    };
    let is_disrupted = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match &**course {
        "leaving" => leaving::play(record, is_disrupted),
        "slow" => slow::play(record, is_disrupted),
        "withdrawn" => withdrawn::play(record, is_disrupted),
        _ => Verdict::NotRun(format!("no course is named {course}")),
    };
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::FAILURE,
        Verdict::NotRun(why) => {
            eprintln!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}
