//! TWICE: a stream goes on at another worker while the one before is still at work on it.

use std::collections::HashMap;
use std::io;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::consumer::Call;
use crate::consumer::send;
use crate::record::Record;
use crate::worker::Behaviour;
use crate::worker::Preemption;
use crate::worker::Run;
use crate::world::LASTING_KEY;
use crate::world::World;

/// The rule's bound: how long the worker before may still be at work.
const BOUND: Duration = Duration::from_millis(400);

/// An engine makes an event in this time: half of the pause with which a stream is still in time.
const EVENT_TIME: Duration = Duration::from_millis(600);

const LAST_EVENT: u64 = 8;

const ID: &str = "brief-0";
const PREEMPTION: Preemption =
    Preemption { after_events: 3, is_first_run_only: true, pause: Duration::from_millis(6_000) };

const PATIENCE: Duration = Duration::from_millis(9_600);
const DEADLINE: Duration = Duration::from_millis(20_000);

/// Runs the case.
///
/// # Errors
/// Fails if it cannot run.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let preempted =
        if has_trouble { HashMap::from([(ID.to_owned(), PREEMPTION)]) } else { HashMap::new() };
    let engines = Behaviour { last_event: LAST_EVENT, event_time: EVENT_TIME, preempted };
    let world = World::start(&engines, record)?;
    let call = Call {
        id: ID.to_owned(),
        path: "/brief/2f".to_owned(),
        key: LASTING_KEY.to_owned(),
        deadline: DEADLINE,
        is_generation: true,
        patience: PATIENCE,
    };
    send(world.gateways[0].addresses.callers, &call, record)?;
    thread::sleep(Duration::from_millis(300));
    let runs = world.runs.lock().expect("no holder panics").clone();
    let mut verdict = Verdict::Held;
    for (before, after) in runs.iter().zip(runs.iter().skip(1)) {
        let overlap = overlap(before, after, record.elapsed());
        record.line(format!(
            "{} was at work for {} ms more after {} had begun to run the request",
            before.worker,
            overlap.as_millis(),
            after.worker,
        ));
        if overlap > BOUND && before.worker != after.worker {
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}

/// How long a run went on after the next one had begun.
fn overlap(before: &Run, after: &Run, now: Duration) -> Duration {
    let ended = before.ended.map_or(now, |(at, _)| at);
    ended.saturating_sub(after.began)
}
