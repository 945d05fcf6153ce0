//! `ibiscove owner`: shows which node owns a key.

use crate::cli::CliError;
use crate::operator::{FLAGS_HELP, OperatorClient};
use crate::output::Output;
use crate::settings::Settings;
use ibiscove_node::operators::{KeyOwner, OwnerQuery};
use std::sync::LazyLock;

pub(crate) static HELP: LazyLock<String> = LazyLock::new(|| {
    format!(
        "\
Shows which node owns a key of a divided service. The key is given as it stands
in requests, in a path with its escapes.

Usage: ibiscove owner SERVICE KEY [FLAGS]

Flags:{FLAGS_HELP}"
    )
});

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let operator = OperatorClient::from_settings(&mut settings)?;
    let output = Output::from_settings(&mut settings)?;
    let service = settings.positional("SERVICE")?;
    let key = settings.positional("KEY")?;
    settings.finish()?;
    let query = OwnerQuery { service, key };
    let owner: KeyOwner = smol::block_on(operator.post("owner", &query))?;
    output.print(&owner, |owner| vec![format_owner(owner)]);
    Ok(())
}

fn format_owner(key_owner: &KeyOwner) -> String {
    match &key_owner.owner {
        Some(owner) => format!(
            "slot {}: {} in {}, {}, fence {}",
            key_owner.slot, owner.name, owner.data_centre, owner.caller_addr, owner.fence
        ),
        None => format!("slot {}: no owner", key_owner.slot),
    }
}
