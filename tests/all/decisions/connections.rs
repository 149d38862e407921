//! Connections of many gateways to one upstream, which hear of each other's only after a delay.

use std::collections::VecDeque;

use stallhoist_core::HostId;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::connections::ConnectionBound;
use stallhoist_policy::connections::KnownConnections;
use stallhoist_policy::connections::RecentMinimum;
use stallhoist_policy::fleet_bound::Fleet;

use super::at_ms;

const STEP_MS: u64 = 50;
const UPDATE_MS: u64 = 200;

/// Steps after which an update is known at all other gateways.
const DELAY_STEPS: usize = 10;

/// Time at which all gateways are counted by their peers.
const COUNTED_MS: u64 = 10_000;

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().expect("a valid host id")
}

fn upstream() -> UpstreamKey {
    let start: UpstreamIncarnation = "i-1".parse().expect("a valid incarnation");
    UpstreamKey::of(&start)
}

struct Gateway {
    fleet: Fleet,
    open: u32,
    told: RecentMinimum,
    /// What it told at the latest steps, the newest last.
    sent: VecDeque<u32>,
    last_told: u32,
}

impl Gateway {
    fn new(number: usize, listed: usize) -> Self {
        let mut fleet = Fleet::new(&host(number));
        (0..listed).for_each(|other| fleet.add_gateway(host(other)));
        let sent = VecDeque::from(vec![0; DELAY_STEPS]);
        Self { fleet, open: 0, told: RecentMinimum::default(), sent, last_told: 0 }
    }

    fn tell(&mut self, ms: u64) {
        if ms.is_multiple_of(UPDATE_MS) {
            self.told.told(self.open);
            self.last_told = self.open;
        }
        self.sent.push_back(self.last_told);
        self.sent.pop_front();
    }

    fn close(&mut self, connections: u32) {
        self.open = self.open.saturating_sub(connections);
    }
}

/// A fleet of gateways and one upstream that accepts connections from all of them together.
struct Model {
    gateways: Vec<Gateway>,
    max_connections: u32,
    ms: u64,
    is_in_touch: bool,
}

impl Model {
    fn new(gateways: usize, max_connections: u32) -> Self {
        let gateways = (0..gateways).map(|number| Gateway::new(number, gateways)).collect();
        Self { gateways, max_connections, ms: COUNTED_MS, is_in_touch: true }
    }

    /// Whether a gateway may have one more connection.
    fn may_connect(&self, number: usize) -> bool {
        let heard = |gateway: &Gateway| gateway.sent.front().copied().unwrap_or(0);
        let others = self.gateways.iter().enumerate().filter(|(other, _)| *other != number);
        let others: u32 = others.map(|(_, gateway)| heard(gateway)).sum();
        let gateway = &self.gateways[number];
        let others = (self.is_in_touch && self.gateways.len() > 1).then_some(others);
        let known = KnownConnections { own: gateway.told.get(), others };
        let bound = ConnectionBound::new(self.max_connections);
        let limit = bound.limit(at_ms(self.ms), upstream(), &gateway.fleet, known);
        gateway.open < limit
    }

    /// Passes one step, in which each gateway wants this many connections. Returns the most that were open.
    fn step(&mut self, wanted: impl Fn(usize) -> u32) -> u32 {
        for number in 0..self.gateways.len() {
            while self.gateways[number].open < wanted(number) && self.may_connect(number) {
                self.gateways[number].open += 1;
            }
        }
        let open = self.open();
        for (number, gateway) in self.gateways.iter_mut().enumerate() {
            gateway.close(gateway.open.saturating_sub(wanted(number)));
            gateway.tell(self.ms);
        }
        self.ms += STEP_MS;
        open
    }

    fn open(&self) -> u32 {
        self.gateways.iter().map(|gateway| gateway.open).sum()
    }

    /// Passes some seconds. Returns the most connections that were open at once.
    fn seconds(&mut self, seconds: u64, wanted: impl Fn(usize) -> u32 + Copy) -> u32 {
        let steps = seconds * 1_000 / STEP_MS;
        (0..steps).map(|_| self.step(wanted)).max().unwrap_or(0)
    }
}

