//! Stand-ins of an independent review: the platform's store, endpoints and clients on
//! loopback addresses, around real processes of `ibiscove serve`.
//!
//! Usage: stand-in-3 CASE RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if
//! the case could not run.

mod cluster;
mod endpoint;
mod http;
mod json;
mod late_grant;
mod memory;
mod record;
mod store;

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

/// Returns a new temporary folder.
pub fn temporary_dir() -> std::io::Result<PathBuf> {
    let dir = std::env::temp_dir().join(format!("stand-in-3-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = args.as_slice() else {
        eprintln!("usage: stand-in-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let result = match case.as_str() {
        "late-grant" => late_grant::run(Path::new(record)),
        "memory" => memory::run(Path::new(record)),
        _ => {
            eprintln!("there is no case {case:?}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}
