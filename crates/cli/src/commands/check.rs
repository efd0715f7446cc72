//! `lacewingchute check`.

use config::check_all;

use crate::args::CheckArgs;
use crate::failure::Failure;

/// Checks route files, or prints the reference.
pub fn run(args: &CheckArgs) -> Result<(), Failure> {
    if args.reference {
        print!("{}", config::reference_markdown());
        return Ok(());
    }
    if args.paths.is_empty() {
        return Err(Failure::Faults(vec!["name the folders that hold the route files".to_owned()]));
    }
    let lines = |faults: Vec<config::Diagnostic>| faults.iter().map(|f| f.to_string()).collect();
    let collected =
        publish::collect(&args.paths).map_err(|faults| Failure::Faults(lines(faults)))?;
    let faults = check_all(&collected.pieces);
    if !faults.is_empty() {
        return Err(Failure::Faults(lines(faults)));
    }
    println!("{} files, {} pieces: no fault", collected.files.len(), collected.pieces.len());
    Ok(())
}
