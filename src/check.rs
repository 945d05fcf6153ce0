//! `ibiscove check`: validates inventory and rules files offline.

use crate::cli::CliError;
use crate::output::{Output, display_lines, read_file};
use crate::settings::Settings;
use ibiscove_config::{Finding, check_inventory, check_rules, has_errors};

pub(crate) const HELP: &str = "\
Looks for mistakes in inventory and rules, without asking any node. Each is
printed with its file, line, field and remedy. Fails if any is an error.

Usage: ibiscove check [--inventory FILE] [--rules FILE] [FLAGS]

Flags:
  --inventory FILE    the inventory
  --rules FILE        the rules, checked against the inventory if it is given
  --output text|json  how to print [text]
";

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let inventory: Option<String> = settings.optional("--inventory", "a file")?;
    let rules: Option<String> = settings.optional("--rules", "a file")?;
    let output = Output::from_settings(&mut settings)?;
    settings.finish()?;
    if inventory.is_none() && rules.is_none() {
        return Err(CliError::Usage(
            "give --inventory, --rules or both".to_owned(),
        ));
    }
    let findings = check_files(inventory.as_deref(), rules.as_deref())?;
    output.print(&findings, |findings| display_lines(findings));
    match has_errors(&findings) {
        true => Err(CliError::Failed("errors were found".to_owned())),
        false => Ok(()),
    }
}

fn check_files(
    inventory_path: Option<&str>,
    rules_path: Option<&str>,
) -> Result<Vec<Finding>, CliError> {
    let mut findings = Vec::new();
    let mut checked_inventory = None;
    if let Some(path) = inventory_path {
        let (inventory, inventory_findings) = check_inventory(path, &read_file(path)?);
        checked_inventory = inventory;
        findings.extend(inventory_findings);
    }
    if let Some(path) = rules_path {
        findings.extend(check_rules(path, &read_file(path)?, checked_inventory.as_ref()).1);
    }
    Ok(findings)
}
