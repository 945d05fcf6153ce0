//! `ibiscove rollback`: puts an older version in force again.

use crate::apply::{CHANGE_FLAGS_HELP, ChangeFlags};
use crate::cli::CliError;
use crate::diff::take_kind;
use crate::operator::FLAGS_HELP;
use crate::settings::Settings;
use ibiscove_config::change::VersionBody;
use std::sync::LazyLock;

pub(crate) static HELP: LazyLock<String> = LazyLock::new(|| {
    format!(
        "\
Puts the text of an older version in force again, as a new version.

Usage: ibiscove rollback inventory|rules --to VERSION --expect VERSION [FLAGS]

Flags:
  --to VERSION           the version whose text is wanted
  --expect VERSION       the version in force
{CHANGE_FLAGS_HELP}{FLAGS_HELP}"
    )
});

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let to: Option<u64> = settings.optional("--to", "a version, such as 7")?;
    let to = to.ok_or_else(|| CliError::Usage("--to is missing".to_owned()))?;
    let flags = ChangeFlags::from_settings(&mut settings)?;
    let kind = take_kind(&mut settings)?;
    settings.finish()?;
    smol::block_on(async {
        let path = format!("config/{kind}?version={to}");
        let older: VersionBody = flags.operator.get(&path).await?;
        flags.apply(kind, older.body).await
    })
}
