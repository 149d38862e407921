//! Marginal cost of each role, in processor time, memory and bytes: `cargo bench --bench capacity`.
//!
//! Runs real processes in a release build. Each measurement varies one parameter over at least four
//! points, fits a line and prints its largest residual. `docs/CAPACITY.md` computes capacity from the
//! slopes. Two plots are written next to the CSV files.

#[allow(dead_code, unused_imports)]
#[path = "../tests/all/harness/mod.rs"]
mod harness;
#[path = "support/messages.rs"]
mod messages;
#[path = "support/quiet.rs"]
mod quiet;
#[path = "support/slope.rs"]
mod slope;

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use harness::FakeEntry;
use harness::Fleet;
use harness::Plan;
use harness::chat_dispatch;
use harness::new_attempt;
use harness::send;
use messages::attest;
use messages::hold;
use messages::probe;
use messages::status;
use messages::table_edit;
use quiet::quiet;
use serde_json::Value;
use slope::Slope;
use slope::plot;
use stallhoist_measure::ProcessUsage;
use stallhoist_measure::Report;
use stallhoist_wire::messages::Frame;
use stallhoist_wire::messages::Probe;
use stallhoist_wire::messages::frame::Body;

use prost::Message;

/// Fewer than the responses that a connection queues, so that none is dropped.
const MESSAGES_PER_BATCH: usize = 500;
const STREAMS: u64 = 100;
const EDITS_PER_TABLE: usize = 200;

/// Waits until a counter in a sidecar's state satisfies `reached`.
async fn wait_state(fleet: &Fleet, key: &str, reached: impl Fn(u64) -> bool) {
    harness::wait_until(key, || async {
        reached(fleet.sidecar_state(0).await[key].as_u64().unwrap_or_default())
    })
    .await;
}

fn micros_between(before: ProcessUsage, after: ProcessUsage) -> f64 {
    (after.processor - before.processor).as_secs_f64() * 1e6
}

/// Processor time of a sidecar for each message that `make` returns.
async fn per_message(
    fleet: &Fleet,
    peer: &mut FakeEntry,
    name: &'static str,
    make: impl Fn(usize) -> Body,
) -> Slope {
    let sidecar = fleet.hosts[0].sidecar.id();
    let mut points = Vec::new();
    for count in [2_000, 4_000, 8_000, 16_000] {
        let before = ProcessUsage::of(sidecar);
        for part in 0..count / MESSAGES_PER_BATCH {
            for number in 0..MESSAGES_PER_BATCH {
                peer.send(make(part * MESSAGES_PER_BATCH + number)).await;
            }
            // Messages are handled in order: the reply to this probe shows that all before it were handled.
            let last = Probe { probe_id: u64::MAX, target: "m@v1".to_owned(), ..Probe::default() };
            peer.send(Body::Probe(last)).await;
            peer.receive(|body| match body {
                Body::ProbeReply(reply) if reply.probe_id == u64::MAX => Some(()),
                _ => None,
            })
            .await;
        }
        points.push((count as f64, micros_between(before, ProcessUsage::of(sidecar))));
    }
    Slope { name, unit: "us of processor", points }
}

async fn sidecar_messages() -> Vec<Slope> {
    let fleet = Fleet::start(quiet()).await;
    let mut peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    // The first messages also pay for one-time initialization; they are discarded.
    per_message(&fleet, &mut peer, "", probe).await;
    vec![
        per_message(&fleet, &mut peer, "sidecar, a probe", probe).await,
        per_message(&fleet, &mut peer, "sidecar, a status of an entry", status).await,
        per_message(&fleet, &mut peer, "sidecar, a bill record to hold", hold).await,
        per_message(&fleet, &mut peer, "sidecar, an attest", attest).await,
    ]
}

