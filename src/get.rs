//! `ibiscove get`: prints a version of the inventory or the rules.

use crate::cli::CliError;
use crate::diff::take_kind;
use crate::operator::{FLAGS_HELP, OperatorClient};
use crate::output::Output;
use crate::settings::Settings;
use ibiscove_config::change::VersionBody;
use std::sync::LazyLock;

pub(crate) static HELP: LazyLock<String> = LazyLock::new(|| {
    format!(
        "\
Prints the text of the version in force, or of an earlier one. The version's
number and author go to standard error, so that the text can go to a file.

Usage: ibiscove get inventory|rules [FLAGS]

Flags:
  --version N            the version to print [the one in force]{FLAGS_HELP}"
    )
});

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let version: Option<u64> = settings.optional("--version", "a version, such as 7")?;
    let operator = OperatorClient::from_settings(&mut settings)?;
    let output = Output::from_settings(&mut settings)?;
    let kind = take_kind(&mut settings)?;
    settings.finish()?;
    let path = match version {
        Some(version) => format!("config/{kind}?version={version}"),
        None => format!("config/{kind}"),
    };
    let body: VersionBody = smol::block_on(operator.get(&path))?;
    if output == Output::Json {
        output.print(&body, |_| Vec::new());
        return Ok(());
    }
    eprintln!(
        "{kind} version {} by {}",
        body.info.version, body.info.author
    );
    print!("{}", body.body);
    Ok(())
}
