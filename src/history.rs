//! `ibiscove history`: lists the accepted versions.

use crate::cli::CliError;
use crate::diff::take_kind;
use crate::operator::{FLAGS_HELP, OperatorClient};
use crate::output::Output;
use crate::settings::Settings;
use ibiscove_config::change::VersionInfo;
use std::sync::LazyLock;

pub(crate) static HELP: LazyLock<String> = LazyLock::new(|| {
    format!(
        "\
Lists the accepted versions, newest first.

Usage: ibiscove history inventory|rules [FLAGS]

Flags:
  --limit N              how many to list [20]{FLAGS_HELP}"
    )
});

/// Largest value of `--limit`.
const MAX_LIMIT: u64 = 1_000;

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let limit = settings.number("--limit", 20, 1..=MAX_LIMIT)?;
    let operator = OperatorClient::from_settings(&mut settings)?;
    let output = Output::from_settings(&mut settings)?;
    let kind = take_kind(&mut settings)?;
    settings.finish()?;
    let path = format!("config/{kind}/history?limit={limit}");
    let history: Vec<VersionInfo> = smol::block_on(operator.get(&path))?;
    output.print(&history, |history| {
        history.iter().map(format_version).collect()
    });
    Ok(())
}

fn format_version(version: &VersionInfo) -> String {
    format!(
        "{:6}  {}  {}  accepted at {} ms",
        version.version,
        &version.digest[..12.min(version.digest.len())],
        version.author,
        version.accepted_ms
    )
}
