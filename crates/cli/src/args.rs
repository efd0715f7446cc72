//! Flags. Each flag with a value has an environment variable of the same name.

use std::path::PathBuf;

use argh::FromArgs;

/// Routes requests to models, versions and services.
///
/// Every flag that takes a value can be given as an environment variable:
/// --platform as LACEWINGCHUTE_PLATFORM, and so on. A flag goes first.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} check services/",
    example = "{command_name} publish --platform 10.0.0.5:7000 --operator ana services/",
    note = "LACEWINGCHUTE_PLATFORM and so on stand for --platform and so on; a flag goes first.",
    error_code(1, "The command failed."),
    error_code(2, "Flags, environment or route files are faulty."),
    error_code(3, "Another operator changed the same pieces."),
    error_code(4, "The publication is accepted and not in force everywhere in time.")
)]
pub struct Args {
    /// print the version
    #[argh(switch)]
    pub version: bool,

    /// the command
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Runs an entry instance.
    Entry(EntryArgs),
    /// Runs an instance on the users' platform.
    Node(NodeArgs),
    /// Checks route files.
    Check(CheckArgs),
    /// Publishes route files.
    Publish(PublishArgs),
    /// Shows an instance's summary.
    Status(StatusArgs),
    /// Shows an instance's state.
    Dump(DumpArgs),
    /// Shows what client accounts owe.
    Statement(StatementArgs),
}

/// Runs an instance on the users' platform until it gets SIGTERM, then drains it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "node",
    example = "LACEWINGCHUTE_CONFIG=settings.json {command_name}",
    note = "The platform writes the settings file; SIGHUP has it read again."
)]
pub struct NodeArgs {}

/// Runs an entry instance until it gets SIGTERM, then drains it.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "entry",
    example = "{command_name} --instance e1 --domain south-1 --platform 10.0.0.5:7000 --token-file token",
    note = "A second SIGTERM or an interrupt ends the process at once."
)]
pub struct EntryArgs {
    /// id of the instance, unique among all (required)
    #[argh(option)]
    pub instance: Option<String>,

    /// failure domain that the instance stands in (required)
    #[argh(option)]
    pub domain: Option<String>,

    /// IP address and port of the platform (required)
    #[argh(option)]
    pub platform: Option<String>,

    /// file that holds the operators' token, at least 16 characters (required)
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

    /// peers to ask while the platform is out: addresses with commas between them
    #[argh(option)]
    pub seeds: Option<String>,

    /// longest shutdown in seconds, 1 to 3600 (default 60)
    #[argh(option)]
    pub drain_s: Option<String>,

    /// longest body of a request in bytes, 1024 to 67108864 (default 4194304)
    #[argh(option)]
    pub body_limit: Option<String>,

    /// least level of log lines: error, warn, info, debug or trace (default info)
    #[argh(option)]
    pub log_level: Option<String>,

    /// form of log lines: text or json (default text)
    #[argh(option)]
    pub log_format: Option<String>,

    /// mechanisms to switch off, with commas between them; for experiments only
    #[argh(option)]
    pub without: Option<String>,
}

/// Checks route files and says what is wrong where.
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

/// Checks route files and puts them in force.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "publish",
    example = "{command_name} --platform 10.0.0.5:7000 --operator ana --wait services/",
    note = "Pieces that the files don't mention stay as they are; --remove takes one out."
)]
pub struct PublishArgs {
    /// IP address and port of the platform (required)
    #[argh(option)]
    pub platform: Option<String>,

    /// who publishes, as others see it in conflicts (required)
    #[argh(option)]
    pub operator: Option<String>,

    /// show what would change and change nothing
    #[argh(switch)]
    pub dry_run: bool,

    /// wait until it is in force everywhere
    #[argh(switch)]
    pub wait: bool,

    /// longest wait in seconds, 1 to 600 (default 30)
    #[argh(option)]
    pub wait_s: Option<String>,

    /// number that the files were written against; later changes to the same pieces conflict
    #[argh(option)]
    pub base: Option<u64>,

    /// piece to take out, such as route.chat or account.bento; may be given again
    #[argh(option)]
    pub remove: Vec<String>,

    /// version to start anew after a halt, such as chat/small-2; may be given again
    #[argh(option)]
    pub renew: Vec<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,

    /// folders and route files
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// Shows the summary of an entry instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "{command_name} --token-file token 10.0.0.7:8082")]
pub struct StatusArgs {
    /// file that holds the operators' token (required)
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
    /// file that holds the operators' token (required)
    #[argh(option)]
    pub token_file: Option<String>,

    /// print the metrics instead
    #[argh(switch)]
    pub metrics: bool,

    /// IP address and port of the instance's operators' listener
    #[argh(positional)]
    pub addr: String,
}

/// Shows what client accounts owe, from all bills and claims in the table.
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
