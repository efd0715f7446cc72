//! Command-line arguments.
//!
//! Most flags that take a value have a corresponding environment variable, which
//! [`SettingsReader`](crate::settings::SettingsReader) reads.

use std::path::PathBuf;

use argh::FromArgs;

/// Routes requests to models, versions and services.
///
/// Flags that take a value can also be set by environment variables, such as
/// LACEWINGCHUTE_PLATFORM for --platform. Flags take precedence. --base, --remove and
/// --renew have no environment variables.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} check services/",
    example = "{command_name} publish --platform 10.0.0.5:7000 --operator ana services/",
    note = "An environment variable such as LACEWINGCHUTE_PLATFORM sets the flag --platform if it is not given.",
    error_code(1, "The command failed."),
    error_code(2, "Flags, environment variables or route files are invalid."),
    error_code(3, "Another operator has changed the same pieces."),
    error_code(4, "The publication was accepted, but not activated by all instances in time.")
)]
pub struct Args {
    /// print the version
    #[argh(switch)]
    pub version: bool,

    /// the command
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// A command with its arguments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Runs an entry instance.
    Entry(EntryArgs),
    /// Runs an instance on the users' platform.
    Node(NodeArgs),
    /// Checks route files for errors.
    Check(CheckArgs),
    /// Publishes route files.
    Publish(PublishArgs),
    /// Shows a summary of an instance's state.
    Status(StatusArgs),
    /// Shows the state of every service of an instance.
    Dump(DumpArgs),
    /// Shows the amounts that client accounts owe.
    Statement(StatementArgs),
}

/// Runs an instance on the users' platform until SIGTERM, then shuts it down gracefully.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "node",
    example = "LACEWINGCHUTE_CONFIG=settings.json {command_name}",
    note = "The platform writes the settings file. SIGHUP reloads it."
)]
pub struct NodeArgs {}

/// Runs an entry instance until SIGTERM, then shuts it down gracefully.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "entry",
    example = "{command_name} --instance e1 --domain south-1 --platform 10.0.0.5:7000 --token-file token",
    note = "A second SIGTERM or SIGINT ends the process immediately."
)]
pub struct EntryArgs {
    /// unique id of the instance (required)
    #[argh(option)]
    pub instance: Option<String>,

    /// failure domain of the instance (required)
    #[argh(option)]
    pub domain: Option<String>,

    /// IP address and port of the platform (required)
    #[argh(option)]
    pub platform: Option<String>,

    /// file that contains the operators' token, at least 16 characters long (required)
    #[argh(option)]
    pub token_file: Option<String>,

    /// IP address and port to listen on for callers (default 127.0.0.1:8080)
    #[argh(option)]
    pub listen: Option<String>,

    /// IP address and port to listen on for peers (default 127.0.0.1:8081)
    #[argh(option)]
    pub peers: Option<String>,

    /// IP address and port to listen on for operators (default 127.0.0.1:8082)
    #[argh(option)]
    pub operators: Option<String>,

    /// comma-separated addresses of peers to contact while the platform is unavailable
    #[argh(option)]
    pub seeds: Option<String>,

    /// shutdown timeout in seconds, 1 to 3600 (default 60)
    #[argh(option)]
    pub drain_s: Option<String>,

    /// maximum length of a request body in bytes, 1024 to 67108864 (default 4194304)
    #[argh(option)]
    pub body_limit: Option<String>,

    /// minimum log level: error, warn, info, debug or trace (default info)
    #[argh(option)]
    pub log_level: Option<String>,

    /// log format: text or json (default text)
    #[argh(option)]
    pub log_format: Option<String>,

    /// comma-separated mechanisms to disable; for experiments only
    #[argh(option)]
    pub without: Option<String>,
}

/// Checks route files and reports errors with their positions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check", example = "{command_name} services/")]
pub struct CheckArgs {
    /// print the reference of all keys instead
    #[argh(switch)]
    pub reference: bool,

    /// folders and route files
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// Checks and publishes route files.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "publish",
    example = "{command_name} --platform 10.0.0.5:7000 --operator ana --wait services/",
    note = "Pieces that are not in the files stay unchanged; use --remove to delete a piece."
)]
pub struct PublishArgs {
    /// IP address and port of the platform (required)
    #[argh(option)]
    pub platform: Option<String>,

    /// name of the operator, shown to others in conflicts (required)
    #[argh(option)]
    pub operator: Option<String>,

    /// show the changes without publishing them
    #[argh(switch)]
    pub dry_run: bool,

    /// wait until all instances have activated the publication
    #[argh(switch)]
    pub wait: bool,

    /// timeout of --wait in seconds, 1 to 600 (default 30)
    #[argh(option)]
    pub wait_s: Option<String>,

    /// configuration number that the files are based on; later changes to the same pieces conflict
    #[argh(option)]
    pub base: Option<u64>,

    /// piece to remove, such as route.chat or account.bento; can be repeated
    #[argh(option)]
    pub remove: Vec<String>,

    /// version to restart after a halt, such as chat/small-2; can be repeated
    #[argh(option)]
    pub renew: Vec<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,

    /// folders and route files
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// Shows a summary of an entry instance's state.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "{command_name} --token-file token 10.0.0.7:8082")]
pub struct StatusArgs {
    /// file that contains the operators' token (required)
    #[argh(option)]
    pub token_file: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,

    /// IP address and port of the instance's operators' listener
    #[argh(positional)]
    pub addr: String,
}

/// Shows the state of every service of an entry instance, as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump", example = "{command_name} --token-file token 10.0.0.7:8082")]
pub struct DumpArgs {
    /// file that contains the operators' token (required)
    #[argh(option)]
    pub token_file: Option<String>,

    /// print the metrics instead
    #[argh(switch)]
    pub metrics: bool,

    /// IP address and port of the instance's operators' listener
    #[argh(positional)]
    pub addr: String,
}

/// Shows the amounts that client accounts owe, computed from all bills and claims.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "statement", example = "{command_name} --platform 10.0.0.5:7000")]
pub struct StatementArgs {
    /// IP address and port of the platform (required)
    #[argh(option)]
    pub platform: Option<String>,

    /// print JSON, with every bill
    #[argh(switch)]
    pub json: bool,
}
