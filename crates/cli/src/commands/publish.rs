//! `lacewingchute publish`.

use std::time::Duration;

use config::{Change, Diagnostic, PieceKey};
use publish::{Plan, Propagation, Publication, PublishError, Published, plan, read_head};
use serde_json::json;
use store::HttpPlatform;

use crate::args::PublishArgs;
use crate::error::CommandError;
use crate::settings::SettingsReader;

/// The timeout of `--wait` in seconds: minimum, maximum and default.
const WAIT_S_RANGE: (u64, u64, u64) = (1, 600, 30);

/// Checks and publishes route files.
pub async fn run(args: PublishArgs) -> Result<(), CommandError> {
    let mut reader = SettingsReader::new();
    let addr = reader.required_addr("platform", args.platform);
    let operator = reader.required("operator", args.operator);
    let wait_s = reader.number("wait-s", args.wait_s, WAIT_S_RANGE);
    let removed = parse_piece_keys(&mut reader, &args.remove);
    if args.paths.is_empty() && removed.is_empty() {
        reader.add_error("remove", "specify route files or folders, or a piece to remove");
    }
    reader.finish()?;
    let pieces = match args.paths.as_slice() {
        [] => Default::default(),
        paths => publish::collect(paths).map_err(invalid_input)?.pieces,
    };
    let publication = Publication {
        operator: operator.into(),
        id: format!("{:032x}", rand::random::<u128>()).into(),
        pieces,
        removed,
        base: args.base,
        renew: args.renew,
    };
    let platform = HttpPlatform::new(addr);
    if args.dry_run {
        return dry_run(&platform, &publication, args.json).await;
    }
    let published = publish::publish(&platform, &publication).await.map_err(publish_error)?;
    print_published(&published, args.json);
    match args.wait {
        true => wait_until_active(&platform, published.number, wait_s, args.json).await,
        false => Ok(()),
    }
}

fn parse_piece_keys(reader: &mut SettingsReader, names: &[String]) -> Vec<PieceKey> {
    let mut keys = Vec::new();
    for name in names {
        match PieceKey::try_from(name.clone()) {
            Ok(key) => keys.push(key),
            Err(message) => reader.add_error("remove", &message),
        }
    }
    keys
}

/// The error for invalid route files.
fn invalid_input(diagnostics: Vec<Diagnostic>) -> CommandError {
    CommandError::InvalidInput(diagnostics.iter().map(Diagnostic::to_string).collect())
}

fn publish_error(error: PublishError) -> CommandError {
    match error {
        PublishError::Invalid(diagnostics) => invalid_input(diagnostics),
        PublishError::Conflicts(_) => CommandError::Conflict(error.to_string()),
        PublishError::Platform(_) | PublishError::Corrupt(_) => CommandError::Other(error.into()),
    }
}

/// Prints the changes that publishing would make.
async fn dry_run(
    platform: &HttpPlatform,
    publication: &Publication,
    json: bool,
) -> Result<(), CommandError> {
    let current = read_head(platform).await.map_err(publish_error)?;
    // Without a base, no change conflicts.
    let base = publication.base.unwrap_or(u64::MAX);
    let Plan { number, changes, conflicts } = plan(publication, &current, base);
    if json {
        let changes: Vec<String> = changes.iter().map(format_change).collect();
        println!("{}", json!({ "number": number, "changes": changes }));
    } else {
        println!("configuration {number} is active; {} pieces would change", changes.len());
        changes.iter().for_each(|change| println!("  {}", format_change(change)));
    }
    match conflicts.is_empty() {
        true => Ok(()),
        false => Err(CommandError::Conflict(PublishError::Conflicts(conflicts).to_string())),
    }
}

/// Prints the configuration number and the changes of a publication.
fn print_published(published: &Published, json: bool) {
    let Published { number, changes } = published;
    if json {
        let changes: Vec<String> = changes.iter().map(format_change).collect();
        println!("{}", json!({ "number": number, "changes": changes }));
    } else if changes.is_empty() {
        println!("no changes; configuration {number} is active");
    } else {
        println!("accepted as configuration {number}");
        changes.iter().for_each(|change| println!("  {}", format_change(change)));
    }
}

fn format_change(change: &Change) -> String {
    match change {
        Change::Added(key, _) => format!("+ {key}"),
        Change::Replaced(key, _) => format!("~ {key}"),
        Change::Removed(key) => format!("- {key}"),
    }
}

/// Waits until all instances have activated the configuration, and reports the progress.
async fn wait_until_active(
    platform: &HttpPlatform,
    number: u64,
    wait_s: u64,
    json: bool,
) -> Result<(), CommandError> {
    let mut last_missing = usize::MAX;
    let progress = |state: &Propagation| {
        if !json && state.missing.len() != last_missing {
            last_missing = state.missing.len();
            let active = state.acknowledged.len();
            eprintln!(
                "configuration {number} is active on {active} instances, {last_missing} are missing"
            );
        }
    };
    let timeout = Duration::from_secs(wait_s);
    let state = publish::wait_until_active(platform, number, timeout, progress).await;
    if !state.is_complete() || state.acknowledged.is_empty() {
        let missing: Vec<&str> = state.missing.iter().map(|id| &**id).collect();
        let reason = match missing.is_empty() {
            true => "no instance has acknowledged it".to_owned(),
            false => format!("missing instances: {}", missing.join(", ")),
        };
        return Err(CommandError::NotActive(reason));
    }
    if !json {
        let (active, disconnected) = (state.acknowledged.len(), state.disconnected.len());
        println!(
            "configuration {number} is active on {active} instances, {disconnected} are disconnected"
        );
    }
    Ok(())
}
