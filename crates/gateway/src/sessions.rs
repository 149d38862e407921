//! Tracks the version that served each session, so that a rollout does not change it within a
//! session, even if the session moves to another gateway.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::VersionName;
use xxhash_rust::xxh3::xxh3_64;

/// Number of sessions from which expired ones are dropped. Others are kept, whatever their number.
const CLEANUP_THRESHOLD: usize = 20_000;

/// Maximum number of sessions sent to a peer at once, the most recently used ones: 3 kB.
const MAX_SHARED: usize = 200;

/// Identifies a session by a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SessionKey(pub u64);

impl SessionKey {
    /// The key of a session's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// A number from 0 to 1 that is the same on all gateways.
    pub fn unit(self) -> f64 {
        self.0 as f64 / u64::MAX as f64
    }
}

/// A session that stays on a version, as exchanged between gateways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PinnedSession {
    /// The session.
    pub key: SessionKey,
    /// The service that it uses.
    pub service: ServiceName,
    /// The version that served it.
    pub version: VersionName,
    /// Time since its last request.
    pub idle: Duration,
}

/// Which sessions are sent to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionScope {
    /// Those that this gateway has served.
    Local,
    /// Also those received from peers.
    All,
}

#[derive(Debug)]
struct SessionPin {
    version: VersionName,
    last_used: MonoTime,
    is_local: bool,
}

/// The version that served each session, here or at another gateway.
#[derive(Debug)]
pub struct Sessions {
    lifetime: Duration,
    by_session: HashMap<(ServiceName, SessionKey), SessionPin>,
}

impl Sessions {
    /// Creates a store of sessions that expire after `lifetime` without a request.
    pub fn new(lifetime: Duration) -> Self {
        Self { lifetime, by_session: HashMap::new() }
    }

    /// The version that served a session.
    pub fn version(
        &self,
        now: MonoTime,
        service: &ServiceName,
        key: SessionKey,
    ) -> Option<VersionName> {
        let pin = self.by_session.get(&(service.clone(), key))?;
        (now.since(pin.last_used) < self.lifetime).then(|| pin.version.clone())
    }

    /// Records that a request of a session went to a version.
    pub fn record_use(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        key: SessionKey,
        version: &VersionName,
    ) {
        let pin = SessionPin { version: version.clone(), last_used: now, is_local: true };
        self.insert(now, service, key, pin);
    }

    /// Merges a session received from a peer. Later use known locally takes precedence.
    pub fn apply_peer_update(&mut self, now: MonoTime, update: PinnedSession) {
        let last_used = now.before(update.idle);
        let known = self.by_session.get(&(update.service.clone(), update.key));
        if known.is_some_and(|known| known.last_used >= last_used) {
            return;
        }
        // A session served here remains local: a peer may send it back with a rounded idle time.
        let is_local = known.is_some_and(|known| known.is_local && known.version == update.version);
        let pin = SessionPin { version: update.version, last_used, is_local };
        self.insert(now, &update.service, update.key, pin);
    }

    /// The sessions of a service whose hash is below `share`, so that they would go to the `target`
    /// of a rollout, but which another version served. Peers must know them, as a session may move
    /// there. Most recently used first.
    pub fn pinned_away_from(
        &self,
        now: MonoTime,
        service: &ServiceName,
        target: &VersionName,
        share: f64,
        scope: SessionScope,
    ) -> Vec<PinnedSession> {
        let is_pinned_away = |(of, key): &(ServiceName, SessionKey), pin: &SessionPin| {
            of == service
                && key.unit() < share
                && pin.version != *target
                && (pin.is_local || scope == SessionScope::All)
                && now.since(pin.last_used) < self.lifetime
        };
        let pins = self.by_session.iter().filter(|(key, pin)| is_pinned_away(key, pin));
        let mut pins: Vec<_> = pins
            .map(|((service, key), pin)| PinnedSession {
                key: *key,
                service: service.clone(),
                version: pin.version.clone(),
                idle: now.since(pin.last_used),
            })
            .collect();
        pins.sort_by_key(|pin| (pin.idle, pin.key.0));
        pins.truncate(MAX_SHARED);
        pins
    }

    /// Number of sessions that only other gateways have served.
    pub fn count_from_peers(&self) -> usize {
        self.by_session.values().filter(|pin| !pin.is_local).count()
    }

    fn insert(&mut self, now: MonoTime, service: &ServiceName, key: SessionKey, pin: SessionPin) {
        if self.by_session.len() >= CLEANUP_THRESHOLD {
            let lifetime = self.lifetime;
            self.by_session.retain(|_, pin| now.since(pin.last_used) < lifetime);
        }
        self.by_session.insert((service.clone(), key), pin);
    }
}
