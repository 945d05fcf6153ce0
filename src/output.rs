//! Output of commands: text for people, JSON for scripts.

use crate::cli::CliError;
use crate::settings::Settings;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// Format of a command's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    Text,
    Json,
}

impl FromStr for Output {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "text" => Ok(Output::Text),
            "json" => Ok(Output::Json),
            _ => Err(()),
        }
    }
}

impl fmt::Display for Output {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Output::Text => "text",
            Output::Json => "json",
        })
    }
}

impl Output {
    /// Reads `--output`.
    pub(crate) fn from_settings(settings: &mut Settings) -> Result<Self, CliError> {
        settings.value("--output", Output::Text, "text or json")
    }

    /// Prints a value as JSON, or as the lines that `to_lines` returns.
    pub(crate) fn print<T: Serialize>(self, value: &T, to_lines: impl FnOnce(&T) -> Vec<String>) {
        match self {
            Output::Json => {
                let json =
                    serde_json::to_string_pretty(value).expect("plain data can be serialised");
                println!("{json}");
            }
            Output::Text => to_lines(value).iter().for_each(|line| println!("{line}")),
        }
    }
}

/// Returns each value's `Display` text as a line.
pub(crate) fn display_lines(values: &[impl fmt::Display]) -> Vec<String> {
    values.iter().map(ToString::to_string).collect()
}

/// Reads a file named on the command line.
pub(crate) fn read_file(path: &str) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|err| CliError::failed(format!("{path}: {err}")))
}
