//! LOST: streams that an engine preempts in their middle, around a SIGHUP.

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
use crate::world::KEY;
use crate::world::World;

/// Number of streams. A third of them or so runs on the engine that runs out of memory.
const STREAMS: usize = 36;

/// An engine makes an event in this time.
const EVENT_TIME: Duration = Duration::from_millis(200);

const LAST_EVENT: u64 = 20;

/// One engine runs out of memory, and preempts each of its streams once. Consumers bear silence for eight times the pause
/// of the route, 9.6 s.
const PREEMPTION: Delay = Delay {
    after_events: 5,
    time: Duration::from_millis(4_000),
    is_first_run_only: true,
    worker: Some("i-engine-0"),
    reason: "it is preempted, and read anew",
};

const PATIENCE: Duration = Duration::from_millis(9_600);
const DEADLINE: Duration = Duration::from_millis(20_000);

/// The time limit of a request counts as reached when this little is left of it.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);

/// Runs the case.
///
/// # Errors
/// Fails if it cannot run.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let ids: Vec<_> = (0..STREAMS).map(|number| format!("brief-{number}")).collect();
    let delayed = if has_trouble {
        ids.iter().map(|id| (id.clone(), PREEMPTION)).collect()
    } else {
        HashMap::new()
    };
    let engines = Behaviour { last_event: LAST_EVENT, event_time: EVENT_TIME, delayed, lost: None };
    let mut world = World::start(&engines, record)?;
    let addr = world.gateways[0].addresses.callers;
    let consumers: Vec<_> = ids
        .into_iter()
        .map(|id| {
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
    // All have been passed on to an engine.
    thread::sleep(Duration::from_millis(500));
    world.gateways[0].hang_up()?;
    let hung_up = record.line("gateway 0 gets SIGHUP");
    let mut lost = 0;
    for consumer in consumers {
        let outcome = consumer.join().map_err(|_| io::Error::other("a consumer ended"))??;
        let is_around = outcome.sent < hung_up && outcome.ended > hung_up;
        let is_in_time = outcome.ended < outcome.sent + DEADLINE - DEADLINE_MARGIN;
        if is_around && is_in_time && !outcome.is_whole && !outcome.has_given_up {
            lost += 1;
        }
    }
    if !world.gateways[0].is_running() {
        return Err(io::Error::other("the gateway has ended"));
    }
    record.line(format!(
        "{lost} of {STREAMS} streams were closed without their end, although their engine went on with them"
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
