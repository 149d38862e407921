//! The version of the platform's store.

use std::fmt;

use crate::StoreEra;

/// The version of the platform's store at some moment. It grows with each write.
///
/// Numbers can only be compared within one era: a store restored from a copy assigns numbers again that
/// it had assigned to other writes. A version of a later era is therefore later, whatever its number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StoreVersion {
    /// The era in which the store assigned the number; 0 where the store did not report it.
    pub era: StoreEra,
    /// The number within that era.
    pub number: u64,
}

impl StoreVersion {
    /// Creates a version whose era is unknown.
    pub fn of(number: u64) -> Self {
        Self { era: StoreEra::default(), number }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
