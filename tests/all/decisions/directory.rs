//! The list of upstreams.

use stallhoist_core::ServiceName;
use stallhoist_gateway::members::Directory;
use stallhoist_gateway::members::Member;
use stallhoist_gateway::members::MemberState;

use super::at_ms;

fn member(name: &str, state: MemberState) -> Member {
    Member {
        instance: name.parse().expect("a name"),
        service: "s".parse().expect("a name"),
        addr: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".parse().expect("a name"),
        version: "v1".parse().expect("a name"),
        slots: 4,
        state,
    }
}

fn ready(name: &str) -> Member {
    member(name, MemberState::Ready)
}

/// The names of those in use at a moment; with those that are leaving.
fn names(directory: &Directory, ms: u64, with_leaving: bool) -> Vec<String> {
    let service: ServiceName = "s".parse().expect("a name");
    let members = directory.of_service(at_ms(ms), &service, with_leaving);
    members.map(|member| member.instance.to_string()).collect()
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
