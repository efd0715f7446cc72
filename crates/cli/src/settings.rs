//! Reads settings from flags and environment variables, and collects all errors.

use std::env;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::error::CommandError;

/// The prefix of the names of environment variables.
const PREFIX: &str = "LACEWINGCHUTE_";
/// The minimum length of the operators' token, in characters.
const MIN_TOKEN_CHARS: usize = 16;

/// Reads settings and collects errors in their values.
#[derive(Debug, Default)]
pub struct SettingsReader {
    errors: Vec<String>,
}

impl SettingsReader {
    /// Creates a reader without errors.
    pub fn new() -> Self {
        SettingsReader::default()
    }

    /// Adds an error about the value of a flag.
    pub fn add_error(&mut self, flag: &str, message: &str) {
        self.errors.push(format!("--{flag} ({}): {message}", variable_name(flag)));
    }

    /// Reads a string from the flag, or from its environment variable if the flag is not
    /// given. Blank strings are errors.
    pub fn string(&mut self, flag: &str, value: Option<String>) -> Option<String> {
        match value.or_else(|| env::var(variable_name(flag)).ok()) {
            Some(text) if text.trim().is_empty() => {
                self.add_error(flag, "the value is empty");
                None
            }
            text => text,
        }
    }

    /// Reads a string that has no default. Returns an empty string on error.
    pub fn required(&mut self, flag: &str, value: Option<String>) -> String {
        let error_count = self.errors.len();
        let text = self.string(flag, value);
        if text.is_none() && self.errors.len() == error_count {
            self.add_error(flag, "a value is required");
        }
        text.unwrap_or_default()
    }

    /// Reads an IP address and port. Returns `0.0.0.0:0` on error.
    pub fn addr(&mut self, flag: &str, value: Option<String>, default: &str) -> SocketAddr {
        let text = self.string(flag, value).unwrap_or_else(|| default.to_owned());
        self.parse_addr(flag, &text)
    }

    /// Reads an IP address and port that has no default. Returns `0.0.0.0:0` on error.
    pub fn required_addr(&mut self, flag: &str, value: Option<String>) -> SocketAddr {
        let text = self.required(flag, value);
        if text.is_empty() {
            SocketAddr::from(([0, 0, 0, 0], 0))
        } else {
            self.parse_addr(flag, &text)
        }
    }

    /// Reads a comma-separated list of IP addresses and ports.
    pub fn addrs(&mut self, flag: &str, value: Option<String>) -> Vec<SocketAddr> {
        let Some(text) = self.string(flag, value) else { return Vec::new() };
        text.split(',').map(|part| self.parse_addr(flag, part.trim())).collect()
    }

    /// Reads a number within a range, which is given as minimum, maximum and default.
    /// Returns the default on error.
    pub fn number(&mut self, flag: &str, value: Option<String>, range: (u64, u64, u64)) -> u64 {
        let (min, max, default) = range;
        let Some(text) = self.string(flag, value) else { return default };
        match u64::from_str(&text) {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                self.add_error(
                    flag,
                    &format!("{text:?} is not a whole number from {min} to {max}"),
                );
                default
            }
        }
    }

    /// Reads one of several values, the first of which is the default.
    pub fn choice(&mut self, flag: &str, value: Option<String>, choices: &[&str]) -> String {
        let default = choices.first().copied().unwrap_or_default();
        let Some(text) = self.string(flag, value) else { return default.to_owned() };
        if !choices.contains(&text.as_str()) {
            self.add_error(flag, &format!("{text:?} is not one of {}", choices.join(", ")));
        }
        text
    }

    /// Reads a comma-separated list of strings.
    pub fn list(&mut self, flag: &str, value: Option<String>) -> Vec<String> {
        let text = self.string(flag, value).unwrap_or_default();
        text.split(',').map(|item| item.trim().to_owned()).filter(|item| !item.is_empty()).collect()
    }

    /// Reads the operators' token from the file that `--token-file` names.
    pub fn token(&mut self, value: Option<String>) -> String {
        let path = self.required("token-file", value);
        if path.is_empty() {
            return path;
        }
        match std::fs::read_to_string(&path) {
            Ok(text) if text.trim().chars().count() >= MIN_TOKEN_CHARS => text.trim().to_owned(),
            Ok(_) => {
                self.add_error(
                    "token-file",
                    &format!("the token in {path} has fewer than {MIN_TOKEN_CHARS} characters"),
                );
                String::new()
            }
            Err(error) => {
                self.add_error("token-file", &format!("{path}: {error}"));
                String::new()
            }
        }
    }

    /// Fails with all errors that were found, if any.
    pub fn finish(self) -> Result<(), CommandError> {
        if self.errors.is_empty() { Ok(()) } else { Err(CommandError::InvalidInput(self.errors)) }
    }

    fn parse_addr(&mut self, flag: &str, text: &str) -> SocketAddr {
        match SocketAddr::from_str(text) {
            Ok(addr) => addr,
            Err(_) => {
                self.add_error(flag, &format!("{text:?} is not an IP address and port"));
                SocketAddr::from(([0, 0, 0, 0], 0))
            }
        }
    }
}

/// The name of the environment variable for a flag.
fn variable_name(flag: &str) -> String {
    format!("{PREFIX}{}", flag.replace('-', "_").to_uppercase())
}
