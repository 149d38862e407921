//! Invariants of the list of upstreams for any content and any order of changes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::LazyLock;

use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;
use stallhoist_core::InstanceId;
use stallhoist_core::ServiceName;
use stallhoist_core::StartTime;
use stallhoist_core::StoreVersion;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_gateway::control_store::Change;
use stallhoist_gateway::control_store::ControlStore;
use stallhoist_gateway::control_store::Feed;
use stallhoist_gateway::control_store::FeedRow;
use stallhoist_gateway::members::Directory;
use stallhoist_gateway::members::Member;
use stallhoist_gateway::members::MemberState;
use stallhoist_policy::cold::ReportedCold;
use stallhoist_settings::StoreSettings;
use stallhoist_users_platform::PlatformStore;

use super::at_ms;

const INSTANCES: u8 = 4;

/// A change of the list.
#[derive(Debug, Clone)]
enum Event {
    Listed { instance: u8, born: u64, place: u8, is_ready: bool },
    Gone { instance: u8 },
    Unreadable { instance: u8 },
}

fn event() -> impl Strategy<Value = Event> {
    let instance = 0..INSTANCES;
    prop_oneof![
        6 => (instance.clone(), 1..4_u64, 0..3_u8, any::<bool>()).prop_map(
            |(instance, born, place, is_ready)| Event::Listed { instance, born, place, is_ready }
        ),
        1 => instance.clone().prop_map(|instance| Event::Gone { instance }),
        1 => instance.prop_map(|instance| Event::Unreadable { instance }),
    ]
}

fn id(instance: u8) -> InstanceId {
    format!("i-{instance}").parse().expect("a valid name")
}

fn service() -> ServiceName {
    "s".parse().expect("a valid name")
}

fn member(instance: u8, born: u64, place: u8, is_ready: bool) -> Member {
    Member {
        start: UpstreamIncarnation { instance: id(instance), started: Some(StartTime(born)) },
        service: service(),
        addr: SocketAddr::from(([127, 0, 0, 1], u16::from(place) + 1)),
        zone: "z".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid name"),
        slots: 4,
        state: if is_ready { MemberState::Ready } else { MemberState::Draining },
        cold: ReportedCold::Unsaid,
    }
}

/// Applies a change. Returns the upstream that must not be used after it, if any.
fn apply(directory: &mut Directory, now_ms: u64, event: &Event) -> Option<u8> {
    let now = at_ms(now_ms);
    match *event {
        Event::Listed { instance, born, place, is_ready } => {
            let listed = member(instance, born, place, is_ready);
            let superseded = directory.listed(now, listed.clone());
            let (earlier, at_address): (Vec<_>, Vec<_>) = superseded.iter().partition(|other| {
                other.start.instance == listed.start.instance && other.start != listed.start
            });
            assert!(at_address.len() <= 1, "an address has one upstream: {superseded:?}");
            assert!(earlier.len() <= 1, "there is one previous incarnation: {superseded:?}");
            None
        }
        Event::Gone { instance } => {
            directory.gone(now, &id(instance));
            Some(instance)
        }
        Event::Unreadable { instance } => {
            directory.unreadable(now, &id(instance));
            Some(instance)
        }
    }
}

fn in_use(directory: &Directory, now_ms: u64) -> Vec<UpstreamIncarnation> {
    let service = service();
    let members = directory.of_service(at_ms(now_ms), &service, false);
    members.map(|member| member.start.clone()).collect()
}

/// A fixed seed, so that every run has the same cases.
fn same_cases() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(same_cases())]

    // Changes 100 ms apart, for less than the time after which a row of an earlier incarnation is accepted.
    #[test]
    fn no_incarnation_comes_back_after_a_later_one(events in vec(event(), 1..55)) {
        let mut directory = Directory::default();
        let mut latest: HashMap<InstanceId, UpstreamIncarnation> = HashMap::new();
        for (n, event) in events.iter().enumerate() {
            let now_ms = n as u64 * 100;
            let unused = apply(&mut directory, now_ms, event);
            directory.expire(at_ms(now_ms));
            for start in in_use(&directory, now_ms) {
                let known = latest.entry(start.instance.clone()).or_insert_with(|| start.clone());
                prop_assert!(!known.is_later_than(&start), "{start} after {known}");
                *known = start;
            }
            if let Some(instance) = unused {
                let is_used = in_use(&directory, now_ms).iter().any(|s| s.instance == id(instance));
                prop_assert!(!is_used, "{event:?}");
            }
        }
    }

    #[test]
    fn a_complete_list_gives_the_same_state_after_any_history(
        before in vec(event(), 0..40),
        list in vec((0..INSTANCES, any::<bool>()), 0..4),
    ) {
        const AFTER_ALL_MS: u64 = 100_000;
        let mut directory = Directory::default();
        for (n, event) in before.iter().enumerate() {
            apply(&mut directory, n as u64 * 100, event);
        }
        let list: HashMap<u8, bool> = list.into_iter().collect();
        let members = list.iter().map(|(instance, is_ready)| member(*instance, 9, *instance, *is_ready));
        directory.replace(at_ms(AFTER_ALL_MS), members.collect());
        let used = in_use(&directory, AFTER_ALL_MS);
        let expected = list.iter().filter(|(_, is_ready)| **is_ready).count();
        prop_assert_eq!(used.len(), expected);
        prop_assert!(used.iter().all(|start| start.started == Some(StartTime(9))));
    }

    #[test]
    fn any_bytes_decode_to_an_upstream_or_to_unreadable(bytes in vec(any::<u8>(), 0..200)) {
        let decoded = decode(bytes.into());
        prop_assert!(matches!(decoded, Change::MemberListed(_) | Change::MemberUnreadable(_)));
    }

    // A row with a missing field or one of another type was written by someone else.
    #[test]
    fn a_row_with_one_wrong_field_is_unreadable(
        field in prop::sample::select(FIELDS.to_vec()),
        wrong in prop::sample::select(vec![json!(null), json!([1]), json!({}), json!(-1.5), json!(true)]),
        is_missing in any::<bool>(),
    ) {
        let mut row = row();
        let fields = row.as_object_mut().expect("an object");
        if is_missing { fields.remove(field); } else { fields.insert(field.to_owned(), wrong); }
        prop_assert!(matches!(decode(row.to_string().into()), Change::MemberUnreadable(_)));
    }
}

const FIELDS: [&str; 6] = ["service", "address", "zone", "version", "slots", "state"];

fn row() -> Value {
    json!({
        "service": "s", "address": "127.0.0.1:80", "zone": "z", "version": "v1", "slots": 8,
        "state": "ready", "born": 1_760_000_000_000_u64, "seq": 1,
    })
}

static STORE: LazyLock<PlatformStore> =
    LazyLock::new(|| PlatformStore::new(&StoreSettings::default()).expect("the client starts"));

fn decode(value: Bytes) -> Change {
    let row = FeedRow { key: "i-1".to_owned(), value: Some(value), version: StoreVersion::of(1) };
    let change = STORE.decode(Feed::Members, &row).expect("its key is a name");
    change.expect("a change for the gateway")
}

#[test]
fn a_valid_row_decodes_to_an_upstream() {
    assert!(matches!(decode(row().to_string().into()), Change::MemberListed(_)));
}
