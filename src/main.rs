//! The `ibiscove` binary. Each subcommand has a module of its own.

mod apply;
mod check;
mod cli;
mod demo;
mod diff;
mod drain;
mod explain;
mod get;
mod history;
mod import;
mod node;
mod operator;
mod output;
mod owner;
mod rollback;
mod serve;
mod settings;
mod status;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run(std::env::args_os().skip(1).collect()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("ibiscove: {err}");
            err.exit_code()
        }
    }
}
