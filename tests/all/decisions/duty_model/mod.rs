//! A model of two gateways that share the duty of usage reports, through a store and a platform.
//!
//! The gateways are the real decision code. Every run is decided by a list of choices: what becomes of each call,
//! and whether a process is frozen or killed. All runs with up to two faults are played, and random ones with more.

mod choices;
mod rules;
mod world;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use stallhoist_core::FencingToken;
use stallhoist_policy::usage::UsageWindow;

use self::choices::Choices;
use self::choices::Drawn;
use self::choices::Exhaustive;
use self::world::DUE_AFTER;
use self::world::START;
use self::world::Setting;
use self::world::TICK;
use self::world::TICKS;
use self::world::WINDOW;
use self::world::World;

/// Plays a run and checks the rules.
fn play(setting: Setting, choices: &mut impl Choices) -> World {
    let mut world = World::new(setting);
    world.run(choices);
    if let Err(violation) = world.check() {
        let calls: Vec<_> = world
            .accepted
            .iter()
            .map(|a| (a.tick, &a.call.host, a.call.epoch.0, &a.call.report))
            .collect();
        let hosts: Vec<_> = world.processes.iter().map(|process| &process.host).collect();
        panic!("{violation}; {setting:?}, hosts {hosts:?}, accepted: {calls:#?}");
    }
    world
}

/// Plays all runs with up to two faults.
macro_rules! holds_with_two_faults {
    ($name:ident, $setting:expr) => {
        #[test]
        fn $name() {
            let mut choices = Exhaustive::new(2);
            let mut runs = 1;
            play($setting, &mut choices);
            while choices.advance() {
                play($setting, &mut choices);
                runs += 1;
            }
            assert!(runs > 10_000, "only {runs} runs");
        }
    };
}

holds_with_two_faults!(
    one_holder_with_exchanges,
    Setting { exchanges: true, is_second_first: false, skew_ms: 0 }
);
holds_with_two_faults!(
    one_holder_without_exchanges,
    Setting { exchanges: false, is_second_first: true, skew_ms: 0 }
);
holds_with_two_faults!(
    one_holder_with_a_clock_ahead,
    Setting { exchanges: true, is_second_first: true, skew_ms: 700 }
);
holds_with_two_faults!(
    one_holder_with_a_clock_behind,
    Setting { exchanges: false, is_second_first: false, skew_ms: -700 }
);

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn one_holder_with_many_faults(
        state in any::<u64>(),
        one_in in 3_u64..40,
        exchanges in any::<bool>(),
        is_second_first in any::<bool>(),
        skew_ms in -1_500_i64..1_500,
    ) {
        play(Setting { exchanges, is_second_first, skew_ms }, &mut Drawn { state, one_in });
    }
}

// Without faults each window is reported once, in time.
#[test]
fn all_windows_are_reported() {
    let setting = Setting { exchanges: true, is_second_first: false, skew_ms: 0 };
    let world = play(setting, &mut Exhaustive::new(0));
    let first = UsageWindow::containing(START, WINDOW);
    let last = UsageWindow::containing(START + TICK * TICKS as u32 - DUE_AFTER, WINDOW).previous();
    let expected: Vec<_> = first.through(last).collect();
    assert_eq!(world.reported_in_time()[..expected.len()], expected);
    assert!(world.accepted.iter().all(|accepted| accepted.call.epoch == FencingToken(1)));
}

// A holder that is killed or frozen at any moment costs at most the report of one window.
#[test]
fn one_fault_costs_one_window() {
    let setting = Setting { exchanges: true, is_second_first: false, skew_ms: 0 };
    let first = UsageWindow::containing(START, WINDOW);
    let last = UsageWindow::containing(START + TICK * TICKS as u32 - DUE_AFTER, WINDOW).previous();
    let mut choices = Exhaustive::new(1);
    loop {
        let reported = play(setting, &mut choices).reported_in_time();
        let missed = first.through(last).filter(|window| !reported.contains(window)).count();
        assert!(missed <= 1, "{missed} windows missed: {:?}", choices.made);
        if !choices.advance() {
            break;
        }
    }
}
