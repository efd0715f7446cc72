//! The command line of lacewingchute.

mod args;
mod commands;
mod failure;
mod logs;
mod settings;

use std::process::ExitCode;

use args::{Args, Command};
use failure::Failure;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.version {
        println!("lacewingchute {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = args.command else {
        return Failure::Faults(vec!["name a command; --help lists them".to_owned()]).report();
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}

fn run(command: Command) -> Result<(), Failure> {
    let Command::Node(_) = command else { return block_on(command) };
    commands::node::run()
}

fn block_on(command: Command) -> Result<(), Failure> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        match command {
            Command::Entry(args) => commands::entry::run(args).await,
            Command::Node(_) => Ok(()),
            Command::Check(args) => commands::check::run(&args),
            Command::Publish(args) => commands::publish::run(args).await,
            Command::Status(args) => commands::status::run(args).await,
            Command::Dump(args) => commands::dump::run(args).await,
            Command::Statement(args) => commands::statement::run(args).await,
        }
    })
}
