//! Collecting what is wrong with values that parsed.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// A section that checks its own values.
pub trait Validate {
    /// Says all that is wrong.
    fn check(&self, problems: &mut Problems);
}

/// What is wrong so far, by key.
#[derive(Debug, Default)]
pub struct Problems {
    section: Vec<&'static str>,
    found: Vec<(String, String)>,
}

impl Problems {
    /// Checks a section under its key.
    pub fn section(&mut self, key: &'static str, section: &impl Validate) {
        self.section.push(key);
        section.check(self);
        self.section.pop();
    }

    /// Says that the value of a key is wrong.
    pub fn add(&mut self, key: &str, message: impl Into<String>) {
        let mut path: Vec<&str> = self.section.clone();
        path.push(key);
        self.found.push((path.join("."), message.into()));
    }

    /// Says so when a number is out of its range.
    pub fn range<T: PartialOrd + Display>(
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

    /// Says so when a text is empty.
    pub fn not_empty(&mut self, key: &str, text: &str) {
        if text.is_empty() {
            self.add(key, "must not be empty");
        }
    }

    /// Says so when a text is no IP address with a port.
    pub fn address(&mut self, key: &str, text: &str) {
        if text.parse::<SocketAddr>().is_err() {
            self.add(key, "must be an IP address with a port, as in 10.0.0.7:7000");
        }
    }

    /// Says so when a text is no HTTP address by IP number.
    pub fn http_url(&mut self, key: &str, text: &str) {
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
