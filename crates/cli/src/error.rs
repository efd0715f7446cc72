//! Errors of commands and the corresponding exit codes.

use std::fmt;
use std::process::ExitCode;

/// The error of a failed command.
#[derive(Debug)]
pub enum CommandError {
    /// Flags, environment variables or route files are invalid. Contains one message per
    /// error.
    InvalidInput(Vec<String>),
    /// Another operator has changed the same pieces.
    Conflict(String),
    /// The publication was accepted, but not activated by all instances in time.
    NotActive(String),
    /// Any other error.
    Other(anyhow::Error),
}

impl CommandError {
    /// Prints the error to standard error and returns its exit code.
    pub fn report(&self) -> ExitCode {
        eprintln!("{self}");
        match self {
            CommandError::Other(_) => ExitCode::from(1),
            CommandError::InvalidInput(_) => ExitCode::from(2),
            CommandError::Conflict(_) => ExitCode::from(3),
            CommandError::NotActive(_) => ExitCode::from(4),
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::InvalidInput(errors) => f.write_str(&errors.join("\n")),
            CommandError::Conflict(conflicts) => write!(f, "not accepted: {conflicts}"),
            CommandError::NotActive(reason) => write!(f, "accepted, but not active yet: {reason}"),
            CommandError::Other(error) => write!(f, "lacewingchute: {error:#}"),
        }
    }
}

impl<E: Into<anyhow::Error>> From<E> for CommandError {
    fn from(error: E) -> Self {
        CommandError::Other(error.into())
    }
}
