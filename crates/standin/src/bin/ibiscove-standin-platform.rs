//! An in-memory platform over HTTP, for running nodes as processes by hand.
//!
//! Exits after a fixed time, so that a forgotten process does not keep running.

use ibiscove_store::MemoryPlatform;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "\
Serves the platform's table and objects over HTTP, from memory.

Usage: ibiscove-standin-platform [FLAGS]

  --listen IP:PORT   where nodes reach it [127.0.0.1:7400]
  --seconds N        ends after this long [600]
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("ibiscove-standin-platform: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let default_addr = SocketAddr::from(([127, 0, 0, 1], 7400));
    let addr = args.opt_value_from_str("--listen")?.unwrap_or(default_addr);
    let seconds = args.opt_value_from_str("--seconds")?.unwrap_or(600);
    if let Some(unknown) = args.finish().first() {
        return Err(format!("unknown argument {unknown:?}; see --help").into());
    }
    let listener = TcpListener::bind(addr)?;
    println!("listening on {}", listener.local_addr()?);
    let stopper = ibiscove_standin::platform::serve(listener, MemoryPlatform::default())?;
    smol::block_on(smol::Timer::after(Duration::from_secs(seconds)));
    stopper.stop();
    Ok(())
}
