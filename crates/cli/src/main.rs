//! The `lacewingchute` command-line interface.

mod args;
mod commands;
mod error;
mod logs;
mod settings;

use std::process::ExitCode;

use args::{Args, Command};
use error::CommandError;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.version {
        println!("lacewingchute {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = args.command else {
        return CommandError::InvalidInput(vec!["name a command; --help lists them".to_owned()])
            .report();
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.report(),
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    let Command::Node(_) = command else { return block_on(command) };
    commands::node::run()
}

/// Runs a command on a multi-threaded runtime. `node` creates its own runtime instead.
fn block_on(command: Command) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        match command {
            Command::Entry(args) => commands::entry::run(args).await,
            // `run` handles this command.
            Command::Node(_) => Ok(()),
            Command::Check(args) => commands::check::run(&args),
            Command::Publish(args) => commands::publish::run(args).await,
            Command::Status(args) => commands::status::run(args).await,
            Command::Dump(args) => commands::dump::run(args).await,
            Command::Statement(args) => commands::statement::run(args).await,
        }
    })
}
