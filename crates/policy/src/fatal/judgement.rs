//! Which requests are held back, by the ends that are known.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;

use super::FatalRequests;
use super::standing::Standing;
use super::standing::Suspect;
use crate::balance::UpstreamKey;

impl FatalRequests {
    /// Judges requests and all that is concerned by what they are: those that ran beside them, those
    /// that ran beside these, and so on. So entries that hear of the same ends in another order
    /// come to the same.
    ///
    /// Only those with enough ends to be held back are concerned, as only what is held back explains
    /// anything; the others are many, in a time of many ends. Those with the most ends come first, as
    /// what they are explains the ends of the others.
    pub(super) fn judge_around(&mut self, now: MonoTime, mut open: Vec<RequestFingerprint>) {
        let mut concerned: BTreeMap<_, _> = BTreeMap::new();
        while let Some(request) = open.pop() {
            let Some(record) = self.records.get(&request) else {
                continue;
            };
            let count = record.count();
            let is_held = record.standing.held().is_some();
            let is_concerned = is_held || count >= self.config.quarantine_threshold;
            if !is_concerned || concerned.insert(request, count).is_some() {
                continue;
            }
            let beside = record.counted().filter_map(|upstream| self.beside.get(&upstream));
            open.extend(beside.flatten().filter(|other| !concerned.contains_key(*other)));
        }
        let mut concerned: Vec<_> = concerned.into_iter().collect();
        concerned.sort_by_key(|(_, count)| Reverse(*count));
        for (request, _) in concerned {
            self.judge(now, request);
        }
    }

    fn judge(&mut self, now: MonoTime, request: RequestFingerprint) {
        let is_fatal = self.is_fatal(request);
        let Some(record) = self.records.get_mut(&request) else {
            return;
        };
        match record.standing {
            Standing::Suspect(suspect) if is_fatal => {
                record.standing = Standing::HeldBack(suspect.hold(now));
            }
            // What is in the store was learnt by others as well, and is theirs to judge.
            Standing::HeldBack(_) if !is_fatal && record.row.is_none() => {
                record.standing = Standing::Suspect(Suspect);
            }
            _ => {}
        }
    }

    /// Whether enough upstreams have ended under a request, not all of them by another.
    ///
    /// One end that nothing explains is enough then: a second fatal request that at first ran beside
    /// the first one would have three more ends otherwise.
    fn is_fatal(&self, request: RequestFingerprint) -> bool {
        let Some(record) = self.records.get(&request) else {
            return false;
        };
        let count = record.count();
        let is_open = |upstream| !self.is_explained(request, count, upstream);
        count >= self.config.quarantine_threshold && record.counted().any(is_open)
    }

    /// Whether another request is known to have ended an upstream: one that is held back, with
    /// more ends than the one that is judged.
    fn is_explained(&self, judged: RequestFingerprint, ends: usize, upstream: UpstreamKey) -> bool {
        let others = self.beside.get(&upstream).into_iter().flatten();
        let mut others = others.filter(|other| **other != judged);
        others.any(|other| {
            let record = self.records.get(other);
            record.is_some_and(|record| record.standing.held().is_some() && record.count() > ends)
        })
    }
}
