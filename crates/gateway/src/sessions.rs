//! Which version each session was answered by.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::VersionName;

/// When so many sessions are remembered, those that have ended are dropped. Those that have
/// not are kept, however many they are.
const CLEAN_UP_FROM: usize = 20_000;

#[derive(Debug)]
struct Kept {
    version: VersionName,
    last_used: MonoTime,
}

/// Which version each session was answered by.
#[derive(Debug)]
pub(crate) struct Sessions {
    lifetime: Duration,
    by_session: HashMap<(ServiceName, String), Kept>,
}

impl Sessions {
    /// Sessions that end when nothing is asked for `lifetime`.
    pub(crate) fn new(lifetime: Duration) -> Self {
        Self { lifetime, by_session: HashMap::new() }
    }

    /// The version that a session was answered by.
    pub(crate) fn version(
        &self,
        now: MonoTime,
        service: &ServiceName,
        session: &str,
    ) -> Option<VersionName> {
        let kept = self.by_session.get(&(service.clone(), session.to_owned()))?;
        (now.since(kept.last_used) < self.lifetime).then(|| kept.version.clone())
    }

    /// A request of a session went to a version.
    pub(crate) fn used(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        session: &str,
        version: &VersionName,
    ) {
        if self.by_session.len() >= CLEAN_UP_FROM {
            let lifetime = self.lifetime;
            self.by_session.retain(|_, kept| now.since(kept.last_used) < lifetime);
        }
        let kept = Kept { version: version.clone(), last_used: now };
        self.by_session.insert((service.clone(), session.to_owned()), kept);
    }
}
