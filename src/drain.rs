//! `ibiscove drain`: hands a node's slots over to other nodes.

use crate::cli::CliError;
use crate::operator::{FLAGS_HELP, OperatorClient};
use crate::output::Output;
use crate::settings::Settings;
use ibiscove_node::operators::DrainResponse;
use std::sync::LazyLock;

pub(crate) static HELP: LazyLock<String> = LazyLock::new(|| {
    format!(
        "\
Makes the node at the admin address give up its slots: it takes no new work for
its upstream, lets requests in flight end, and goes on as an entry.

Usage: ibiscove drain [FLAGS]

Flags:
  --dry-run              only say how many slots would move
  --force                drain it even if it is the last of its service{FLAGS_HELP}"
    )
});

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let dry_run = settings.switch("--dry-run");
    let force = settings.switch("--force");
    let operator = OperatorClient::from_settings(&mut settings)?;
    let output = Output::from_settings(&mut settings)?;
    settings.finish()?;
    let path = format!("drain?dry_run={dry_run}&force={force}");
    let response: DrainResponse = smol::block_on(operator.post(&path, &()))?;
    output.print(&response, |response| vec![format_drain(response)]);
    Ok(())
}

fn format_drain(response: &DrainResponse) -> String {
    let verb = match response.started {
        true => "gives up",
        false => "would give up",
    };
    format!("{} {verb} {} slots", response.node, response.slots)
}
