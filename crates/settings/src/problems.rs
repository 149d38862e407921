//! Validation of values that parsed, and collection of the problems found.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// A settings section that validates its own values.
pub trait Validate {
    /// Adds every invalid value to `problems`.
    fn validate(&self, problems: &mut Problems);
}

/// The problems found so far, each with the path of its key.
#[derive(Debug, Default)]
pub struct Problems {
    section: Vec<&'static str>,
    found: Vec<(String, String)>,
}

impl Problems {
    /// Validates a nested section; its problems are reported under `key`.
    pub fn check_section(&mut self, key: &'static str, section: &impl Validate) {
        self.section.push(key);
        section.validate(self);
        self.section.pop();
    }

    /// Reports that the value of a key of the current section is invalid.
    pub fn add(&mut self, key: &str, message: impl Into<String>) {
        let mut path: Vec<&str> = self.section.clone();
        path.push(key);
        self.found.push((path.join("."), message.into()));
    }

    /// Reports a value outside its range.
    pub fn check_range<T: PartialOrd + Display>(
        &mut self,
        key: &str,
        value: T,
        range: RangeInclusive<T>,
    ) {
        if !range.contains(&value) {
            let message = format!("must be from {} to {}", range.start(), range.end());
            self.add(key, message);
        }
    }

    /// Reports an empty string.
    pub fn check_not_empty(&mut self, key: &str, text: &str) {
        if text.is_empty() {
            self.add(key, "must not be empty");
        }
    }

    /// Reports a string that isn't an IP address with a port.
    pub fn check_address(&mut self, key: &str, text: &str) {
        if text.parse::<SocketAddr>().is_err() {
            self.add(key, "must be an IP address with a port, as in 10.0.0.7:7000");
        }
    }

    /// Reports a string that isn't an `http://` URL of an IP address and a port.
    pub fn check_http_url(&mut self, key: &str, text: &str) {
        let rest = text.strip_prefix("http://").unwrap_or_default();
        if rest.trim_end_matches('/').parse::<SocketAddr>().is_err() {
            self.add(
                key,
                "must be http:// with an IP address and a port, as in http://10.0.0.7:8000",
            );
        }
    }

    pub(crate) fn into_found(self) -> Vec<(String, String)> {
        self.found
    }
}
