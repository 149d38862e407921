//! Computes the changes to the stored records of quarantined requests.

use std::time::Duration;

use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;

use super::FatalChange;
use super::FatalRecord;
use super::FatalSubjects;
use super::record::Record;
use super::record::Row;
use super::subject_state::HeldBack;
use super::subject_state::SubjectState;

impl FatalSubjects {
    /// Changes that the store still needs. Requests that were quarantined less than `settled` ago are
    /// left out: peer updates that explain their crashes may be under way.
    pub fn changes(&self, now: MonoTime, settled: Duration) -> Vec<(CrashSubject, FatalChange)> {
        let change = |(subject, record): (&CrashSubject, &Record)| {
            let wanted = match record.state {
                SubjectState::HeldBack(held) => {
                    if !self.needs_storing(now, settled, record.row, held) {
                        return None;
                    }
                    Some(FatalRecord { tries: held.tries(), ends: record.crash_count_u32() })
                }
                SubjectState::Cleared(_) if record.row.is_some() => None,
                SubjectState::Cleared(_) | SubjectState::Suspect(_) | SubjectState::Trying(_) => {
                    return None;
                }
            };
            let expected = record.row.map(|row| row.version);
            Some((*subject, FatalChange { expected, record: wanted }))
        };
        self.records.iter().filter_map(change).collect()
    }

    /// Whether a quarantined subject must be written: because it isn't stored yet, or because it may
    /// not be tried any more.
    fn needs_storing(
        &self,
        now: MonoTime,
        settled: Duration,
        row: Option<Row>,
        held: HeldBack,
    ) -> bool {
        match row {
            None => now.since(held.since()) >= settled,
            Some(row) => row.tries < held.tries() && held.next_trial_at(&self.config).is_none(),
        }
    }
}
