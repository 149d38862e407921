//! Which version each session stays on.

use std::time::Duration;

use stallhoist_core::ServiceName;
use stallhoist_core::VersionName;
use stallhoist_gateway::sessions::PinnedSession;
use stallhoist_gateway::sessions::SessionKey;
use stallhoist_gateway::sessions::SessionScope;
use stallhoist_gateway::sessions::Sessions;

use super::at_ms;

// An entry that others asked directly, while those that follow the store did not answer, was told
// its own session back, with an idle time rounded to milliseconds. It then held the session for
// one that only others had served, and told nobody of it any more.
#[test]
fn an_entry_goes_on_telling_of_a_session_that_is_told_back_to_it() {
    let service: ServiceName = "s".parse().expect("a name");
    let (old, new): (VersionName, VersionName) =
        ("v1".parse().expect("a name"), "v2".parse().expect("a name"));
    let key = SessionKey(7);
    let mut sessions = Sessions::new(Duration::from_secs(60));
    sessions.record_use(at_ms(1_000), &service, key, &old);
    let told_back = PinnedSession {
        key,
        service: service.clone(),
        version: old,
        idle: Duration::from_millis(499),
    };
    sessions.apply_peer_update(at_ms(1_500), told_back);
    let kept = sessions.pinned_away_from(at_ms(1_600), &service, &new, 0.03, SessionScope::Local);
    assert_eq!(kept.len(), 1, "it is still this entry's to tell");
}
