//! The directory of known upstreams.

use std::net::SocketAddr;

use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_gateway::members::Directory;
use stallhoist_gateway::members::Member;
use stallhoist_gateway::members::MemberState;
use stallhoist_gateway::members::Superseded;
use stallhoist_policy::cold::ReportedCold;

use super::at_ms;

fn member(name: &str, state: MemberState) -> Member {
    Member {
        start: name.parse().expect("a valid incarnation"),
        service: "s".parse().expect("a valid name"),
        addr: addr_of(name),
        zone: "z".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid name"),
        slots: 4,
        state,
        cold: ReportedCold::Unsaid,
    }
}

/// An address for each upstream, the same for all its incarnations.
fn addr_of(name: &str) -> SocketAddr {
    let instance = name.split('@').next().unwrap_or_default();
    let port = instance.bytes().map(u16::from).sum();
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn ready(name: &str) -> Member {
    member(name, MemberState::Ready)
}

/// The incarnations that are usable at a moment, optionally with those that are leaving.
fn names(directory: &Directory, ms: u64, with_leaving: bool) -> Vec<String> {
    let service: ServiceName = "s".parse().expect("a valid name");
    let members = directory.of_service(at_ms(ms), &service, with_leaving);
    members.map(|member| member.start.to_string()).collect()
}

#[test]
fn a_draining_upstream_is_leaving() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    directory.listed(at_ms(0), ready("b"));
    directory.listed(at_ms(100), member("a", MemberState::Draining));
    assert_eq!(names(&directory, 100, false), ["b"]);
    assert_eq!(names(&directory, 1_399, true), ["a", "b"]);
    assert_eq!(names(&directory, 1_400, true), ["b"]);
}

// A repeated announcement must not extend the grace period: the platform counts from the first.
#[test]
fn the_grace_period_begins_with_the_first_announcement() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    directory.listed(at_ms(100), member("a", MemberState::Draining));
    directory.listed(at_ms(900), member("a", MemberState::Draining));
    directory.gone(at_ms(1_200), &"a".parse().expect("a valid name"));
    assert_eq!(names(&directory, 1_399, true), ["a"]);
    assert_eq!(names(&directory, 1_400, true), Vec::<String>::new());
}

#[test]
fn an_upstream_whose_row_reappears_is_listed_again() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    directory.gone(at_ms(100), &"a".parse().expect("a valid name"));
    directory.listed(at_ms(500), ready("a"));
    assert!(!directory.expire(at_ms(5_000)));
    assert_eq!(names(&directory, 5_000, false), ["a"]);
}

#[test]
fn a_complete_list_drops_upstreams_not_in_it() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    directory.listed(at_ms(0), ready("b"));
    directory.replace(at_ms(100), vec![ready("b"), ready("c")]);
    assert_eq!(names(&directory, 100, false), ["b", "c"]);
    assert!(directory.expire(at_ms(1_400)));
    assert!(!directory.is_known(&"a".parse().expect("a valid name")));
}

#[test]
fn removal_of_an_unknown_row_has_no_effect() {
    let mut directory = Directory::default();
    directory.gone(at_ms(0), &"a".parse().expect("a valid name"));
    assert_eq!(directory.iter().count(), 0);
}

// An upstream may restart under the same id.
#[test]
fn a_later_incarnation_replaces_the_earlier_one() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a@1000"));
    directory.listed(at_ms(100), ready("a@2000"));
    assert_eq!(names(&directory, 100, true), ["a@2000"]);
    assert!(!directory.is_known(&start("a@1000")), "the earlier one is unknown");
}

#[test]
fn a_draining_incarnation_does_not_affect_a_later_one() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), member("a@1000", MemberState::Draining));
    directory.listed(at_ms(100), ready("a@2000"));
    directory.listed(at_ms(200), member("a@2000", MemberState::Draining));
    assert_eq!(names(&directory, 1_499, true), ["a@2000"], "1.3 s from its own announcement");
}

// The cause may be a delayed report, a copy from another gateway, or a change relative to an old list.
#[test]
fn a_late_row_of_an_earlier_incarnation_changes_nothing() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a@1000"));
    directory.listed(at_ms(100), ready("a@2000"));
    directory.listed(at_ms(200), ready("a@1000"));
    directory.listed(at_ms(300), member("a@1000", MemberState::Draining));
    assert_eq!(names(&directory, 300, false), ["a@2000"]);
    directory.replace(at_ms(400), vec![ready("a@1000")]);
    assert_eq!(names(&directory, 400, false), ["a@2000"]);
}