/// All gateways want more than there is at the same moment: together they keep to what the upstream accepts, and
/// use most of it after a few seconds.
macro_rules! all_at_once {
    ($name:ident, $gateways:expr, $max_connections:expr) => {
        #[test]
        fn $name() {
            let mut model = Model::new($gateways, $max_connections);
            let most = model.seconds(10, |_| u32::MAX);
            assert!(most <= $max_connections, "{most} were open");
            assert!(model.open() >= $max_connections * 4 / 5, "{} are in use", model.open());
        }
    };
}

all_at_once!(all_at_once_3, 3, 220);
all_at_once!(all_at_once_27, 27, 220);
all_at_once!(all_at_once_103, 103, 220);
all_at_once!(all_at_once_385, 385, 480);
all_at_once!(all_at_once_more_gateways_than_connections, 385, 220);

/// A single gateway that needs most of the connections gets them, as the others need none.
macro_rules! lent_to_one {
    ($name:ident, $gateways:expr, $seconds:expr) => {
        #[test]
        fn $name() {
            let mut model = Model::new($gateways, 220);
            model.seconds($seconds, |number| if number == 0 { 150 } else { 0 });
            assert_eq!(model.open(), 150);
        }
    };
}

lent_to_one!(one_alone_has_all_at_once, 1, 1);
lent_to_one!(lent_to_one_of_3, 3, 10);
lent_to_one!(lent_to_one_of_27, 27, 40);

// Guards against gateways that each see the same free connections and all take them.
#[test]
fn what_one_gives_back_is_not_taken_twice() {
    let mut model = Model::new(27, 220);
    model.seconds(40, |number| if number == 0 { 190 } else { 0 });
    let most = model.seconds(10, |number| if number == 0 { 0 } else { 40 });
    assert!(most <= 220, "{most} were open");
}

#[test]
fn requests_that_come_and_go_keep_to_the_bound() {
    let mut model = Model::new(27, 220);
    let most = (0..400).map(|step| {
        model.step(|number| if (step / 7 + number).is_multiple_of(3) { 0 } else { 60 })
    });
    let most = most.max().unwrap_or(0);
    assert!(most <= 220, "{most} were open");
}

// Entries that hear nothing of each other each keep to an even part.
#[test]
fn out_of_touch_the_whole_bound_is_divided() {
    let mut model = Model::new(27, 220);
    model.is_in_touch = false;
    let most = model.seconds(5, |_| u32::MAX);
    assert!((150..=220).contains(&most), "{most} were open");
}

// Guards against a fleet that starts at once, in which each gateway takes itself for the only one.
#[test]
fn gateways_that_have_just_started_keep_to_the_bound() {
    let mut model = Model::new(27, 220);
    model.ms = 0;
    let most = model.seconds(1, |_| u32::MAX);
    assert!(most <= 220, "{most} were open");
}

/// A gateway that no peer may count yet leaves the parts of those that it knows, and half if it knows of none.
macro_rules! not_yet_counted {
    ($name:ident, $listed:expr, $max_connections:expr, $limit:expr) => {
        #[test]
        fn $name() {
            let mut fleet = Fleet::new(&host(0));
            let listed: usize = $listed;
            (1..=listed).for_each(|other| fleet.add_gateway(host(other)));
            let known = KnownConnections { own: 0, others: None };
            let bound = ConnectionBound::new($max_connections);
            assert_eq!(bound.limit(at_ms(0), upstream(), &fleet, known), $limit);
        }
    };
}

not_yet_counted!(not_yet_counted_and_without_a_list, 0, 220, 99);
not_yet_counted!(not_yet_counted_beside_10_others, 10, 220, 18);
not_yet_counted!(not_yet_counted_at_an_upstream_of_one_connection, 10, 1, 1);

#[test]
fn a_gateway_always_may_connect_to_an_upstream_of_its_own() {
    let mut model = Model::new(1, 1);
    assert_eq!(model.seconds(1, |_| 5), 1);
}
