//! `ibiscove import`: makes an inventory from an asset register's CSV export.

use crate::cli::CliError;
use crate::output::{Output, read_file};
use crate::settings::Settings;
use ibiscove_config::import::{ImportOutcome, import};

pub(crate) const HELP: &str = "\
Makes an inventory from an asset register's CSV export. The inventory goes to
--to or, without it, to standard output; the report of what was skipped and why
goes to standard error, or with --output json to standard output. Columns are
listed in docs/inventory.md.

Usage: ibiscove import FILE [FLAGS]

Flags:
  --to FILE           where to write the inventory; an existing file is kept
  --dry-run           only report
  --output text|json  how to print the report [text]
";

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let to: Option<String> = settings.optional("--to", "a file")?;
    let dry_run = settings.switch("--dry-run");
    let output = Output::from_settings(&mut settings)?;
    let path = settings.positional("FILE")?;
    settings.finish()?;
    let imported = import(&read_file(&path)?).map_err(CliError::failed)?;
    let text = imported.to_toml().map_err(CliError::failed)?;
    print_report(&imported, output)?;
    match to {
        _ if dry_run => Ok(()),
        Some(to) => write_new(&to, &text),
        None if output == Output::Text => {
            print!("{text}");
            Ok(())
        }
        None => Ok(()),
    }
}

fn print_report(imported: &ImportOutcome, output: Output) -> Result<(), CliError> {
    if output == Output::Json {
        output.print(imported, |_| Vec::new());
        return Ok(());
    }
    eprintln!(
        "{} rows taken, {} skipped",
        imported.taken,
        imported.skipped.len()
    );
    for skipped in &imported.skipped {
        eprintln!(
            "line {}: {}: {}",
            skipped.line, skipped.asset, skipped.reason
        );
    }
    for finding in imported.findings("inventory").map_err(CliError::failed)? {
        eprintln!("{finding}");
    }
    Ok(())
}

/// Writes a file that must not exist yet.
fn write_new(path: &str, text: &str) -> Result<(), CliError> {
    use std::io::Write;
    let file = std::fs::File::create_new(path);
    let result = file.and_then(|mut file| file.write_all(text.as_bytes()));
    result.map_err(|err| CliError::failed(format!("{path}: {err}")))
}
