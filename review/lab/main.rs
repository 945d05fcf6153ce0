//! Stand-ins and scenarios of the review's scripts. Standard library only: built by
//! `review/build.sh`, started by each `run.sh` with the name of its scenario.

mod client;
mod cluster;
mod endpoint;
mod http;
mod json;
mod keyed;
mod link;
mod record;
mod scenarios;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(scenario), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: lab SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match scenarios::run(scenario, folder, trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}
