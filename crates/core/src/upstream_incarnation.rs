//! The identity of one run of an upstream's process.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

use crate::InstanceId;
use crate::NameError;
use crate::NumberError;
use crate::StartTime;

/// Separates the id from the start time in text form. Names cannot contain it.
const SEPARATOR: char = '@';

/// Why a text is not a valid incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub enum UpstreamIncarnationError {
    /// invalid upstream id: {0}
    Instance(NameError),
    /// invalid start time: {0}
    Started(NumberError),
}

/// One incarnation of an upstream: one run of its process.
///
/// An upstream may restart under the same id and then has lost all its state. State cached about
/// an upstream is therefore keyed by incarnation, so that state of an earlier incarnation is never
/// applied to a later one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamIncarnation {
    /// The id in the list of upstreams.
    pub instance: InstanceId,
    /// When it started, by its own clock, if it reports that.
    pub started: Option<StartTime>,
}

impl UpstreamIncarnation {
    /// Whether this incarnation is known to be later than `other`, of the same upstream.
    pub fn is_later_than(&self, other: &Self) -> bool {
        self.instance == other.instance
            && matches!((self.started, other.started), (Some(ours), Some(theirs)) if ours > theirs)
    }
}

impl From<InstanceId> for UpstreamIncarnation {
    /// Creates an incarnation whose start time is unknown.
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
