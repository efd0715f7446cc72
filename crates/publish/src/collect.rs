//! Finds and parses route files.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use config::{Diagnostic, Piece, PieceKey, parse};

/// How the names of route files end.
const SUFFIX: &str = ".route.toml";
/// The longest route file, in bytes.
const LONGEST_FILE: u64 = 1 << 20;

/// The pieces that were found, by key.
#[derive(Debug, Default)]
pub struct Collected {
    /// The files that were read.
    pub files: Vec<PathBuf>,
    /// The pieces.
    pub pieces: BTreeMap<PieceKey, Piece>,
}

/// Collects the route files below the given folders and files.
///
/// Returns every fault of every file, not only the first.
pub fn collect(roots: &[PathBuf]) -> Result<Collected, Vec<Diagnostic>> {
    let mut files = Vec::new();
    let mut faults = Vec::new();
    for root in roots {
        if let Err(error) = find(root, true, &mut files) {
            faults.push(file_fault(root, &error.to_string(), "name a folder or a route file"));
        }
    }
    files.sort();
    files.dedup();
    let mut collected = Collected::default();
    let mut owners: BTreeMap<PieceKey, PathBuf> = BTreeMap::new();
    for file in files {
        match read(&file) {
            Ok(pieces) => {
                for piece in pieces {
                    let key = piece.key();
                    if let Some(other) = owners.insert(key.clone(), file.clone()) {
                        let what = format!("{key} is defined in {} too", other.display());
                        faults.push(file_fault(&file, &what, "keep one of the two"));
                    }
                    collected.pieces.insert(key, piece);
                }
            }
            Err(found) => faults.extend(found),
        }
        collected.files.push(file);
    }
    if collected.files.is_empty() && faults.is_empty() {
        let what = format!("there is no file whose name ends in {SUFFIX}");
        let root = roots.first().map_or(Path::new("."), PathBuf::as_path);
        faults.push(file_fault(root, &what, "name the folders that hold the route files"));
    }
    if faults.is_empty() { Ok(collected) } else { Err(faults) }
}

fn find(path: &Path, named: bool, files: &mut Vec<PathBuf>) -> io::Result<()> {
    let meta = fs::metadata(path)?;
    if meta.is_file() {
        let suffix = path.to_string_lossy().ends_with(SUFFIX);
        if named || suffix {
            files.push(path.to_owned());
        }
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        let entry = entry?;
        // A link is not followed, so that no loop is walked.
        if !entry.file_type()?.is_symlink() {
            find(&entry.path(), false, files)?;
        }
    }
    Ok(())
}

fn read(file: &Path) -> Result<Vec<Piece>, Vec<Diagnostic>> {
    let fault = |what: String, mend: &str| vec![file_fault(file, &what, mend)];
    let size = fs::metadata(file).map_err(|e| fault(e.to_string(), "make it readable"))?.len();
    if size > LONGEST_FILE {
        return Err(fault(format!("it has {size} bytes"), "keep route files under 1 MiB"));
    }
    let text = fs::read_to_string(file).map_err(|e| fault(e.to_string(), "save it as UTF-8"))?;
    parse(&file.display().to_string(), &text)
}

fn file_fault(path: &Path, what: &str, mend: &str) -> Diagnostic {
    let path = path.display().to_string();
    Diagnostic { path, line: 0, column: 0, message: what.to_owned(), hint: mend.to_owned() }
}
