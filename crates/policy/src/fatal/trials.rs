//! Trials of quarantined requests, and the rows of the store that count them.

use std::collections::BTreeSet;

use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;
use stallhoist_core::StoreVersion;

use super::Disposition;
use super::FatalChange;
use super::FatalRecord;
use super::FatalRequests;
use super::record::Record;
use super::record::Row;
use super::request_state::HeldBack;
use super::request_state::RequestState;

impl FatalRequests {
    /// Begins a trial at this gateway. Returns the write that the store must accept; none if no trial
    /// may begin now.
    pub fn begin_trial(
        &mut self,
        now: MonoTime,
        request: RequestFingerprint,
    ) -> Option<FatalChange> {
        if self.disposition(now, request) != Disposition::MayTry {
            return None;
        }
        let record = self.records.get_mut(&request)?;
        let trying = record.state.quarantined()?.begin_trial(now, &self.config);
        record.state = RequestState::Trying(trying);
        let stored = FatalRecord { tries: trying.held().tries(), ends: record.crash_count_u32() };
        let expected = record.row.map(|row| row.version);
        Some(FatalChange { expected, record: Some(stored) })
    }

    /// Ends a trial, also if the store rejected it. A trial with a result has recorded that before.
    pub fn end_trial(&mut self, now: MonoTime, request: RequestFingerprint) {
        if let Some(record) = self.records.get_mut(&request)
            && let RequestState::Trying(trying) = record.state
        {
            record.state = RequestState::HeldBack(trying.end(now));
        }
    }

    /// Applies a stored record: the request is quarantined. A request that was cleared here stays
    /// cleared, as its row is about to be removed.
    pub fn stored(
        &mut self,
        now: MonoTime,
        request: RequestFingerprint,
        version: StoreVersion,
        stored: FatalRecord,
    ) {
        let record = self.records.entry(request).or_insert_with(|| Record::new(now));
        record.row = Some(Row { version, tries: stored.tries });
        match record.state {
            RequestState::Cleared(_) => {}
            RequestState::Trying(trying) if trying.held().tries() >= stored.tries => {}
            state => {
                // The result of a local trial may be ahead of the row.
                let known = state.quarantined().map_or(0, HeldBack::tries);
                let tries = known.max(stored.tries);
                record.state = RequestState::HeldBack(HeldBack::stored(now, tries));
            }
        }
        self.reassess(now, vec![request]);
    }

    /// Applies the removal of a row: the request had a complete response, or an operator removed the
    /// row.
    pub fn unstored(&mut self, now: MonoTime, request: RequestFingerprint) {
        if let Some(record) = self.records.get_mut(&request)
            && record.row.take().is_some()
        {
            self.answered(now, request);
        }
    }

    /// Applies a complete read of the store at a version: it has rows of these requests only. If the
    /// store was restored from a copy in between, the other requests stay quarantined and are to be
    /// stored again.
    pub fn retain_stored(
        &mut self,
        now: MonoTime,
        version: StoreVersion,
        stored: &BTreeSet<RequestFingerprint>,
    ) {
        let mut unstored = Vec::new();
        for (request, record) in &mut self.records {
            let Some(row) = record.row.filter(|_| !stored.contains(request)) else {
                continue;
            };
            if row.version.era < version.era {
                record.row = None;
            } else {
                unstored.push(*request);
            }
        }
        for request in unstored {
            self.unstored(now, request);
        }
    }
}
