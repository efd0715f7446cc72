//! Settings from flags and environment variables, with every fault at once.

use std::env;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::failure::Failure;

/// What the names of the environment variables start with.
const PREFIX: &str = "LACEWINGCHUTE_";
/// The shortest token of operators, in characters.
const SHORTEST_TOKEN: usize = 16;

/// Reads settings and collects their faults.
#[derive(Debug, Default)]
pub struct Reader {
    faults: Vec<String>,
}

impl Reader {
    /// A reader that has found no fault.
    pub fn new() -> Self {
        Reader::default()
    }

    /// Notes a fault of a flag.
    pub fn fault(&mut self, flag: &str, what: &str) {
        self.faults.push(format!("--{flag} ({}): {what}", variable(flag)));
    }

    /// The text of a setting, from its flag or else its variable.
    pub fn text(&mut self, flag: &str, given: Option<String>) -> Option<String> {
        match given.or_else(|| env::var(variable(flag)).ok()) {
            Some(text) if text.trim().is_empty() => {
                self.fault(flag, "it is empty");
                None
            }
            text => text,
        }
    }

    /// The text of a setting that has no default; empty after a fault.
    pub fn required(&mut self, flag: &str, given: Option<String>) -> String {
        let faults = self.faults.len();
        let text = self.text(flag, given);
        if text.is_none() && self.faults.len() == faults {
            self.fault(flag, "it is required");
        }
        text.unwrap_or_default()
    }

    /// An IP address and port.
    pub fn addr(&mut self, flag: &str, given: Option<String>, default: &str) -> SocketAddr {
        let text = self.text(flag, given).unwrap_or_else(|| default.to_owned());
        self.parse_addr(flag, &text)
    }

    /// An IP address and port that has no default.
    pub fn required_addr(&mut self, flag: &str, given: Option<String>) -> SocketAddr {
        let text = self.required(flag, given);
        if text.is_empty() {
            SocketAddr::from(([0, 0, 0, 0], 0))
        } else {
            self.parse_addr(flag, &text)
        }
    }

    /// IP addresses and ports with commas between them.
    pub fn addrs(&mut self, flag: &str, given: Option<String>) -> Vec<SocketAddr> {
        let Some(text) = self.text(flag, given) else { return Vec::new() };
        text.split(',').map(|part| self.parse_addr(flag, part.trim())).collect()
    }

    /// A number within a range.
    pub fn number(&mut self, flag: &str, given: Option<String>, range: (u64, u64, u64)) -> u64 {
        let (least, most, default) = range;
        let Some(text) = self.text(flag, given) else { return default };
        match u64::from_str(&text) {
            Ok(number) if (least..=most).contains(&number) => number,
            _ => {
                self.fault(flag, &format!("{text:?} is not a whole number from {least} to {most}"));
                default
            }
        }
    }

    /// One of several words.
    pub fn word(&mut self, flag: &str, given: Option<String>, words: &[&str]) -> String {
        let default = words.first().copied().unwrap_or_default();
        let Some(text) = self.text(flag, given) else { return default.to_owned() };
        if !words.contains(&text.as_str()) {
            self.fault(flag, &format!("{text:?} is not one of {}", words.join(", ")));
        }
        text
    }

    /// Words with commas between them.
    pub fn list(&mut self, flag: &str, given: Option<String>) -> Vec<String> {
        let text = self.text(flag, given).unwrap_or_default();
        text.split(',').map(|word| word.trim().to_owned()).filter(|word| !word.is_empty()).collect()
    }

    /// The operators' token, from its file.
    pub fn token(&mut self, given: Option<String>) -> String {
        let path = self.required("token-file", given);
        if path.is_empty() {
            return path;
        }
        match std::fs::read_to_string(&path) {
            Ok(text) if text.trim().chars().count() >= SHORTEST_TOKEN => text.trim().to_owned(),
            Ok(_) => {
                self.fault("token-file", &format!("the token in {path} has under 16 characters"));
                String::new()
            }
            Err(error) => {
                self.fault("token-file", &format!("{path}: {error}"));
                String::new()
            }
        }
    }

    /// Ends the reading: every fault that was found, or success.
    pub fn finish(self) -> Result<(), Failure> {
        if self.faults.is_empty() { Ok(()) } else { Err(Failure::Faults(self.faults)) }
    }

    fn parse_addr(&mut self, flag: &str, text: &str) -> SocketAddr {
        match SocketAddr::from_str(text) {
            Ok(addr) => addr,
            Err(_) => {
                self.fault(flag, &format!("{text:?} is not an IP address and port"));
                SocketAddr::from(([0, 0, 0, 0], 0))
            }
        }
    }
}

fn variable(flag: &str) -> String {
    format!("{PREFIX}{}", flag.replace('-', "_").to_uppercase())
}
