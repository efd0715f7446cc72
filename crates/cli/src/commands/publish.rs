//! `lacewingchute publish`.

use std::time::Duration;

use config::{Change, Diagnostic, PieceKey};
use publish::{Plan, Propagation, Publication, PublishError, Published, plan, read_head};
use serde_json::json;
use store::HttpPlatform;

use crate::args::PublishArgs;
use crate::failure::Failure;
use crate::settings::Reader;

/// The longest wait that can be set, in seconds, and the default.
const WAIT_S: (u64, u64, u64) = (1, 600, 30);

/// Checks route files and puts them in force.
pub async fn run(args: PublishArgs) -> Result<(), Failure> {
    let mut reader = Reader::new();
    let addr = reader.required_addr("platform", args.platform);
    let operator = reader.required("operator", args.operator);
    let wait_s = reader.number("wait-s", args.wait_s, WAIT_S);
    let removed = removed(&mut reader, &args.remove);
    if args.paths.is_empty() && removed.is_empty() {
        reader.fault("remove", "name folders with route files, or a piece to take out");
    }
    reader.finish()?;
    let pieces = match args.paths.as_slice() {
        [] => Default::default(),
        paths => publish::collect(paths).map_err(faults)?.pieces,
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
    let published = publish::publish(&platform, &publication).await.map_err(refused)?;
    show(&published, args.json);
    match args.wait {
        true => wait(&platform, published.number, wait_s, args.json).await,
        false => Ok(()),
    }
}

fn removed(reader: &mut Reader, names: &[String]) -> Vec<PieceKey> {
    let mut keys = Vec::new();
    for name in names {
        match PieceKey::try_from(name.clone()) {
            Ok(key) => keys.push(key),
            Err(what) => reader.fault("remove", &what),
        }
    }
    keys
}

fn faults(faults: Vec<Diagnostic>) -> Failure {
    Failure::Faults(faults.iter().map(Diagnostic::to_string).collect())
}

fn refused(error: PublishError) -> Failure {
    match error {
        PublishError::Invalid(found) => faults(found),
        PublishError::Conflicts(_) => Failure::Conflict(error.to_string()),
        PublishError::Platform(_) | PublishError::Corrupt(_) => Failure::Other(error.into()),
    }
}

async fn dry_run(
    platform: &HttpPlatform,
    publication: &Publication,
    json: bool,
) -> Result<(), Failure> {
    let current = read_head(platform).await.map_err(refused)?;
    let base = publication.base.unwrap_or(u64::MAX);
    let Plan { number, changes, conflicts } = plan(publication, &current, base);
    if json {
        let changes: Vec<String> = changes.iter().map(line).collect();
        println!("{}", json!({ "number": number, "changes": changes }));
    } else {
        println!("number {number} is in force; {} pieces would change", changes.len());
        changes.iter().for_each(|change| println!("  {}", line(change)));
    }
    match conflicts.is_empty() {
        true => Ok(()),
        false => Err(Failure::Conflict(PublishError::Conflicts(conflicts).to_string())),
    }
}

fn show(published: &Published, json: bool) {
    let Published { number, changes } = published;
    if json {
        let changes: Vec<String> = changes.iter().map(line).collect();
        println!("{}", json!({ "number": number, "changes": changes }));
    } else if changes.is_empty() {
        println!("nothing changes; number {number} is in force");
    } else {
        println!("accepted as number {number}");
        changes.iter().for_each(|change| println!("  {}", line(change)));
    }
}

fn line(change: &Change) -> String {
    match change {
        Change::Added(key, _) => format!("+ {key}"),
        Change::Replaced(key, _) => format!("~ {key}"),
        Change::Removed(key) => format!("- {key}"),
    }
}

async fn wait(
    platform: &HttpPlatform,
    number: u64,
    wait_s: u64,
    json: bool,
) -> Result<(), Failure> {
    let mut shown = usize::MAX;
    let progress = |state: &Propagation| {
        if !json && state.missing.len() != shown {
            shown = state.missing.len();
            let have = state.acknowledged.len();
            eprintln!("{have} instances have number {number}, {shown} are missing");
        }
    };
    let limit = Duration::from_secs(wait_s);
    let state = publish::wait_until_active(platform, number, limit, progress).await;
    if !state.is_complete() || state.acknowledged.is_empty() {
        let missing: Vec<&str> = state.missing.iter().map(|id| &**id).collect();
        return Err(Failure::NotInForce(format!("missing {}", missing.join(", "))));
    }
    if !json {
        let (have, cut) = (state.acknowledged.len(), state.disconnected.len());
        println!("number {number} is in force: {have} instances have it, {cut} are cut off");
    }
    Ok(())
}