async fn sidecar_edits() -> Slope {
    let fleet = Fleet::start(quiet()).await;
    let sidecar = fleet.hosts[0].sidecar.id();
    let peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    let mut points = Vec::new();
    let mut next_revision = 2;
    for count in [50, 100, 200, 400] {
        let before = ProcessUsage::of(sidecar);
        for number in 0..count {
            peer.send(table_edit(number, next_revision)).await;
        }
        next_revision += count as u64;
        wait_state(&fleet, "revision", |revision| revision + 1 >= next_revision).await;
        points.push((count as f64, micros_between(before, ProcessUsage::of(sidecar))));
    }
    Slope { name: "sidecar, an edit of a small table", unit: "us of processor", points }
}

/// Cost of table rows at a sidecar: memory, and processor time in each edit.
async fn sidecar_rows() -> Vec<Slope> {
    let (mut memory, mut edits) = (Vec::new(), Vec::new());
    for rows in [50_usize, 200, 800, 1_600] {
        // The harness takes `&'static str`.
        let cell = |n: usize| -> &'static str { format!("w{n}/x@v1/weight").leak() };
        let cells = (0..rows).map(|n| (cell(n), "3")).collect();
        let fleet = Fleet::start(Plan { cells, ..quiet() }).await;
        let sidecar = fleet.hosts[0].sidecar.id();
        let peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
        let before = ProcessUsage::of(sidecar);
        for number in 0..EDITS_PER_TABLE {
            peer.send(table_edit(number, 2)).await;
        }
        wait_state(&fleet, "revision", |revision| revision > EDITS_PER_TABLE as u64).await;
        let after = ProcessUsage::of(sidecar);
        memory.push((rows as f64, after.resident_mib * 1_024.0));
        edits.push((rows as f64, micros_between(before, after) / EDITS_PER_TABLE as f64));
    }
    vec![
        Slope { name: "sidecar, a row of the table", unit: "KiB of memory", points: memory },
        Slope { name: "sidecar, a row in each edit", unit: "us of processor", points: edits },
    ]
}

/// Memory of a sidecar by the number of items that it holds.
async fn sidecar_memory(name: &'static str, key: &str, make: impl Fn(usize) -> Body) -> Slope {
    let fleet = Fleet::start(quiet()).await;
    let sidecar = fleet.hosts[0].sidecar.id();
    let peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    let mut points = vec![(0.0, ProcessUsage::of(sidecar).resident_mib * 1_024.0)];
    for target in [20_000_usize, 40_000, 60_000, 80_000] {
        let held = points.last().map_or(0, |(count, _)| *count as usize);
        for number in held..target {
            peer.send(make(number)).await;
        }
        wait_state(&fleet, key, |count| count as usize >= target).await;
        points.push((target as f64, ProcessUsage::of(sidecar).resident_mib * 1_024.0));
    }
    Slope { name, unit: "KiB of memory", points }
}

