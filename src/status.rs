//! `ibiscove status`: shows which nodes have which version.

use crate::cli::CliError;
use crate::operator::{FLAGS_HELP, LAGGING_EXIT_CODE, OperatorClient};
use crate::output::Output;
use crate::settings::Settings;
use ibiscove_node::status::{ClusterStatus, NodeStatus};
use std::sync::LazyLock;

pub(crate) static HELP: LazyLock<String> = LazyLock::new(|| {
    format!(
        "\
Shows which live nodes have which version of inventory and rules, and why those
that lag do. Exits with 6 when any lags.

Usage: ibiscove status [FLAGS]

Flags:{FLAGS_HELP}"
    )
});

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let operator = OperatorClient::from_settings(&mut settings)?;
    let output = Output::from_settings(&mut settings)?;
    settings.finish()?;
    let status: ClusterStatus = smol::block_on(operator.get("status"))?;
    output.print(&status, format_status);
    let lagging = status
        .nodes
        .iter()
        .filter(|node| node.lag.is_some())
        .count();
    if lagging == 0 {
        return Ok(());
    }
    Err(CliError::WithExitCode {
        code: LAGGING_EXIT_CODE,
        text: format!("{lagging} of {} nodes lag", status.nodes.len()),
    })
}

fn format_status(status: &ClusterStatus) -> Vec<String> {
    let mut lines = vec![format!(
        "inventory version {}, rules version {}, {} live nodes",
        status.inventory_version,
        status.rules_version,
        status.nodes.len()
    )];
    lines.extend(status.nodes.iter().map(format_node));
    lines
}

fn format_node(node: &NodeStatus) -> String {
    let number_or_unknown =
        |value: Option<u64>| value.map_or_else(|| "?".to_owned(), |v| v.to_string());
    let lag = node
        .lag
        .as_ref()
        .map_or_else(String::new, |lag| format!("  {lag}"));
    format!(
        "{} {} {} {:?} slots={} inventory={} rules={} age={}ms{lag}",
        node.name,
        node.data_centre,
        node.service.as_deref().unwrap_or("-"),
        node.state,
        node.slots,
        number_or_unknown(node.inventory_version),
        number_or_unknown(node.rules_version),
        number_or_unknown(node.age_ms),
    )
    .trim_end()
    .to_owned()
}
