//! `ibiscove diff`: shows the differences between two versions.

use crate::cli::CliError;
use crate::operator::{FLAGS_HELP, OperatorClient};
use crate::output::{Output, display_lines, read_file};
use crate::settings::Settings;
use ibiscove_config::change::ConfigKind;
use ibiscove_config::{Change, Inventory, Rules, diff};
use std::sync::LazyLock;

pub(crate) static HELP: LazyLock<String> = LazyLock::new(|| {
    format!(
        "\
Shows what differs between two files, or from the version in force to a file.

Usage: ibiscove diff inventory|rules [FROM] TO [FLAGS]

Flags:{FLAGS_HELP}"
    )
});

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let output = Output::from_settings(&mut settings)?;
    let operator = OperatorClient::from_settings(&mut settings);
    let kind = take_kind(&mut settings)?;
    let first = settings.positional("TO")?;
    let second = settings.positional("TO").ok();
    settings.finish()?;
    let (before, after) = match second {
        Some(second) => (read_file(&first)?, read_file(&second)?),
        None => (
            smol::block_on(text_in_force(&operator?, kind))?,
            read_file(&first)?,
        ),
    };
    let changes = diff_texts(kind, &before, &after)?;
    output.print(&changes, |changes| display_lines(changes));
    Ok(())
}

/// Takes the positional argument that selects the inventory or the rules.
pub(crate) fn take_kind(settings: &mut Settings) -> Result<ConfigKind, CliError> {
    let text = settings.positional("inventory or rules")?;
    text.parse()
        .map_err(|err: ibiscove_config::change::UnknownKind| CliError::Usage(err.to_string()))
}

/// Returns the text in force; empty before the first version.
async fn text_in_force(operator: &OperatorClient, kind: ConfigKind) -> Result<String, CliError> {
    let current = operator.version_in_force(kind).await?;
    Ok(current.map_or_else(String::new, |current| current.body))
}

fn diff_texts(kind: ConfigKind, before: &str, after: &str) -> Result<Vec<Change>, CliError> {
    match kind {
        ConfigKind::Inventory => {
            let before = Inventory::parse(before).map_err(CliError::failed)?;
            Ok(diff(
                &before,
                &Inventory::parse(after).map_err(CliError::failed)?,
            ))
        }
        ConfigKind::Rules => {
            let before = Rules::parse(before).map_err(CliError::failed)?;
            Ok(diff(
                &before,
                &Rules::parse(after).map_err(CliError::failed)?,
            ))
        }
    }
}
