//! Settings of the subcommands, from flags and environment variables.
//!
//! Each setting has a flag and an environment variable named after it
//! (`--lease-ms`, `IBISCOVE_LEASE_MS`). The flag takes precedence over the
//! variable, and the variable over the default; the value's source is recorded.
//! Secrets are read from the environment only and never printed. See
//! `docs/cli.md`.

use crate::cli::CliError;
use std::ffi::OsString;
use std::fmt::{self, Display};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

/// Prefix of the environment variables.
const VARIABLE_PREFIX: &str = "IBISCOVE_";

/// Source of a setting's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Flag,
    Environment,
    Default,
}

impl Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Source::Flag => "flag",
            Source::Environment => "environment",
            Source::Default => "default",
        })
    }
}

/// A setting as `--print-settings` prints it.
struct RecordedSetting {
    name: String,
    value: String,
    source: Source,
}

/// Settings of one command line. Each call takes one setting's arguments.
pub(crate) struct Settings {
    args: pico_args::Arguments,
    recorded: Vec<RecordedSetting>,
}

impl Settings {
    /// Creates settings from the arguments after the subcommand.
    pub(crate) fn new(args: pico_args::Arguments) -> Self {
        Self {
            args,
            recorded: Vec::new(),
        }
    }

    /// Returns whether a flag without a value is given.
    pub(crate) fn switch(&mut self, flag: &'static str) -> bool {
        self.args.contains(flag)
    }

    /// Returns a setting that has a default. `expected` describes a valid value
    /// in error messages, such as "IP:PORT".
    pub(crate) fn value<T: FromStr + Display>(
        &mut self,
        flag: &'static str,
        default: T,
        expected: &str,
    ) -> Result<T, CliError> {
        let (value, source) = match self.unparsed_value(flag)? {
            Some((text, source)) => (parse_value(flag, source, &text, expected)?, source),
            None => (default, Source::Default),
        };
        self.record(flag, value.to_string(), source);
        Ok(value)
    }

    /// Returns a setting that may be absent.
    pub(crate) fn optional<T: FromStr + Display>(
        &mut self,
        flag: &'static str,
        expected: &str,
    ) -> Result<Option<T>, CliError> {
        let Some((text, source)) = self.unparsed_value(flag)? else {
            self.record(flag, "not set".to_owned(), Source::Default);
            return Ok(None);
        };
        let value: T = parse_value(flag, source, &text, expected)?;
        self.record(flag, value.to_string(), source);
        Ok(Some(value))
    }

    /// Returns a whole number within bounds.
    pub(crate) fn number(
        &mut self,
        flag: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<u64, CliError> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let value = self.value(flag, default, &expected)?;
        if range.contains(&value) {
            return Ok(value);
        }
        Err(CliError::Usage(format!(
            "{flag} takes {expected}, not {value}"
        )))
    }

    /// Returns a time in milliseconds within bounds; the flag ends in `-ms`.
    pub(crate) fn millis(
        &mut self,
        flag: &'static str,
        default: Duration,
        range: RangeInclusive<u64>,
    ) -> Result<Duration, CliError> {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        self.number(flag, default, range).map(Duration::from_millis)
    }

    /// Returns a secret from the environment; none when unset or empty.
    pub(crate) fn secret(&mut self, variable: &'static str) -> Option<String> {
        let secret = std::env::var(variable).ok().filter(|text| !text.is_empty());
        let (value, source) = match secret {
            Some(_) => ("set", Source::Environment),
            None => ("not set", Source::Default),
        };
        self.recorded.push(RecordedSetting {
            name: variable.to_owned(),
            value: value.to_owned(),
            source,
        });
        secret
    }

    /// Returns the next positional argument. All flags must be taken before.
    pub(crate) fn positional(&mut self, name: &str) -> Result<String, CliError> {
        let arg: Option<String> = self.args.opt_free_from_str()?;
        arg.filter(|text| !text.starts_with('-'))
            .ok_or_else(|| CliError::Usage(format!("{name} is missing")))
    }

    /// Refuses arguments that are left over.
    pub(crate) fn finish(self) -> Result<(), CliError> {
        match self.args.finish().first() {
            Some(rest) => Err(CliError::Usage(unexpected_argument(rest))),
            None => Ok(()),
        }
    }

    /// Formats the settings taken so far, one a line: name, source and value.
    pub(crate) fn to_table(&self) -> String {
        let width = self
            .recorded
            .iter()
            .map(|s| s.name.len())
            .max()
            .unwrap_or(0);
        let lines = self.recorded.iter().map(|setting| {
            let RecordedSetting {
                name,
                value,
                source,
            } = setting;
            format!("{name:width$}  {source:11}  {value}\n")
        });
        lines.collect()
    }

    /// Returns a flag's unparsed value and its source; none if it is not set.
    fn unparsed_value(&mut self, flag: &'static str) -> Result<Option<(String, Source)>, CliError> {
        let text: Option<String> = self
            .args
            .opt_value_from_str(flag)
            .map_err(|_| CliError::Usage(format!("{flag} needs a value, as in {flag} VALUE")))?;
        if let Some(text) = text {
            self.refuse_duplicate(flag)?;
            return Ok(Some((text, Source::Flag)));
        }
        let text = std::env::var(variable_name(flag)).ok();
        Ok(text.map(|text| (text, Source::Environment)))
    }

    /// Refuses a flag given twice, even with equal values.
    fn refuse_duplicate(&mut self, flag: &'static str) -> Result<(), CliError> {
        match self.args.opt_value_from_str::<_, String>(flag) {
            Ok(None) => Ok(()),
            _ => Err(CliError::Usage(format!("{flag} is given twice"))),
        }
    }

    fn record(&mut self, flag: &str, value: String, source: Source) {
        self.recorded.push(RecordedSetting {
            name: flag.to_owned(),
            value,
            source,
        });
    }
}

/// Returns the name of a flag's environment variable.
fn variable_name(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_");
    format!("{VARIABLE_PREFIX}{}", name.to_uppercase())
}

fn parse_value<T: FromStr>(
    flag: &'static str,
    source: Source,
    text: &str,
    expected: &str,
) -> Result<T, CliError> {
    text.parse().map_err(|_| {
        let source_name = match source {
            Source::Environment => format!("{flag} (from {})", variable_name(flag)),
            _ => flag.to_owned(),
        };
        CliError::Usage(format!("{source_name} takes {expected}, not {text:?}"))
    })
}

fn unexpected_argument(rest: &OsString) -> String {
    let rest = rest.to_string_lossy();
    if rest.starts_with('-') {
        format!("unknown flag {rest}; see this command's --help")
    } else {
        format!("unexpected argument {rest:?}; see this command's --help")
    }
}
