//! How commands fail, and the exit codes that say so.

use std::fmt;
use std::process::ExitCode;

/// Why a command did not do what it was asked to.
#[derive(Debug)]
pub enum Failure {
    /// Flags, environment or route files are faulty; each fault on a line.
    Faults(Vec<String>),
    /// Another operator changed the same pieces.
    Conflict(String),
    /// The publication is accepted and not in force everywhere in time.
    NotInForce(String),
    /// Anything else.
    Other(anyhow::Error),
}

impl Failure {
    /// Prints the failure and returns its exit code.
    pub fn report(&self) -> ExitCode {
        eprintln!("{self}");
        match self {
            Failure::Other(_) => ExitCode::from(1),
            Failure::Faults(_) => ExitCode::from(2),
            Failure::Conflict(_) => ExitCode::from(3),
            Failure::NotInForce(_) => ExitCode::from(4),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Faults(faults) => f.write_str(&faults.join("\n")),
            Failure::Conflict(what) => write!(f, "not accepted: {what}"),
            Failure::NotInForce(what) => write!(f, "accepted, not in force yet: {what}"),
            Failure::Other(error) => write!(f, "lacewingchute: {error:#}"),
        }
    }
}

impl<E: Into<anyhow::Error>> From<E> for Failure {
    fn from(error: E) -> Self {
        Failure::Other(error.into())
    }
}
