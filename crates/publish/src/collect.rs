//! Finds and parses route files.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use config::{Diagnostic, Piece, PieceKey, parse};

/// The file name suffix of route files.
const FILE_SUFFIX: &str = ".route.toml";
/// The maximum length of a route file, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The route files that were found, and the pieces that they define.
#[derive(Debug, Default)]
pub struct Collected {
    /// The files that were read.
    pub files: Vec<PathBuf>,
    /// The pieces by key.
    pub pieces: BTreeMap<PieceKey, Piece>,
}

/// Collects the given route files, and all route files in the given folders.
///
/// Returns the errors of all files, not only the first one.
pub fn collect(roots: &[PathBuf]) -> Result<Collected, Vec<Diagnostic>> {
    let mut files = Vec::new();
    let mut diagnostics = Vec::new();
    for root in roots {
        if let Err(error) = find_route_files(root, true, &mut files) {
            diagnostics.push(file_diagnostic(
                root,
                &error.to_string(),
                "use the path of a folder or a route file",
            ));
        }
    }
    files.sort();
    files.dedup();
    let mut collected = Collected::default();
    let mut sources: BTreeMap<PieceKey, PathBuf> = BTreeMap::new();
    for file in files {
        match read_route_file(&file) {
            Ok(pieces) => {
                for piece in pieces {
                    let key = piece.key();
                    if let Some(other) = sources.insert(key.clone(), file.clone()) {
                        let message = format!("{key} is also defined in {}", other.display());
                        diagnostics.push(file_diagnostic(&file, &message, "remove one of the two"));
                    }
                    collected.pieces.insert(key, piece);
                }
            }
            Err(found) => diagnostics.extend(found),
        }
        collected.files.push(file);
    }
    if collected.files.is_empty() && diagnostics.is_empty() {
        let message = format!("found no file with the suffix {FILE_SUFFIX}");
        let root = roots.first().map_or(Path::new("."), PathBuf::as_path);
        diagnostics.push(file_diagnostic(
            root,
            &message,
            "use the paths of folders that contain route files",
        ));
    }
    if diagnostics.is_empty() { Ok(collected) } else { Err(diagnostics) }
}

/// Adds the route files at or below `path` to `files`.
///
/// Files found in folders must have the suffix; `explicit` paths need not.
fn find_route_files(path: &Path, explicit: bool, files: &mut Vec<PathBuf>) -> io::Result<()> {
    let meta = fs::metadata(path)?;
    if meta.is_file() {
        if explicit || path.to_string_lossy().ends_with(FILE_SUFFIX) {
            files.push(path.to_owned());
        }
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        let entry = entry?;
        // Symbolic links are skipped, because they can form a cycle.
        if !entry.file_type()?.is_symlink() {
            find_route_files(&entry.path(), false, files)?;
        }
    }
    Ok(())
}

fn read_route_file(file: &Path) -> Result<Vec<Piece>, Vec<Diagnostic>> {
    let error = |message: String, hint: &str| vec![file_diagnostic(file, &message, hint)];
    let size = fs::metadata(file)
        .map_err(|e| error(e.to_string(), "check that the file is readable"))?
        .len();
    if size > MAX_FILE_BYTES {
        return Err(error(
            format!("the file has {size} bytes; the maximum is {MAX_FILE_BYTES}"),
            "split it into smaller files",
        ));
    }
    let text = fs::read_to_string(file)
        .map_err(|e| error(e.to_string(), "check that the file is encoded as UTF-8"))?;
    parse(&file.display().to_string(), &text)
}

/// Creates a diagnostic about a file as a whole.
fn file_diagnostic(path: &Path, message: &str, hint: &str) -> Diagnostic {
    let path = path.display().to_string();
    Diagnostic { path, line: 0, column: 0, message: message.to_owned(), hint: hint.to_owned() }
}
