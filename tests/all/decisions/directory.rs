//! The list of upstreams.

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
        start: name.parse().expect("a start"),
        service: "s".parse().expect("a name"),
        addr: addr_of(name),
        zone: "z".parse().expect("a name"),
        version: "v1".parse().expect("a name"),
        slots: 4,
        state,
        cold: ReportedCold::Unsaid,
    }
}

/// An address for each upstream, the same for all starts of it.
fn addr_of(name: &str) -> SocketAddr {
    let instance = name.split('@').next().unwrap_or_default();
    let port = instance.bytes().map(u16::from).sum();
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn ready(name: &str) -> Member {
    member(name, MemberState::Ready)
}

/// The names of those in use at a moment; with those that are leaving.
fn names(directory: &Directory, ms: u64, with_leaving: bool) -> Vec<String> {
    let service: ServiceName = "s".parse().expect("a name");
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

// A second word of the same kind must not lengthen the time: the platform counts from the
// first.
#[test]
fn leaving_counts_from_the_first_sign() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    directory.listed(at_ms(100), member("a", MemberState::Draining));
    directory.listed(at_ms(900), member("a", MemberState::Draining));
    directory.gone(at_ms(1_200), &"a".parse().expect("a name"));
    assert_eq!(names(&directory, 1_399, true), ["a"]);
    assert_eq!(names(&directory, 1_400, true), Vec::<String>::new());
}

#[test]
fn a_lapsed_entry_that_is_back_counts_as_before() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    directory.gone(at_ms(100), &"a".parse().expect("a name"));
    directory.listed(at_ms(500), ready("a"));
    assert!(!directory.expire(at_ms(5_000)));
    assert_eq!(names(&directory, 5_000, false), ["a"]);
}

#[test]
fn a_whole_list_drops_who_is_missing() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    directory.listed(at_ms(0), ready("b"));
    directory.replace(at_ms(100), vec![ready("b"), ready("c")]);
    assert_eq!(names(&directory, 100, false), ["b", "c"]);
    assert!(directory.expire(at_ms(1_400)));
    assert!(!directory.is_known(&"a".parse().expect("a name")));
}

#[test]
fn nobody_unknown_can_go() {
    let mut directory = Directory::default();
    directory.gone(at_ms(0), &"a".parse().expect("a name"));
    assert_eq!(directory.iter().count(), 0);
}

// An upstream may start again under its id.
#[test]
fn a_later_start_takes_the_place_of_the_earlier_one() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a@1000"));
    directory.listed(at_ms(100), ready("a@2000"));
    assert_eq!(names(&directory, 100, true), ["a@2000"]);
    assert!(!directory.is_known(&start("a@1000")), "nothing believed of it holds");
}

#[test]
fn a_leaving_start_says_nothing_of_a_later_one() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), member("a@1000", MemberState::Draining));
    directory.listed(at_ms(100), ready("a@2000"));
    directory.listed(at_ms(200), member("a@2000", MemberState::Draining));
    assert_eq!(names(&directory, 1_499, true), ["a@2000"], "1.3 s from its own first sign on");
}

// A report that was held up, a copy of another entry's, a difference to an old list.
#[test]
fn an_earlier_start_that_comes_late_changes_nothing() {
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
fn an_earlier_start_does_not_come_back_when_the_later_has_gone() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a@1000"));
    directory.listed(at_ms(100), ready("a@2000"));
    directory.gone(at_ms(200), &"a".parse().expect("a name"));
    directory.expire(at_ms(1_500));
    directory.listed(at_ms(1_600), ready("a@1000"));
    assert_eq!(names(&directory, 1_600, true), Vec::<String>::new());
    directory.gone(at_ms(5_000), &"a".parse().expect("a name"));
    directory.expire(at_ms(9_000));
    assert_eq!(names(&directory, 9_000, true), Vec::<String>::new(), "its entry has lapsed");
}

