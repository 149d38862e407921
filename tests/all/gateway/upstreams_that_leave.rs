//! Upstreams that say in their answers that they leave, whatever the list says.
//!
//! What users saw: requests reached an upstream 3.3 and 4.5 s after an answer had told the entry that sent
//! them that the upstream leaves; 2 s are allowed. The order of events: the store fell silent; half a second
//! later an upstream began to leave and could not write it into the list, but said so in all its answers; the
//! entries went on sending, as by the list it was ready.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::callers_of_fleet::Got;
use super::callers_of_fleet::World;
use crate::case::case;

const SERVER_LEAVING: &str = "server-leaving";

/// The bound of the platform's page: nothing that a caller sent later than this after the answer that
/// said so reaches the upstream.
const TAKES_FOR: Duration = Duration::from_secs(2);

/// How long callers go on after it was said.
const GO_ON_FOR: Duration = Duration::from_millis(4_500);

impl World {
    /// How many requests reached an upstream too late.
    fn too_late(&self, upstream: usize, got: &[Got]) -> usize {
        let mut told: HashMap<usize, Instant> = HashMap::new();
        for got in got.iter().filter(|got| got.says(upstream, SERVER_LEAVING)) {
            let first = told.entry(got.entry).or_insert(got.at);
            *first = got.at.min(*first);
        }
        let is_late =
            |got: &&Got| told.get(&got.entry).is_some_and(|told| got.sent > *told + TAKES_FOR);
        let late: Vec<&str> = got.iter().filter(is_late).map(|got| got.id.as_str()).collect();
        let arrivals = self.upstreams[upstream].arrivals();
        arrivals.iter().filter(|arrival| late.contains(&arrival.header("request-id"))).count()
    }
}

case!(one_of_three, async {
    let world = World::start(4, 3).await;
    world.upstreams[0].says(SERVER_LEAVING, "1");
    let got = world.ask_all_until(1, Instant::now() + GO_ON_FOR).await;
    assert_eq!(world.too_late(0, &got), 0);
});
