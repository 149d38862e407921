//! Upstreams of one service that differ in speed.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use reqwest::Method;
use stallhoist_settings::DecisionSettings;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::world::ENGINE;
use super::world::World;
use super::world::events;
use super::world::send;
use crate::case::case;

/// Events of each stream, enough for an observation before its end.
const EVENTS: u64 = 20;

/// An engine whose work takes `times` as long as that of a normal one.
fn engine(times: u32, pace_percent: u32) -> Behaviour {
    Behaviour::Batch {
        events: EVENTS,
        idle_pause: Duration::from_millis(10) * times,
        pause_per_request: Duration::from_millis(1) * times,
        pace_percent,
    }
}

/// Sends streams without shared prompt parts, four at a time.
async fn send_streams(world: &World, count: usize) {
    let send_stream = async |n: usize| {
        let request = world.request(Method::POST, "/stream/x", &format!("id-{n}"));
        let request = request.header("Model", "*").header("Token-Usage", "100,20");
        let answer = send(request.body("a prompt")).await.expect("an answer");
        assert_eq!((answer.status, answer.body), (200, events(1, EVENTS)));
    };
    stream::iter(0..count).for_each_concurrent(4, send_stream).await;
}

fn runs(world: &World) -> Vec<usize> {
    world.upstreams.iter().map(UpstreamStandin::runs).collect()
}

/// One of three engines takes three times as long. Four requests at a time fit on the others.
async fn share_of_slow_engine(pace_percent: u32) -> f64 {
    let engines = [engine(1, 100), engine(3, pace_percent), engine(1, 100)];
    let decisions = DecisionSettings { places_by_speed: true, ..DecisionSettings::default() };
    let world = World::start_deciding(ENGINE, &engines, decisions).await;
    send_streams(&world, 60).await;
    let before = runs(&world);
    send_streams(&world, 40).await;
    (runs(&world)[1] - before[1]) as f64 / 40.0
}

case!(an_idle_slow_upstream_is_used_less_than_fast_ones, async {
    let share = share_of_slow_engine(100).await;
    assert!(share < 0.1, "{share}");
});

case!(nonsense_that_a_slow_upstream_reports_changes_nothing, async {
    let share = share_of_slow_engine(0).await;
    assert!(share < 0.1, "{share}");
});

case!(the_speed_of_upstreams_is_shown, async {
    let world = World::start(ENGINE, &[engine(1, 100), engine(3, 0)]).await;
    send_streams(&world, 40).await;
    let dump = world.dump().await;
    let upstreams = dump["upstreams"].as_array().expect("a list").clone();
    assert!(upstreams.iter().all(|line| line.to_string().contains("slowdown=")), "{dump}");
    let metrics = world.metrics().await;
    assert!(metrics.contains("load_figures_rejected_total"), "{metrics}");
    assert!(!metrics.contains("load_figures_rejected_total 0"), "{metrics}");
});