// The clock of an upstream's host was set back before it started again: its entry stays.
#[test]
fn an_earlier_start_that_stays_is_believed_after_a_while() {
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
fn an_entry_that_no_longer_says_when_it_started_is_another_writers() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a@1000"));
    directory.listed(at_ms(0), ready("b@1000"));
    directory.listed(at_ms(100), ready("a"));
    assert_eq!(names(&directory, 100, true), ["b@1000"]);
}

#[test]
fn an_entry_that_cannot_be_read_names_no_upstream() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    directory.listed(at_ms(0), ready("b"));
    directory.unreadable(at_ms(100), &"a".parse().expect("a name"));
    assert_eq!(names(&directory, 100, true), ["b"]);
    directory.listed(at_ms(200), ready("a"));
    assert_eq!(names(&directory, 200, true), ["a", "b"], "it can be read again");
}

/// One that had not said that it leaves.
fn unplanned(name: &str) -> Superseded {
    Superseded { start: start(name), is_planned: false }
}

fn start(name: &str) -> UpstreamIncarnation {
    name.parse().expect("a start")
}

/// An upstream at the address of another one.
fn in_place_of(other: &str, name: &str) -> Member {
    Member { addr: addr_of(other), ..ready(name) }
}

// Upstreams behind a cut ended and started again under new ids. Seconds after the cut their
// former entries were listed once more, from reports that had been held up, and drew a third of
// the requests: with nothing in progress they looked like the best choice.
#[test]
fn of_two_at_one_address_the_one_that_was_listed_first_is_over() {
    let mut directory = Directory::default();
    assert_eq!(directory.listed(at_ms(0), ready("a")), []);
    directory.gone(at_ms(100), &"a".parse().expect("a name"));
    directory.expire(at_ms(2_000));
    assert_eq!(directory.listed(at_ms(2_000), in_place_of("a", "b")), [unplanned("a")]);
    assert_eq!(directory.listed(at_ms(4_000), ready("a")), [unplanned("a")], "not the later one");
    assert_eq!(directory.listed(at_ms(5_000), in_place_of("a", "b")), []);
}

#[test]
fn a_later_one_at_an_address_ends_the_one_that_had_it() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    assert_eq!(directory.listed(at_ms(100), in_place_of("a", "b")), [unplanned("a")]);
    assert_eq!(directory.listed(at_ms(200), in_place_of("a", "c")), [unplanned("b")]);
}

#[test]
fn what_they_say_of_their_starts_goes_before_the_order_in_which_they_came() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), in_place_of("a", "b@2000"));
    assert_eq!(directory.listed(at_ms(100), ready("a@1000")), [unplanned("a@1000")]);
}

#[test]
fn which_one_of_a_whole_list_came_first_is_not_known() {
    let mut directory = Directory::default();
    assert_eq!(directory.replace(at_ms(0), vec![ready("a"), in_place_of("a", "b")]), []);
    let with_times = vec![ready("c@2000"), in_place_of("c", "d@1000")];
    assert_eq!(directory.replace(at_ms(0), with_times), [unplanned("d@1000")]);
}

#[test]
fn an_upstream_that_was_forgotten_long_ago_counts_as_new() {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready("a"));
    directory.listed(at_ms(100), in_place_of("a", "b"));
    for name in ["a", "b"] {
        directory.gone(at_ms(200), &name.parse().expect("a name"));
    }
    directory.expire(at_ms(2_000));
    directory.expire(at_ms(70_000));
    assert_eq!(directory.listed(at_ms(70_000), ready("a")), []);
}

/// An upstream that has said in an answer at 100 ms that it leaves.
fn that_says_it_leaves(name: &str) -> Directory {
    let mut directory = Directory::default();
    directory.listed(at_ms(0), ready(name));
    directory.record_draining(at_ms(100), &start(name));
    directory
}

#[test]
fn one_that_says_that_it_leaves_is_leaving() {
    let directory = that_says_it_leaves("a");
    assert_eq!(names(&directory, 100, false), Vec::<String>::new());
    assert_eq!(names(&directory, 1_399, true), ["a"]);
    assert_eq!(names(&directory, 1_400, true), Vec::<String>::new());
}

