//! An upstream that announces itself to a node, for running nodes as processes by
//! hand.
//!
//! Exits after a fixed time, so that a forgotten process does not keep running.

use ibiscove_standin::{Upstream, UpstreamSettings};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "\
Runs an upstream on a free loopback port and announces it to a node.

Usage: ibiscove-standin-upstream --node IP:PORT --service NAME [FLAGS]

  --node IP:PORT      the node's address for its upstream
  --service NAME      the service it belongs to
  --name NAME         its name, which its answers carry [upstream]
  --concurrency N     requests it works on at a time [12]
  --connections N     connections it accepts [130]
  --no-fences         it does not check fences
  --service-ms N      time that a request takes [0]
  --seconds N         ends after this long [600]
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("ibiscove-standin-upstream: {err}");
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
    let node: SocketAddr = args.value_from_str("--node")?;
    let seconds = args.opt_value_from_str("--seconds")?.unwrap_or(600);
    let settings = parse_settings(&mut args)?;
    if let Some(unknown) = args.finish().first() {
        return Err(format!("unknown argument {unknown:?}; see --help").into());
    }
    smol::block_on(async {
        let upstream = Upstream::start(settings)?;
        upstream.announce(node).await?;
        println!("announced {} to {node}", upstream.spec().addr);
        smol::Timer::after(Duration::from_secs(seconds)).await;
        upstream.stop();
        Ok(())
    })
}

fn parse_settings(args: &mut pico_args::Arguments) -> Result<UpstreamSettings, pico_args::Error> {
    let service: String = args.value_from_str("--service")?;
    let name: Option<String> = args.opt_value_from_str("--name")?;
    let service_ms = args.opt_value_from_str("--service-ms")?.unwrap_or(0);
    let mut settings = UpstreamSettings {
        service: service.into(),
        checks_fences: !args.contains("--no-fences"),
        service_time: Duration::from_millis(service_ms),
        ..Default::default()
    };
    settings.name = name.unwrap_or(settings.name);
    settings.concurrency = args
        .opt_value_from_str("--concurrency")?
        .unwrap_or(settings.concurrency);
    settings.connections = args
        .opt_value_from_str("--connections")?
        .unwrap_or(settings.connections);
    Ok(settings)
}