/// Cost of idle connections at a sidecar, from entries that send only their status.
async fn sidecar_connections() -> Vec<Slope> {
    let fleet = Fleet::start(quiet()).await;
    let sidecar = fleet.hosts[0].sidecar.id();
    let mut peers = Vec::new();
    let (mut processor, mut memory, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for target in [0_usize, 16, 32, 64, 128] {
        while peers.len() < target {
            peers.push(FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await);
        }
        let duration = Duration::from_secs(4);
        let sent_before = sent_bytes(&fleet.sidecar_state(0).await);
        let before = ProcessUsage::of(sidecar);
        let began = Instant::now();
        while began.elapsed() < duration {
            for peer in &peers {
                peer.send(status(0)).await;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let seconds = began.elapsed().as_secs_f64();
        let after = ProcessUsage::of(sidecar);
        let sent = sent_bytes(&fleet.sidecar_state(0).await) - sent_before;
        let count = target as f64;
        processor.push((count, micros_between(before, after) / seconds));
        memory.push((count, after.resident_mib * 1_024.0));
        bytes.push((count, sent / seconds));
    }
    vec![
        Slope {
            name: "sidecar, a connected entry, status each second",
            unit: "us of processor a second",
            points: processor,
        },
        Slope { name: "sidecar, a connected entry", unit: "KiB of memory", points: memory },
        Slope {
            name: "sidecar, a connected entry, status each second",
            unit: "bytes a second sent",
            points: bytes,
        },
    ]
}

fn sent_bytes(state: &Value) -> f64 {
    let entries = state["entries"].as_array().cloned().unwrap_or_default();
    entries.iter().filter_map(|entry| entry["control_sent_bytes"].as_f64()).sum()
}

fn link_bytes(state: &Value) -> f64 {
    let links = state["links"].as_array().cloned().unwrap_or_default();
    links.iter().filter_map(|link| link["control_sent_bytes"].as_f64()).sum()
}

/// Cost of idle connections at an entry, to real sidecars.
async fn entry_connections() -> Vec<Slope> {
    let (mut processor, mut memory, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for count in [4_usize, 12, 24, 48] {
        let plan = Plan {
            engines: vec!["m@v1"; count],
            entry_settings: [
                quiet().entry_settings,
                vec![("placement", "subset_size", 1_000.into())],
            ]
            .concat(),
            ..quiet()
        };
        let fleet = Fleet::start(plan).await;
        let entry = fleet.entries[0].id();
        // Lets the work of starting up finish.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let sent_before = link_bytes(&fleet.entry_state(0).await);
        let before = ProcessUsage::of(entry);
        let began = Instant::now();
        tokio::time::sleep(Duration::from_secs(5)).await;
        let seconds = began.elapsed().as_secs_f64();
        let after = ProcessUsage::of(entry);
        let sent = link_bytes(&fleet.entry_state(0).await) - sent_before;
        let count = count as f64;
        processor.push((count, micros_between(before, after) / seconds));
        memory.push((count, after.resident_mib * 1_024.0));
        bytes.push((count, sent / seconds));
    }
    vec![
        Slope {
            name: "entry, a connected sidecar, status each second",
            unit: "us of processor a second",
            points: processor,
        },
        Slope { name: "entry, a connected sidecar", unit: "KiB of memory", points: memory },
        Slope {
            name: "entry, a connected sidecar, status each second",
            unit: "bytes a second sent",
            points: bytes,
        },
    ]
}

/// Cost of a request: processor time of entry and sidecar, control bytes, and store writes.
async fn requests() -> Vec<Slope> {
    let plan = Plan {
        engines: vec!["m@v1", "m@v1", "m@v1"],
        entry_settings: [quiet().entry_settings, vec![("bill", "flush_ms", 1_000.into())]].concat(),
        ..quiet()
    };
    let fleet = Fleet::start(plan).await;
    let (entry, sidecar) = (fleet.entries[0].id(), fleet.hosts[0].sidecar.id());
    let (mut at_entry, mut at_sidecar) = (Vec::new(), Vec::new());
    let (mut bytes, mut writes) = (Vec::new(), Vec::new());
    let caller = fleet.caller(0);
    for count in [0_usize, 1_000, 2_000, 4_000, 8_000] {
        let before = (ProcessUsage::of(entry), ProcessUsage::of(sidecar));
        let sent_before = link_bytes(&fleet.entry_state(0).await);
        let writes_before = fleet.platform.counts().writes;
        let run_caller = || async {
            for _ in 0..count / 8 {
                send(caller.chat("m", "hello", 4, false)).await.expect("a response");
            }
        };
        join_all((0..8).map(|_| run_caller())).await;
        harness::wait_until("all bills are settled", || async {
            fleet.entry_state(0).await["unsettled_bills"] == 0
        })
        .await;
        let after = (ProcessUsage::of(entry), ProcessUsage::of(sidecar));
        let hosts = fleet.hosts.len() as f64;
        let x = count as f64;
        at_entry.push((x, micros_between(before.0, after.0)));
        at_sidecar.push((x / hosts, micros_between(before.1, after.1)));
        bytes.push((x, link_bytes(&fleet.entry_state(0).await) - sent_before));
        writes.push((x, (fleet.platform.counts().writes - writes_before) as f64));
    }
    vec![
        Slope { name: "entry, a request", unit: "us of processor", points: at_entry },
        Slope { name: "sidecar, a request", unit: "us of processor", points: at_sidecar },
        Slope { name: "entry, a request, 3 probes", unit: "control bytes sent", points: bytes },
        Slope { name: "store, a request, flush each second", unit: "writes", points: writes },
    ]
}

/// Processor time of entry and sidecar for a streamed token. The cost of the request itself is constant, so
/// it doesn't affect the slope.
async fn streamed_tokens() -> Vec<Slope> {
    let fleet = Fleet::start(quiet()).await;
    let (entry, sidecar) = (fleet.entries[0].id(), fleet.hosts[0].sidecar.id());
    let caller = fleet.caller(0);
    let (mut at_entry, mut at_sidecar) = (Vec::new(), Vec::new());
    for tokens in [100_u64, 200, 400, 800] {
        let before = (ProcessUsage::of(entry), ProcessUsage::of(sidecar));
        for _ in 0..STREAMS {
            let answer = send(caller.chat("m", "x", tokens, true)).await.expect("a response");
            assert!(answer.body.contains("[DONE]"));
        }
        let after = (ProcessUsage::of(entry), ProcessUsage::of(sidecar));
        let streamed = (tokens * STREAMS) as f64;
        at_entry.push((streamed, micros_between(before.0, after.0)));
        at_sidecar.push((streamed, micros_between(before.1, after.1)));
    }
    vec![
        Slope { name: "entry, a streamed token", unit: "us of processor", points: at_entry },
        Slope { name: "sidecar, a streamed token", unit: "us of processor", points: at_sidecar },
    ]
}

/// Encoded sizes of messages, with their length prefix.
fn message_sizes() -> Report {
    let mut report = Report::new("message-sizes", &["message", "bytes"]);
    let size = |body: Body| Frame { body: Some(body) }.encoded_len() + 4;
    let dispatch = chat_dispatch(new_attempt(), "m@v1", 4);
    for (name, body) in [
        ("probe of a prompt of 8 blocks", probe(1)),
        ("status without changes", status(1)),
        ("bill record to hold", hold(1)),
        ("attest or cancel", attest(1)),
        ("edit of one cell", table_edit(0, 2)),
        ("dispatch without its body", Body::Dispatch(dispatch)),
    ] {
        report.row([name.to_owned(), size(body).to_string()]);
    }
    report
}

#[tokio::main]
async fn main() {
    message_sizes().finish();
    let mut slopes = sidecar_messages().await;
    slopes.push(sidecar_edits().await);
    slopes.extend(sidecar_rows().await);
    slopes.push(sidecar_memory("sidecar, a held bill record", "unsettled_bills", hold).await);
    slopes
        .push(sidecar_memory("sidecar, a remembered attempt", "remembered_attempts", attest).await);
    let at_sidecar = sidecar_connections().await;
    plot(&at_sidecar[0], "connected entries", "sidecar-processor.svg");
    slopes.extend(at_sidecar);
    let at_entry = entry_connections().await;
    plot(&at_entry[0], "connected sidecars", "entry-processor.svg");
    slopes.extend(at_entry);
    slopes.extend(requests().await);
    slopes.extend(streamed_tokens().await);
    let headings = ["what", "unit", "slope", "at none", "worst residual", "points"];
    let mut report = Report::new("slopes", &headings);
    for slope in &slopes {
        let fit = slope.fit();
        let points = slope.points.iter().map(|(x, y)| format!("{x:.0}:{y:.0}"));
        report.row([
            slope.name.to_owned(),
            slope.unit.to_owned(),
            format!("{:.3}", fit.slope),
            format!("{:.0}", fit.base),
            format!("{:.1} %", fit.max_relative_residual * 100.0),
            points.collect::<Vec<_>>().join(" "),
        ]);
    }
    report.finish();
}
