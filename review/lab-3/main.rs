//! Runs one case of the review against the project's own program.
//!
//! `review-lab-3 CASE FOLDER BINARY`: exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod http;
mod json;
mod store;
mod sys;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, out, binary] = &args[..] else {
        eprintln!("usage: review-lab-3 CASE FOLDER BINARY");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temp = std::env::temp_dir().join(format!("review-lab-3-{}", std::process::id()));
    let ends_processes = world::EndsProcesses;
    let result = std::fs::create_dir_all(&temp).and_then(|()| {
        cases::run(
            case,
            &PathBuf::from(out),
            &temp,
            &PathBuf::from(binary),
            is_troubled,
        )
    });
    drop(ends_processes);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temp);
    } else {
        eprintln!("logs stay in {}", temp.display());
    }
    match result {
        Ok(true) => {
            println!("{case}: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Err(err) => {
            println!("{case}: the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}