#[test]
fn each_further_word_of_it_counts_from_the_first() {
    let mut directory = that_says_it_leaves("a");
    directory.record_draining(at_ms(1_300), &start("a"));
    assert_eq!(names(&directory, 1_400, true), Vec::<String>::new());
}

/// After it has said that it leaves, what becomes of its row takes nothing back.
macro_rules! still_leaving {
    ($name:ident, $happens:expr) => {
        #[test]
        fn $name() {
            let mut directory = that_says_it_leaves("a@17");
            let happens: fn(&mut Directory) = $happens;
            happens(&mut directory);
            assert_eq!(names(&directory, 5_000, true), Vec::<String>::new());
            directory.expire(at_ms(5_000));
            assert_eq!(names(&directory, 5_000, true), Vec::<String>::new());
        }
    };
}

still_leaving!(after_its_row_was_written_again, |directory| {
    directory.listed(at_ms(4_900), ready("a@17"));
});
still_leaving!(after_its_row_went_and_came_back, |directory| {
    directory.gone(at_ms(200), &"a".parse().expect("a name"));
    directory.expire(at_ms(3_000));
    directory.listed(at_ms(4_900), ready("a@17"));
});
still_leaving!(after_the_whole_list_was_read_anew, |directory| {
    directory.replace(at_ms(4_900), vec![ready("a@17")]);
});
still_leaving!(although_it_is_not_listed_at_first, |directory| {
    directory.unreadable(at_ms(150), &"a".parse().expect("a name"));
    directory.listed(at_ms(4_900), ready("a@17"));
});

#[test]
fn what_one_start_says_of_leaving_says_nothing_of_a_later_one() {
    let mut directory = that_says_it_leaves("a@17");
    directory.listed(at_ms(4_900), ready("a@18"));
    assert_eq!(names(&directory, 5_000, false), ["a@18"]);
    directory.record_draining(at_ms(5_100), &start("a@17"));
    assert_eq!(names(&directory, 5_200, false), ["a@18"]);
}

#[test]
fn that_it_leaves_is_forgotten_long_after_its_last_word() {
    let mut directory = that_says_it_leaves("a");
    directory.record_draining(at_ms(1_000), &start("a"));
    directory.expire(at_ms(600_999));
    directory.listed(at_ms(600_999), ready("a"));
    assert_eq!(names(&directory, 600_999, true), Vec::<String>::new());
    directory.expire(at_ms(601_000));
    directory.listed(at_ms(601_000), ready("a"));
    assert_eq!(names(&directory, 601_000, true), ["a"]);
}

/// A start that has said that it leaves, or not, and then a later one in its place.
macro_rules! superseded {
    ($name:ident, $happens:expr, $later:expr, $is_planned:expr) => {
        #[test]
        fn $name() {
            let mut directory = Directory::default();
            directory.listed(at_ms(0), ready("a@17"));
            let happens: fn(&mut Directory) = $happens;
            happens(&mut directory);
            let expected = Superseded { start: start("a@17"), is_planned: $is_planned };
            assert_eq!(directory.listed(at_ms(9_000), $later), [expected]);
        }
    };
}

superseded!(by_a_later_start_of_its_own, |_| {}, ready("a@18"), false);
superseded!(by_another_one_at_its_address, |_| {}, in_place_of("a", "b@18"), false);
superseded!(
    as_planned_after_its_row_said_so,
    |directory| {
        directory.listed(at_ms(100), member("a@17", MemberState::Draining));
        directory.expire(at_ms(8_000));
    },
    ready("a@18"),
    true
);
superseded!(
    as_planned_after_it_said_so_itself,
    |directory| directory.record_draining(at_ms(100), &start("a@17")),
    in_place_of("a", "b@18"),
    true
);
superseded!(
    without_a_plan_after_its_row_went,
    |directory| {
        directory.gone(at_ms(100), &"a".parse().expect("a name"));
        directory.expire(at_ms(8_000));
    },
    ready("a@18"),
    false
);
