//! Stand-ins of an independent review: the platform's store, endpoints and clients on
//! loopback addresses, around real processes of `ibiscove serve`.
//!
//! Usage: stand-in-3 CASE RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if
//! the case could not run.

mod clock_back;
mod cluster;
mod early_life;
mod endpoint;
mod http;
mod json;
mod late_grant;
mod late_report;
mod memory;
mod record;
mod store;
mod till;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Whether the disruption of the case takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the program of the deploy file.
pub fn binary() -> Option<PathBuf> {
    let path = Path::new("target/release/ibiscove");
    path.exists().then(|| path.to_owned())
}

fn temporary_path() -> PathBuf {
    std::env::temp_dir().join(format!("stand-in-3-{}", std::process::id()))
}

/// Returns a new temporary folder, which is removed at the end.
pub fn temporary_dir() -> std::io::Result<PathBuf> {
    let dir = temporary_path();
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = args.as_slice() else {
        eprintln!("usage: stand-in-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let run = || match case.as_str() {
        "clock-back" => clock_back::run(Path::new(record)),
        "early-life" => early_life::run(Path::new(record)),
        "late-report" => late_report::run(Path::new(record)),
        "late-grant" => late_grant::run(Path::new(record)),
        "memory" => memory::run(Path::new(record)),
        _ => Err(std::io::Error::other(format!("there is no case {case:?}"))),
    };
    let result = std::panic::catch_unwind(run);
    cluster::Children::end_all();
    let _ = std::fs::remove_dir_all(temporary_path());
    let result = result.unwrap_or_else(|_| Err(std::io::Error::other("the stand-ins failed")));
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}
