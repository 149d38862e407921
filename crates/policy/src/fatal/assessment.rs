//! Decides which subjects are quarantined, from the known crashes.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;

use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;

use super::FatalConfig;
use super::FatalSubjects;
use super::ResponsePhase;
use super::record::Crash;
use super::record::Record;
use super::subject_state::SubjectState;
use super::subject_state::Suspect;
use super::weight::WeighedCrash;
use super::weight::WeighedCrashes;
use super::weight::Weight;
use crate::balance::UpstreamKey;

/// How likely a subject is the cause of the crashes that it has in common with another one: the more its crashes weigh,
/// less for a part that is known to be sound; of as many, a request rather than a part, as the other requests with the
/// part may all be sound.
type Rank = (Weight, bool);

/// A subject with enough crashes to be the cause.
#[derive(Debug)]
struct Candidate {
    subject: CrashSubject,
    rank: Rank,
    crashes: WeighedCrashes,
    /// What its crashes must weigh, if it is a part.
    needed: Weight,
}

/// The crashes that quarantined subjects explain: by which rank, and what each weighs against that subject.
#[derive(Debug, Default)]
struct Explanations(HashMap<UpstreamKey, Vec<(Rank, Weight)>>);

impl Explanations {
    fn add(&mut self, candidate: &Candidate) {
        for crash in candidate.crashes.iter() {
            self.0.entry(crash.upstream).or_default().push((candidate.rank, crash.weight));
        }
    }

    /// Whether a crash is explained by a subject of a higher rank: unless it weighs less against that one, which may
    /// have waited there by chance.
    fn explain(&self, crash: &WeighedCrash, rank: Rank) -> bool {
        let others = self.0.get(&crash.upstream).into_iter().flatten();
        let mut others = others.filter(|(other, _)| *other > rank);
        others.any(|(_, weight)| *weight >= crash.weight)
    }
}

impl FatalSubjects {
    /// Assesses all subjects, those first that are most likely the cause: these explain crashes of the others.
    ///
    /// The result depends on the known crashes only, so that gateways that learn of them in a different order reach the
    /// same. It takes time in proportion to the number of known crashes.
    pub(super) fn reassess(&mut self, now: MonoTime) {
        let mut explanations = Explanations::default();
        for candidate in self.candidates(now) {
            let is_fatal = self.is_fatal(&candidate, &explanations);
            let subject = candidate.subject;
            let Some(record) = self.records.get_mut(&subject) else {
                continue;
            };
            match record.state {
                SubjectState::Suspect(suspect) if is_fatal => {
                    record.state = SubjectState::HeldBack(suspect.hold(now));
                    self.quarantined.push(subject);
                }
                // A stored quarantine was agreed with peers, which may know crashes that this gateway
                // doesn't.
                SubjectState::HeldBack(_) if !is_fatal && record.row.is_none() => {
                    record.state = SubjectState::Suspect(Suspect);
                }
                _ => {}
            }
            if record.state.quarantined().is_some() {
                explanations.add(&candidate);
            }
        }
    }

    /// The subjects that may have to be quarantined or released, by rank.
    fn candidates(&self, now: MonoTime) -> Vec<Candidate> {
        let is_candidate = |record: &Record| {
            record.crash_count() >= self.config.quarantine_threshold
                || record.state.quarantined().is_some()
        };
        let records = self.records.iter().filter(|(_, record)| is_candidate(record));
        let records: Vec<_> = records.collect();
        if records.is_empty() {
            return Vec::new();
        }
        let begun = self.begun_upstreams();
        let candidates = records.into_iter().map(|(subject, record)| {
            let crashes = weighed_crashes(*subject, record, &begun);
            let needed = self.needed_weight(now, *subject);
            let weight = crashes.weight().relative_to(needed, self.config.part_weight);
            let rank = (weight, !subject.is_part());
            Candidate { subject: *subject, rank, crashes, needed }
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_unstable_by_key(|candidate| (Reverse(candidate.rank), candidate.subject));
        candidates
    }

    /// Whether the crashes of a subject that others don't explain prove enough.
    ///
    /// For a request one unexplained crash is enough: a second fatal request that first ran together with a known one
    /// would otherwise cause three more crashes. A sound part may be in each request of a fatal one, so that its other
    /// crashes are chance. And when many upstreams crash at once for another reason, common parts are on all of them.
    fn is_fatal(&self, candidate: &Candidate, explanations: &Explanations) -> bool {
        let Candidate { subject, rank, crashes, needed } = candidate;
        let is_unexplained = |crash: &WeighedCrash| !explanations.explain(crash, *rank);
        let threshold = self.config.quarantine_threshold;
        if !subject.is_part() {
            return crashes.len() >= threshold && crashes.iter().any(is_unexplained);
        }
        let mut own = WeighedCrashes::of(crashes.iter().copied());
        own.retain(is_unexplained);
        own.weight() >= *needed && own.occasions(self.config.crash_spacing) >= threshold
    }

    fn needed_weight(&self, now: MonoTime, subject: CrashSubject) -> Weight {
        let FatalConfig { part_weight, known_part_weight, survival_memory, .. } = self.config;
        match subject {
            CrashSubject::Part(part) if self.survivals.has_survived(now, part, survival_memory) => {
                known_part_weight
            }
            CrashSubject::Part(_) | CrashSubject::Request(_) => part_weight,
        }
    }

    /// The upstreams that crashed when they had just begun a response: what merely waited there is not the cause.
    fn begun_upstreams(&self) -> HashSet<UpstreamKey> {
        let parts = self.records.iter().filter(|(subject, _)| subject.is_part());
        let crashes = parts.flat_map(|(_, record)| record.crashes());
        let begun =
            crashes.filter(|(_, crash)| crash.counts && crash.phase == ResponsePhase::Begun);
        begun.map(|(upstream, _)| upstream).collect()
    }
}

/// The crashes that count against a subject, and what each weighs.
fn weighed_crashes(
    subject: CrashSubject,
    record: &Record,
    begun: &HashSet<UpstreamKey>,
) -> WeighedCrashes {
    let crashes = record.crashes().filter(|(_, crash)| crash.counts);
    if !subject.is_part() {
        let weight = Weight::OF_REQUEST;
        let weigh = |(upstream, crash): (_, Crash)| WeighedCrash { at: crash.at, upstream, weight };
        return WeighedCrashes::of(crashes.map(weigh));
    }
    WeighedCrashes::of(crashes.filter_map(|(upstream, crash)| {
        let yields = crash.phase == ResponsePhase::Awaited && begun.contains(&upstream);
        let weight = Weight::of_phase(crash.phase);
        (!yields).then_some(WeighedCrash { at: crash.at, upstream, weight })
    }))
}
