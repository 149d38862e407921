//! Plays a case of the review: the platform's store, workers and callers as stand-ins, and the project's own program as
//! processes.
//!
//! `standins CASE RECORD`: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cut_at_stop;
mod gateway;
mod http;
mod json;
mod low_confidence;
mod record;
mod store;
mod worker;

use std::env;
use std::fs;
use std::io;
use std::process;
use std::thread;
use std::time::Duration;

use gateway::Gateway;
use gateway::Place;
use record::Record;
use store::Store;
use worker::Events;

/// A case may run for 120 seconds.
const LONGEST: Duration = Duration::from_secs(115);

/// What a case needs.
pub struct World {
    pub record: Record,
    pub events: Events,
    pub store: Store,
    store_addr: std::net::SocketAddr,
    pub has_trouble: bool,
    folder: String,
}

impl World {
    fn new(record_path: &str) -> io::Result<Self> {
        let record = Record::create(record_path)?;
        let (store, store_addr) = Store::start()?;
        let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
        let folder = env::temp_dir().join(format!("review-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let folder = folder.to_string_lossy().into_owned();
        record.note(if has_trouble { "with the disruption" } else { "without the disruption" });
        let events = Events::default();
        Ok(Self { record, events, store, store_addr, has_trouble, folder })
    }

    /// Starts gateways, all of which are seeds.
    pub fn start_gateways(&self, places: &[Place]) -> io::Result<Vec<Gateway>> {
        let start = |place: &Place| {
            Gateway::start(place.clone(), places, self.store_addr, &self.folder, &self.record)
        };
        places.iter().map(start).collect()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Plays a case. Returns whether the rule held.
type Case = fn(&World) -> io::Result<bool>;

fn main() {
    let arguments: Vec<_> = env::args().skip(1).collect();
    let [name, record_path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        process::exit(2);
    };
    let case: Case = match name.as_str() {
        "low-confidence" => low_confidence::play,
        "cut-at-stop" => cut_at_stop::play,
        _ => {
            eprintln!("no such case: {name}");
            process::exit(2);
        }
    };
    let status = match play(case, record_path) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
    };
    process::exit(status);
}

fn play(case: Case, record_path: &str) -> io::Result<bool> {
    let world = World::new(record_path)?;
    let record = world.record.clone();
    let (done, result) = std::sync::mpsc::channel();
    // The gateways are ended as the case returns, also by an error.
    let playing = thread::spawn(move || {
        let _ = done.send(case(&world));
    });
    let result = result.recv_timeout(LONGEST).unwrap_or_else(|_| {
        Err(io::Error::new(io::ErrorKind::TimedOut, "the case takes too long"))
    });
    let _ = playing.join();
    if let Ok(holds) = &result {
        record.note(if *holds { "the rule held" } else { "THE RULE WAS BROKEN" });
    }
    result
}
