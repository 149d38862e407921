//! Max-min fair shares of engine time among workspaces.

use stallhoist_core::EngineTime;
use stallhoist_core::MonoTime;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::overload::FairShares;
use stallhoist_policy::overload::ShareStatus;
use stallhoist_policy::overload::WorkspaceKey;
use stallhoist_policy::overload::WorkspaceUse;
use stallhoist_policy::overload::fair_share;

use super::at_ms;

fn time(millis: f64) -> EngineTime {
    EngineTime::from_millis(millis)
}

fn key(name: &str) -> WorkspaceKey {
    WorkspaceKey::of(&name.parse::<WorkspaceName>().expect("a name"))
}

/// Shares in which each workspace asked for the first time, of which the second was sent.
fn shares(now: MonoTime, workspaces: &[(&str, f64, f64)]) -> FairShares {
    let mut shares = FairShares::default();
    for (name, asked_ms, sent_ms) in workspaces {
        shares.record_asked(now, key(name), time(*asked_ms));
        shares.record_sent(now, key(name), time(*sent_ms));
    }
    shares
}

macro_rules! share_case {
    ($name:ident, $capacity_ms:expr, $demands_ms:expr, $expected_ms:expr) => {
        #[test]
        fn $name() {
            let share = fair_share(time($capacity_ms), $demands_ms.map(time));
            assert_eq!(share, $expected_ms.map(time));
        }
    };
}

share_case!(demands_that_fit_have_no_limit, 60.0, [10.0, 20.0, 30.0], None::<f64>);
share_case!(equal_demands_get_equal_shares, 30.0, [20.0, 20.0, 20.0], Some(10.0));
share_case!(small_demands_are_met_and_their_rest_is_lent, 100.0, [10.0, 200.0, 20.0], Some(70.0));
share_case!(nothing_is_divided_into_nothing, 0.0, [10.0, 10.0], Some(0.0));
share_case!(without_demands_there_is_no_limit, 10.0, [0.0; 0], None::<f64>);

#[test]
fn a_workspace_at_ten_times_its_usual_is_over_its_share_and_no_other() {
    let now = at_ms(0);
    let mut shares =
        shares(now, &[("large", 1_000.0, 500.0), ("a", 100.0, 90.0), ("b", 100.0, 90.0)]);
    let ShareStatus::Over { relative_use } = shares.status(now, key("large"), false) else {
        panic!("the large workspace is within its share");
    };
    assert!((1.03..1.05).contains(&relative_use), "{relative_use}");
    for name in ["a", "b", "unknown"] {
        assert_eq!(shares.status(now, key(name), false), ShareStatus::Within, "{name}");
    }
}

#[test]
fn while_there_is_room_no_workspace_has_a_limit() {
    let now = at_ms(0);
    let mut shares = shares(now, &[("large", 1_000.0, 500.0), ("a", 100.0, 90.0)]);
    assert_eq!(shares.status(now, key("large"), true), ShareStatus::Within);
}

#[test]
fn a_workspace_alone_may_use_everything() {
    let now = at_ms(0);
    let mut shares = shares(now, &[("large", 10_000.0, 500.0)]);
    assert_eq!(shares.status(now, key("large"), false), ShareStatus::Within);
}

#[test]
fn use_at_other_gateways_counts() {
    let now = at_ms(0);
    let mut shares = shares(now, &[("large", 100.0, 60.0), ("a", 100.0, 60.0)]);
    assert_eq!(shares.status(now, key("large"), false), ShareStatus::Within);
    let elsewhere = WorkspaceUse { asked_ms: 2_000, sent_ms: 600 };
    for host in ["one", "two"] {
        let host = host.parse().expect("a name");
        shares.apply_peer_update(now, host, [(key("large"), elsewhere)]);
    }
    let later = at_ms(200);
    assert!(!shares.status(later, key("large"), false).is_within());
    assert!(shares.status(later, key("a"), false).is_within());
}

#[test]
fn use_at_a_gateway_that_is_gone_is_forgotten() {
    let mut shares = shares(at_ms(0), &[("large", 100.0, 60.0), ("a", 100.0, 60.0)]);
    let elsewhere = WorkspaceUse { asked_ms: 2_000, sent_ms: 600 };
    let host = "one".parse().expect("a name");
    shares.apply_peer_update(at_ms(0), host, [(key("large"), elsewhere)]);
    assert!(!shares.status(at_ms(0), key("large"), false).is_within());
    shares.expire(at_ms(1_000));
    assert!(shares.status(at_ms(1_000), key("large"), false).is_within());
}

#[test]
fn a_workspace_is_within_its_share_seconds_after_its_burst() {
    let mut shares = shares(at_ms(0), &[("large", 1_000.0, 500.0)]);
    for second in 0..10 {
        shares.record_asked(at_ms(second * 1_000), key("a"), time(100.0));
        shares.record_sent(at_ms(second * 1_000), key("a"), time(60.0));
    }
    assert!(shares.status(at_ms(9_000), key("large"), false).is_within());
}

#[test]
fn the_number_of_workspaces_is_bounded() {
    let mut shares = FairShares::default();
    for i in 0..10_000_u32 {
        let workspace = WorkspaceKey(u64::from(i));
        shares.record_asked(at_ms(0), workspace, time(f64::from(i)));
    }
    assert_eq!(shares.local_use(at_ms(0)).count(), 64);
    assert!(shares.local_use(at_ms(0)).any(|(workspace, _)| workspace == WorkspaceKey(9_998)));
}

#[test]
fn a_peer_cannot_claim_more_than_the_bounds() {
    let mut shares = FairShares::default();
    let host: stallhoist_core::HostId = "one".parse().expect("a name");
    let all = WorkspaceUse { asked_ms: u32::MAX, sent_ms: u32::MAX };
    shares.apply_peer_update(at_ms(0), host, (0..1_000).map(|i| (WorkspaceKey(i), all)));
    let told = shares.use_of_group(at_ms(0), |_| true);
    assert_eq!(told.len(), 64);
    assert!(told.values().all(|told| told.asked_ms < u32::MAX / 64));
}
