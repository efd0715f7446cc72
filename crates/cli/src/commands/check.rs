//! `lacewingchute check`.

use config::check_all;

use crate::args::CheckArgs;
use crate::error::CommandError;

/// Checks route files, or prints the reference of all keys.
pub fn run(args: &CheckArgs) -> Result<(), CommandError> {
    if args.reference {
        print!("{}", config::reference_markdown());
        return Ok(());
    }
    if args.paths.is_empty() {
        return Err(CommandError::InvalidInput(vec![
            "specify route files or folders that contain them".to_owned(),
        ]));
    }
    let lines = |diagnostics: Vec<config::Diagnostic>| {
        diagnostics.iter().map(|diagnostic| diagnostic.to_string()).collect()
    };
    let collected =
        publish::collect(&args.paths).map_err(|found| CommandError::InvalidInput(lines(found)))?;
    let diagnostics = check_all(&collected.pieces);
    if !diagnostics.is_empty() {
        return Err(CommandError::InvalidInput(lines(diagnostics)));
    }
    println!("{} files, {} pieces: no errors", collected.files.len(), collected.pieces.len());
    Ok(())
}
