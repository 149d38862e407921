//! Which version each session was answered by.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::VersionName;

/// The most sessions that are remembered; when there are more, those that ended are
/// dropped first.
const MAX_SESSIONS: usize = 20_000;

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
        if self.by_session.len() >= MAX_SESSIONS {
            let lifetime = self.lifetime;
            self.by_session.retain(|_, kept| now.since(kept.last_used) < lifetime);
        }
        let kept = Kept { version: version.clone(), last_used: now };
        self.by_session.insert((service.clone(), session.to_owned()), kept);
    }
}
