//! Choice of the subcommand, and the errors that all of them share.

use crate::settings::Settings;
use crate::{
    apply, check, demo, diff, drain, explain, get, history, import, node, owner, rollback, serve,
    status,
};
use std::ffi::OsString;
use std::process::ExitCode;

const HELP: &str = "\
ibiscove: a router for servers that own keys exclusively

Usage: ibiscove COMMAND [FLAGS]

Commands:
  node    run one node beside an upstream instance
  serve   run one node on the users' platform
  demo    run the Dakar mesh on loopback for a short while

  check     look for mistakes in inventory and rules
  import    make an inventory from an asset register's CSV export
  diff      show what differs between two versions
  apply     put a new version in force
  get       print a version
  history   list the accepted versions
  rollback  put an older version in force again
  status    show which nodes have which version
  owner     show which node owns a key
  drain     make a node give up its slots
  explain   find in log files what became of a request

Flags:
  --help      print this help, or a command's own
  --version   print the version

Exit codes: 0 done, 1 failed, 2 the command line was not understood, 3 another
change came first, 4 refused or held because it would do harm, 5 not known
whether it took effect, 6 accepted and not yet in force on every node, 7 no log
line tells of what was asked.
";

/// Exit code of a command line that was not understood.
const USAGE_CODE: u8 = 2;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// The command line was not understood.
    #[error("{0}")]
    Usage(String),
    /// The command was understood and failed.
    #[error("{0}")]
    Failed(String),
    /// It failed in a way that scripts tell apart by the exit code.
    #[error("{text}")]
    Coded {
        /// The exit code.
        code: u8,
        /// What went wrong.
        text: String,
    },
}

impl CliError {
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            CliError::Usage(_) => ExitCode::from(USAGE_CODE),
            CliError::Failed(_) => ExitCode::FAILURE,
            CliError::Coded { code, .. } => ExitCode::from(*code),
        }
    }

    /// A failure of a command that was understood.
    pub(crate) fn failed(cause: impl std::fmt::Display) -> Self {
        CliError::Failed(cause.to_string())
    }
}

impl From<pico_args::Error> for CliError {
    fn from(err: pico_args::Error) -> Self {
        CliError::Usage(err.to_string())
    }
}

/// Runs the command that the arguments name.
pub(crate) fn run(args: Vec<OsString>) -> Result<(), CliError> {
    let mut args = pico_args::Arguments::from_vec(args);
    let command = args.subcommand()?;
    match command.as_deref() {
        Some("node") => command_with(node::HELP, node::run, args),
        Some("serve") => command_with(&serve::HELP, serve::run, args),
        Some("demo") => command_with(demo::HELP, demo::run, args),
        Some("check") => command_with(check::HELP, check::run, args),
        Some("import") => command_with(import::HELP, import::run, args),
        Some("diff") => command_with(&diff::HELP, diff::run, args),
        Some("apply") => command_with(&apply::HELP, apply::run, args),
        Some("get") => command_with(&get::HELP, get::run, args),
        Some("history") => command_with(&history::HELP, history::run, args),
        Some("rollback") => command_with(&rollback::HELP, rollback::run, args),
        Some("status") => command_with(&status::HELP, status::run, args),
        Some("owner") => command_with(&owner::HELP, owner::run, args),
        Some("explain") => command_with(explain::HELP, explain::run, args),
        Some("drain") => command_with(&drain::HELP, drain::run, args),
        Some(other) => Err(CliError::Usage(format!(
            "unknown command {other:?}; see ibiscove --help"
        ))),
        None => without_command(args),
    }
}

/// Prints a command's help, or runs it.
fn command_with(
    help: &str,
    run: impl FnOnce(Settings) -> Result<(), CliError>,
    args: pico_args::Arguments,
) -> Result<(), CliError> {
    let mut settings = Settings::new(args);
    if settings.switch("--help") {
        print!("{help}");
        return Ok(());
    }
    run(settings)
}

fn without_command(args: pico_args::Arguments) -> Result<(), CliError> {
    let mut settings = Settings::new(args);
    if settings.switch("--version") {
        println!("ibiscove {}", env!("CARGO_PKG_VERSION"));
        return settings.finish();
    }
    if settings.switch("--help") {
        print!("{HELP}");
        return settings.finish();
    }
    settings.finish()?;
    Err(CliError::Usage(
        "no command is given; see ibiscove --help".to_owned(),
    ))
}