#[test]
fn an_earlier_incarnation_does_not_come_back_when_the_later_is_gone() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a@1000"));
    directory.listed(at_ms(100), ready("a@2000"));
    directory.gone(at_ms(200), &"a".parse().expect("a valid name"));
    directory.expire(at_ms(1_500));
    directory.listed(at_ms(1_600), ready("a@1000"));
    assert_eq!(names(&directory, 1_600, true), Vec::<String>::new());
    directory.gone(at_ms(5_000), &"a".parse().expect("a valid name"));
    directory.expire(at_ms(9_000));
    assert_eq!(names(&directory, 9_000, true), Vec::<String>::new(), "its row has lapsed");
}

// The clock of an upstream's host was set back before the upstream restarted, so its row persists.
#[test]
fn a_persistent_row_of_an_earlier_incarnation_is_accepted_later() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a@2000"));
    directory.listed(at_ms(1_000), ready("a@1000"));
    directory.listed(at_ms(4_000), ready("a@1000"));
    assert!(!directory.expire(at_ms(6_999)));
    assert_eq!(names(&directory, 6_999, false), ["a@2000"]);
    assert!(directory.expire(at_ms(7_000)));
    assert_eq!(names(&directory, 7_000, false), ["a@1000"]);
}

#[test]
fn a_row_that_lost_its_start_time_is_from_another_writer() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a@1000"));
    directory.listed(at_ms(0), ready("b@1000"));
    directory.listed(at_ms(100), ready("a"));
    assert_eq!(names(&directory, 100, true), ["b@1000"]);
}

#[test]
fn an_unreadable_row_removes_its_upstream() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    directory.listed(at_ms(0), ready("b"));
    directory.unreadable(at_ms(100), &"a".parse().expect("a valid name"));
    assert_eq!(names(&directory, 100, true), ["b"]);
    directory.listed(at_ms(200), ready("a"));
    assert_eq!(names(&directory, 200, true), ["a", "b"], "its row is readable again");
}

/// A superseded incarnation that had not announced its end.
fn unplanned(name: &str) -> Superseded {
    Superseded { start: start(name), is_planned: false }
}

fn start(name: &str) -> UpstreamIncarnation {
    name.parse().expect("a valid incarnation")
}

/// An upstream at the address of another.
fn in_place_of(other: &str, name: &str) -> Member {
    Member { addr: addr_of(other), ..ready(name) }
}

// Guards against delayed reports after a network partition: upstreams that restarted under new ids during
// the partition were listed once more under their former ids, and got a third of the requests, as they had
// nothing in progress.
#[test]
fn of_two_at_one_address_the_one_listed_first_is_superseded() {
    let mut directory = Directory::default();
    assert_eq!(directory.listed(at_ms(0), ready("a")), []);
    directory.gone(at_ms(100), &"a".parse().expect("a valid name"));
    directory.expire(at_ms(2_000));
    assert_eq!(directory.listed(at_ms(2_000), in_place_of("a", "b")), [unplanned("a")]);
    assert_eq!(directory.listed(at_ms(4_000), ready("a")), [unplanned("a")], "not the later one");
    assert_eq!(directory.listed(at_ms(5_000), in_place_of("a", "b")), []);
}

#[test]
fn a_later_upstream_at_an_address_supersedes_the_previous_one() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    assert_eq!(directory.listed(at_ms(100), in_place_of("a", "b")), [unplanned("a")]);
    assert_eq!(directory.listed(at_ms(200), in_place_of("a", "c")), [unplanned("b")]);
}

#[test]
fn reported_start_times_override_the_order_of_listing() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), in_place_of("a", "b@2000"));
    assert_eq!(directory.listed(at_ms(100), ready("a@1000")), [unplanned("a@1000")]);
}

#[test]
fn rows_of_a_complete_list_have_no_order() {
    let mut directory = Directory::default();
    assert_eq!(directory.replace(at_ms(0), vec![ready("a"), in_place_of("a", "b")]), []);
    let with_times = vec![ready("c@2000"), in_place_of("c", "d@1000")];
    assert_eq!(directory.replace(at_ms(0), with_times), [unplanned("d@1000")]);
}

#[test]
fn an_upstream_dropped_from_the_history_counts_as_new() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    directory.listed(at_ms(100), in_place_of("a", "b"));
    for name in ["a", "b"] {
        directory.gone(at_ms(200), &name.parse().expect("a valid name"));
    }
    directory.expire(at_ms(2_000));
    directory.expire(at_ms(70_000));
    assert_eq!(directory.listed(at_ms(70_000), ready("a")), []);
}

