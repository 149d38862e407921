//! One start of an upstream.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

use crate::InstanceId;
use crate::NameError;
use crate::NumberError;
use crate::StartTime;

/// What stands between the id and the time in a start's text; it is in no id.
const SEPARATOR: char = '@';

/// Why a text names no start.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub enum UpstreamIncarnationError {
    /// the id of a start: {0}
    Instance(NameError),
    /// the time of a start: {0}
    Started(NumberError),
}

/// One start of an upstream.
///
/// An upstream may start again under the id that it had. It then holds and knows nothing of
/// before, so everything that is believed of an upstream is kept by its start: what was
/// believed of an earlier one is simply not found for a later one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamIncarnation {
    /// The id that it has in the list of upstreams.
    pub instance: InstanceId,
    /// When it started, by its own clock, if it says so.
    pub started: Option<StartTime>,
}

impl UpstreamIncarnation {
    /// Whether this start is known to be later than another of the same upstream.
    pub fn is_later_than(&self, other: &Self) -> bool {
        self.instance == other.instance
            && matches!((self.started, other.started), (Some(own), Some(other)) if own > other)
    }
}

impl From<InstanceId> for UpstreamIncarnation {
    /// A start whose time is not known.
    fn from(instance: InstanceId) -> Self {
        Self { instance, started: None }
    }
}

impl fmt::Display for UpstreamIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started {
            Some(started) => write!(f, "{}{SEPARATOR}{started}", self.instance),
            None => self.instance.fmt(f),
        }
    }
}

impl FromStr for UpstreamIncarnation {
    type Err = UpstreamIncarnationError;

    fn from_str(text: &str) -> Result<Self, UpstreamIncarnationError> {
        let (instance, started) = match text.split_once(SEPARATOR) {
            Some((instance, started)) => (instance, Some(started)),
            None => (text, None),
        };
        let instance = instance.parse().map_err(UpstreamIncarnationError::Instance)?;
        let started =
            started.map(str::parse).transpose().map_err(UpstreamIncarnationError::Started)?;
        Ok(Self { instance, started })
    }
}
