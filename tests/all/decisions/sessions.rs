//! Which version each session stays on.

use std::time::Duration;

use stallhoist_core::ServiceName;
use stallhoist_core::VersionName;
use stallhoist_gateway::sessions::PinnedSession;
use stallhoist_gateway::sessions::SessionKey;
use stallhoist_gateway::sessions::SessionScope;
use stallhoist_gateway::sessions::Sessions;

use super::at_ms;

// Guards against a gateway that stops publishing a local session. While the gateways that follow the store
// do not respond, peers poll each other, and a gateway receives its own session back with an idle time
// rounded to milliseconds. That must not make it a session of a peer.
#[test]
fn a_local_session_that_a_peer_sends_back_stays_local() {
    let service: ServiceName = "s".parse().expect("a name");
    let (old, new): (VersionName, VersionName) =
        ("v1".parse().expect("a name"), "v2".parse().expect("a name"));
    let key = SessionKey(7);
    let mut sessions = Sessions::new(Duration::from_secs(60));
    sessions.record_use(at_ms(1_000), &service, key, &old);
    let sent_back = PinnedSession {
        key,
        service: service.clone(),
        version: old,
        idle: Duration::from_millis(499),
    };
    sessions.apply_peer_update(at_ms(1_500), sent_back);
    let kept = sessions.pinned_away_from(at_ms(1_600), &service, &new, 0.03, SessionScope::Local);
    assert_eq!(kept.len(), 1, "it is still a local session");
}
