//! The version of the platform's store.

use std::fmt;

use crate::StoreEra;

/// The version of the platform's store at some moment. It grows with each write.
///
/// Numbers alone say nothing across eras: when the store comes back from a copy, it gives numbers out
/// again that it had given to other writes. So a version of a later era is later, whatever its number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StoreVersion {
    /// The era of the store that gave the number out; 0 where that was not told.
    pub era: StoreEra,
    /// Its number in that era.
    pub number: u64,
}

impl StoreVersion {
    /// A version of an era that is not known.
    pub fn of(number: u64) -> Self {
        Self { era: StoreEra::default(), number }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
