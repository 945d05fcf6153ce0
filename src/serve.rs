//! `ibiscove serve`: runs a node on the users' platform until SIGTERM or SIGINT.

use crate::cli::CliError;
use crate::settings::Settings;
use async_signal::{Signal, Signals};
use ibiscove_logging::{self as logging, Output};
use ibiscove_platform::node;
use ibiscove_platform::settings::{PATH_VARIABLE, Settings as PlatformSettings};
use smol::stream::StreamExt;
use std::sync::LazyLock;

pub(crate) static HELP: LazyLock<String> = LazyLock::new(|| {
    format!(
        "\
Runs a node on the platform, until SIGTERM or SIGINT; SIGHUP reads the settings
file again. Log lines go to standard output.

Usage: ibiscove serve [FLAGS]

  --log-level LEVEL         off, error, warn, info, debug or trace [info]
  --metrics-port PORT       where metrics are served, on the address of the
                            settings [second of their port range]

The settings file is named by {PATH_VARIABLE}; docs/platform.md lists its fields.
"
    )
});

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let level = settings.value(
        "--log-level",
        log::LevelFilter::Info,
        "off, error, warn, info, debug or trace",
    )?;
    let metrics_port: Option<u16> = settings.optional("--metrics-port", "a port")?;
    settings.finish()?;
    let mut platform = PlatformSettings::load().map_err(CliError::failed)?;
    if let (Some(addr), Some(port)) = (&mut platform.router.addrs.metrics, metrics_port) {
        addr.set_port(port);
    }
    logging::init(level, Output::Stdout).map_err(CliError::failed)?;
    smol::block_on(async {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
        let signals = signals.map_err(CliError::failed)?;
        let result = node::run(platform, wait_for_stop(signals)).await;
        result.map_err(CliError::failed)
    })
}

/// Completes at SIGTERM or SIGINT. At SIGHUP the settings file is only
/// validated; its changes take effect at the next start.
async fn wait_for_stop(mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => match PlatformSettings::load() {
                Ok(_) => log::info!("settings file read again; it is valid"),
                Err(err) => log::error!("the settings stay as they are: {err}"),
            },
            Ok(signal) => {
                log::info!(signal:? = signal; "asked to stop");
                return;
            }
            Err(err) => log::error!("a signal could not be received: {err}"),
        }
    }
}