/// A directory with one upstream, which announced in a response at 100 ms that it is draining.
fn with_draining(name: &str) -> Directory {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready(name));
    directory.record_draining(at_ms(100), &start(name));
    directory
}

#[test]
fn an_upstream_that_announces_draining_is_leaving() {
    let directory = with_draining("a");
    assert_eq!(names(&directory, 100, false), Vec::<String>::new());
    assert_eq!(names(&directory, 1_399, true), ["a"]);
    assert_eq!(names(&directory, 1_400, true), Vec::<String>::new());
}

#[test]
fn a_repeated_announcement_does_not_extend_the_grace_period() {
    let mut directory = with_draining("a");
    directory.record_draining(at_ms(1_300), &start("a"));
    assert_eq!(names(&directory, 1_400, true), Vec::<String>::new());
}

/// An announcement that an upstream is draining is not revoked by later changes of its row.
macro_rules! still_leaving {
    ($name:ident, $event:expr) => {
        #[test]
        fn $name() {
            let mut directory = with_draining("a@17");
            let apply: fn(&mut Directory) = $event;
            apply(&mut directory);
            assert_eq!(names(&directory, 5_000, true), Vec::<String>::new());
            directory.expire(at_ms(5_000));
            assert_eq!(names(&directory, 5_000, true), Vec::<String>::new());
        }
    };
}

still_leaving!(after_its_row_was_written_again, |directory| {
    directory.listed(at_ms(4_900), ready("a@17"));
});
still_leaving!(after_its_row_was_removed_and_added_again, |directory| {
    directory.gone(at_ms(200), &"a".parse().expect("a valid name"));
    directory.expire(at_ms(3_000));
    directory.listed(at_ms(4_900), ready("a@17"));
});
still_leaving!(after_the_complete_list_was_read_again, |directory| {
    directory.replace(at_ms(4_900), vec![ready("a@17")]);
});
still_leaving!(although_its_row_was_unreadable_meanwhile, |directory| {
    directory.unreadable(at_ms(150), &"a".parse().expect("a valid name"));
    directory.listed(at_ms(4_900), ready("a@17"));
});

#[test]
fn an_announcement_does_not_affect_a_later_incarnation() {
    let mut directory = with_draining("a@17");
    directory.listed(at_ms(4_900), ready("a@18"));
    assert_eq!(names(&directory, 5_000, false), ["a@18"]);
    directory.record_draining(at_ms(5_100), &start("a@17"));
    assert_eq!(names(&directory, 5_200, false), ["a@18"]);
}

#[test]
fn an_announcement_expires_after_its_last_repetition() {
    let mut directory = with_draining("a");
    directory.record_draining(at_ms(1_000), &start("a"));
    directory.expire(at_ms(600_999));
    directory.listed(at_ms(600_999), ready("a"));
    assert_eq!(names(&directory, 600_999, true), Vec::<String>::new());
    directory.expire(at_ms(601_000));
    directory.listed(at_ms(601_000), ready("a"));
    assert_eq!(names(&directory, 601_000, true), ["a"]);
}

/// A later incarnation supersedes one that has announced its end, or not.
macro_rules! superseded {
    ($name:ident, $event:expr, $later:expr, $is_planned:expr) => {
        #[test]
        fn $name() {
            let mut directory = Directory::default();
            directory.listed(at_ms(0), ready("a@17"));
            let apply: fn(&mut Directory) = $event;
            apply(&mut directory);
            let expected = Superseded { start: start("a@17"), is_planned: $is_planned };
            assert_eq!(directory.listed(at_ms(9_000), $later), [expected]);
        }
    };
}

superseded!(by_a_later_incarnation_of_its_own, |_| {}, ready("a@18"), false);
superseded!(by_another_upstream_at_its_address, |_| {}, in_place_of("a", "b@18"), false);
superseded!(
    as_planned_after_its_row_announced_it,
    |directory| {
        directory.listed(at_ms(100), member("a@17", MemberState::Draining));
        directory.expire(at_ms(8_000));
    },
    ready("a@18"),
    true
);
superseded!(
    as_planned_after_a_response_announced_it,
    |directory| directory.record_draining(at_ms(100), &start("a@17")),
    in_place_of("a", "b@18"),
    true
);
superseded!(
    as_unplanned_after_its_row_was_removed,
    |directory| {
        directory.gone(at_ms(100), &"a".parse().expect("a valid name"));
        directory.expire(at_ms(8_000));
    },
    ready("a@18"),
    false
);
