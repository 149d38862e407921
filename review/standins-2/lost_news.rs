//! CONFIG: requests still run on the old service of a route after a moment in which the store left one machine's
//! calls without a response.

use std::collections::HashMap;
use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::consumer::Call;
use crate::consumer::send;
use crate::record::Record;
use crate::worker::Behaviour;
use crate::world::KEY;
use crate::world::NEW_LEDGER;
use crate::world::OLD_LEDGER;
use crate::world::World;
use crate::world::config;

/// `contact_ms` and `config_apply_ms` of the deployment.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// How long the store leaves the machine's calls without a response.
const OUTAGE: Duration = Duration::from_millis(300);

/// How long after the machine's last follow call the outage begins.
const CALL_AGE: Duration = Duration::from_millis(100);

/// The requests on the route, from the moment on from which none may run on the old service.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_TIME: Duration = Duration::from_millis(2_000);

/// A machine counts as in touch a little later here than by the rule.
const MARGIN: Duration = Duration::from_millis(100);

/// Runs the case.
///
/// # Errors
/// Fails if it cannot run.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let engines = Behaviour {
        last_event: 1,
        event_time: Duration::from_millis(100),
        delayed: HashMap::new(),
        lost: None,
    };
    let world = World::start(&engines, record)?;
    let addr = world.gateways[0].addresses.callers;
    let probe = |id: String| {
        let call = Call {
            id,
            path: "/post/2f".to_owned(),
            key: KEY.to_owned(),
            deadline: Duration::from_secs(4),
            is_generation: false,
            patience: Duration::from_secs(5),
        };
        send(addr, &call, record)
    };
    if probe("before".to_owned())?.status != 200 {
        return Err(io::Error::other("the route does not work at first"));
    }
    let view = &world.views[0];
    let (calls, _) = view.operators_calls();
    let called = loop {
        match view.operators_calls() {
            (now, Some(at)) if now > calls => break at,
            _ => thread::sleep(Duration::from_millis(5)),
        }
        if record.elapsed() > Duration::from_secs(40) {
            return Err(io::Error::other("the gateway does not follow the store"));
        }
    };
    sleep_until(called + CALL_AGE);
    if has_trouble {
        view.set_unanswered(true);
    }
    let begun = Instant::now();
    sleep_until(begun + Duration::from_millis(50));
    world.store.put("op", "config", &config(7, NEW_LEDGER));
    let confirmed = Instant::now();
    sleep_until(begun + OUTAGE);
    if has_trouble {
        view.set_unanswered(false);
    }
    let bound_from = (Instant::now() + CONTACT).max(confirmed + CONFIG_APPLY) + MARGIN;
    sleep_until(bound_from);
    record.line("from now on gateway 0 is in touch, and the configuration is to be in force");
    let mut number = 0;
    let until = Instant::now() + PROBE_TIME;
    while Instant::now() < until {
        number += 1;
        if probe(format!("after-{number}"))?.status != 200 {
            return Err(io::Error::other("the route does not work any more"));
        }
        thread::sleep(PROBE_INTERVAL);
    }
    let runs = world.runs.lock().expect("no holder panics").clone();
    let is_late = |request: &str| request.starts_with("after-");
    let on_old = |worker: &str| worker.ends_with(OLD_LEDGER);
    let late = runs.iter().filter(|run| is_late(&run.request) && on_old(&run.worker)).count();
    record.line(format!("{late} of {number} requests were run on {OLD_LEDGER}"));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
