//! Which version each session was answered by, so that a roll-out does not change it
//! within a session, also when the session goes on at another entry.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::VersionName;
use xxhash_rust::xxh3::xxh3_64;

/// When so many sessions are remembered, those that have ended are dropped. Those that have
/// not are kept, however many they are.
const CLEAN_UP_FROM: usize = 20_000;

/// The most sessions that are shared with another entry at once, those used last: 3 kB.
const MAX_SHARED: usize = 200;

/// Stands for a session: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SessionKey(pub u64);

impl SessionKey {
    /// The key of a session's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// A number from 0 to 1 that is the same on all entries.
    pub fn unit(self) -> f64 {
        self.0 as f64 / u64::MAX as f64
    }
}

/// A session that stays on a version, as entries tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PinnedSession {
    /// The session.
    pub key: SessionKey,
    /// The service that it asks.
    pub service: ServiceName,
    /// The version that answered it.
    pub version: VersionName,
    /// For how long it has asked nothing.
    pub idle: Duration,
}

/// Which sessions are shared with another entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionScope {
    /// Those that this entry has served.
    Local,
    /// Those that others have told of as well.
    All,
}

#[derive(Debug)]
struct Kept {
    version: VersionName,
    last_used: MonoTime,
    is_own: bool,
}

/// Which version each session was answered by, here or at another entry.
#[derive(Debug)]
pub struct Sessions {
    lifetime: Duration,
    by_session: HashMap<(ServiceName, SessionKey), Kept>,
}

impl Sessions {
    /// Sessions that end when nothing is asked for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self { lifetime, by_session: HashMap::new() }
    }

    /// The version that a session was answered by.
    pub fn version(
        &self,
        now: MonoTime,
        service: &ServiceName,
        key: SessionKey,
    ) -> Option<VersionName> {
        let kept = self.by_session.get(&(service.clone(), key))?;
        (now.since(kept.last_used) < self.lifetime).then(|| kept.version.clone())
    }

    /// A request of a session went to a version.
    pub fn record_use(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        key: SessionKey,
        version: &VersionName,
    ) {
        let kept = Kept { version: version.clone(), last_used: now, is_own: true };
        self.keep(now, service, key, kept);
    }

    /// Another entry tells of a session. What this entry knows of later use goes before.
    pub fn apply_peer_update(&mut self, now: MonoTime, told: PinnedSession) {
        let last_used = now.before(told.idle);
        let known = self.by_session.get(&(told.service.clone(), told.key));
        if known.is_some_and(|known| known.last_used >= last_used) {
            return;
        }
        // One that was served here stays this entry's to tell: it may be told back, and its idle
        // time is rounded.
        let is_own = known.is_some_and(|known| known.is_own && known.version == told.version);
        let kept = Kept { version: told.version, last_used, is_own };
        self.keep(now, &told.service, told.key, kept);
    }

    /// The sessions of a service that would go to the `target` of a roll-out by their hash,
    /// as they are below `share`, but have been answered by another version: other entries
    /// must know of them, as a session may go on there. The ones used last come first.
    pub fn pinned_away_from(
        &self,
        now: MonoTime,
        service: &ServiceName,
        target: &VersionName,
        share: f64,
        scope: SessionScope,
    ) -> Vec<PinnedSession> {
        let is_kept = |(of, key): &(ServiceName, SessionKey), kept: &Kept| {
            of == service
                && key.unit() < share
                && kept.version != *target
                && (kept.is_own || scope == SessionScope::All)
                && now.since(kept.last_used) < self.lifetime
        };
        let kept = self.by_session.iter().filter(|(key, kept)| is_kept(key, kept));
        let mut kept: Vec<_> = kept
            .map(|((service, key), kept)| PinnedSession {
                key: *key,
                service: service.clone(),
                version: kept.version.clone(),
                idle: now.since(kept.last_used),
            })
            .collect();
        kept.sort_by_key(|kept| (kept.idle, kept.key.0));
        kept.truncate(MAX_SHARED);
        kept
    }

    /// How many are known that only other entries have served.
    pub fn count_from_peers(&self) -> usize {
        self.by_session.values().filter(|kept| !kept.is_own).count()
    }

    fn keep(&mut self, now: MonoTime, service: &ServiceName, key: SessionKey, kept: Kept) {
        if self.by_session.len() >= CLEAN_UP_FROM {
            let lifetime = self.lifetime;
            self.by_session.retain(|_, kept| now.since(kept.last_used) < lifetime);
        }
        self.by_session.insert((service.clone(), key), kept);
    }
}
