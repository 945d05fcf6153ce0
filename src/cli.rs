//! Dispatch to the subcommand, and the error type of all subcommands.

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

/// Exit code of an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// The command failed.
    #[error("{0}")]
    Failed(String),
    /// The command failed with an exit code of its own, for scripts.
    #[error("{text}")]
    WithExitCode {
        /// The exit code.
        code: u8,
        /// The error message.
        text: String,
    },
}

impl CliError {
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            CliError::Usage(_) => ExitCode::from(USAGE_EXIT_CODE),
            CliError::Failed(_) => ExitCode::FAILURE,
            CliError::WithExitCode { code, .. } => ExitCode::from(*code),
        }
    }

    /// Converts the cause of a command's failure.
    pub(crate) fn failed(cause: impl std::fmt::Display) -> Self {
        CliError::Failed(cause.to_string())
    }
}

impl From<pico_args::Error> for CliError {
    fn from(err: pico_args::Error) -> Self {
        CliError::Usage(err.to_string())
    }
}

/// Runs the subcommand named by the arguments.
pub(crate) fn run(args: Vec<OsString>) -> Result<(), CliError> {
    let mut args = pico_args::Arguments::from_vec(args);
    let command = args.subcommand()?;
    match command.as_deref() {
        Some("node") => run_or_print_help(node::HELP, node::run, args),
        Some("serve") => run_or_print_help(&serve::HELP, serve::run, args),
        Some("demo") => run_or_print_help(demo::HELP, demo::run, args),
        Some("check") => run_or_print_help(check::HELP, check::run, args),
        Some("import") => run_or_print_help(import::HELP, import::run, args),
        Some("diff") => run_or_print_help(&diff::HELP, diff::run, args),
        Some("apply") => run_or_print_help(&apply::HELP, apply::run, args),
        Some("get") => run_or_print_help(&get::HELP, get::run, args),
        Some("history") => run_or_print_help(&history::HELP, history::run, args),
        Some("rollback") => run_or_print_help(&rollback::HELP, rollback::run, args),
        Some("status") => run_or_print_help(&status::HELP, status::run, args),
        Some("owner") => run_or_print_help(&owner::HELP, owner::run, args),
        Some("explain") => run_or_print_help(explain::HELP, explain::run, args),
        Some("drain") => run_or_print_help(&drain::HELP, drain::run, args),
        Some(other) => Err(CliError::Usage(format!(
            "unknown command {other:?}; see ibiscove --help"
        ))),
        None => run_without_subcommand(args),
    }
}

/// Runs a subcommand, or with `--help` prints its help.
fn run_or_print_help(
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

fn run_without_subcommand(args: pico_args::Arguments) -> Result<(), CliError> {
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
