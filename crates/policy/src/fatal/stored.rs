//! What the store has of requests that are held back, and what it should have.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;

use super::FatalChange;
use super::FatalRecord;
use super::FatalRequests;
use super::record::Record;
use super::record::Row;
use super::standing::HeldBack;
use super::standing::Standing;

impl FatalRequests {
    /// All that the store should have otherwise. Those that are held back for less than `settled`
    /// are left out: news that explain their ends may be on their way.
    pub fn changes(
        &self,
        now: MonoTime,
        settled: Duration,
    ) -> Vec<(RequestFingerprint, FatalChange)> {
        let change = |(request, record): (&RequestFingerprint, &Record)| {
            let wanted = match record.standing {
                Standing::HeldBack(held) => {
                    if !self.is_storing_due(now, settled, record.row, held) {
                        return None;
                    }
                    Some(FatalRecord { tries: held.tries(), ends: record.count_u32() })
                }
                Standing::Cleared(_) if record.row.is_some() => None,
                Standing::Cleared(_) | Standing::Suspect(_) | Standing::Trying(_) => return None,
            };
            let expected = record.row.map(|row| row.version);
            Some((*request, FatalChange { expected, record: wanted }))
        };
        self.records.iter().filter_map(change).collect()
    }

    /// Whether the store is to be told of a request that is held back: for the first time, or that
    /// it is not to be tried any more.
    fn is_storing_due(
        &self,
        now: MonoTime,
        settled: Duration,
        row: Option<Row>,
        held: HeldBack,
    ) -> bool {
        match row {
            None => now.since(held.since()) >= settled,
            Some(row) => row.tries < held.tries() && held.due(&self.config).is_none(),
        }
    }
}
