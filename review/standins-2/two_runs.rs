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
use crate::worker::Delay;
use crate::worker::Run;
use crate::world::KEY;
use crate::world::World;

/// The rule's bound: how long the worker before may still be at work.
const BOUND: Duration = Duration::from_millis(400);

/// An engine makes an event in this time.
const EVENT_TIME: Duration = Duration::from_millis(200);

const LAST_EVENT: u64 = 40;

/// The stream that is preempted once. It is the newest of the least urgent.
const ID: &str = "brief-0";

/// It is read anew, and goes on.
const PREEMPTION: Delay = Delay {
    after_events: 5,
    time: Duration::from_millis(3_000),
    is_first_run_only: true,
    worker: None,
    reason: "it is preempted, read anew, and goes on after that",
};

/// Number of streams beside it, whose answers all arrive.
const OTHERS: usize = 9;

const PATIENCE: Duration = Duration::from_millis(9_600);
const DEADLINE: Duration = Duration::from_millis(20_000);

/// Runs the case.
///
/// # Errors
/// Fails if it cannot run.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let engines = Behaviour {
        last_event: LAST_EVENT,
        event_time: EVENT_TIME,
        delayed: HashMap::from([(ID.to_owned(), PREEMPTION)]),
        lost: has_trouble.then(|| ID.to_owned()),
    };
    let world = World::start(&engines, record)?;
    let ids = (0..OTHERS).map(|number| format!("other-{number}"));
    let consumers: Vec<_> = ids
        .chain([ID.to_owned()])
        .enumerate()
        .map(|(number, id)| {
            let addr = world.gateways[number % world.gateways.len()].addresses.callers;
            let record = record.clone();
            let call = Call {
                id,
                path: "/brief/2f".to_owned(),
                key: KEY.to_owned(),
                deadline: DEADLINE,
                is_generation: true,
                patience: PATIENCE,
            };
            thread::spawn(move || send(addr, &call, &record))
        })
        .collect();
    for consumer in consumers {
        consumer.join().map_err(|_| io::Error::other("a consumer ended"))??;
    }
    thread::sleep(Duration::from_millis(300));
    let runs = world.runs.lock().expect("no holder panics").clone();
    let runs: Vec<_> = runs.into_iter().filter(|run| run.request == ID).collect();
    let mut verdict = Verdict::Held;
    for (before, after) in runs.iter().zip(runs.iter().skip(1)) {
        let overlap = overlap(before, after, record.elapsed());
        record.line(format!(
            "{} was at work on {ID} for {} ms more after {} had begun to run it",
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
