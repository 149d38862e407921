//! P10: an accepted configuration is active everywhere within seconds and never reverts.

use std::time::Duration;
use std::time::Instant;

use stallhoist_standins::platform::Faults;

use crate::case::case;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::edit_of;
use crate::harness::wait_until;

/// The limit that the requirements set until an accepted edit is active everywhere.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(4);

fn outage() -> Faults {
    Faults { outage: true, ..Faults::default() }
}

fn two_entries() -> Plan {
    Plan { entries: 2, ..Plan::default() }
}

async fn weight(fleet: &Fleet, entry: usize) -> u64 {
    let addr = fleet.entries[entry].addr("operators_addr");
    let table = fleet.operators(addr, "/v1/table").await;
    table["rows"][0]["weight"].as_u64().unwrap_or_default()
}

case!(in_force_everywhere_within_seconds, async {
    let fleet = Fleet::start(two_entries()).await;
    let (status, reply) = fleet.edit(0, &edit_of(&[("w/m@v1/weight", "1", "7")])).await;
    assert_eq!((status, reply["status"].as_str()), (200, Some("accepted")), "{reply}");
    let accepted = Instant::now();
    fleet.wait_until_active(2).await;
    assert!(accepted.elapsed() < ACTIVATION_LIMIT);
    assert_eq!(weight(&fleet, 1).await, 7);
    let addr = fleet.entries[0].addr("operators_addr");
    wait_until("the accepting entry reports that no host lacks it", || async {
        let progress = fleet.operators(addr, "/v1/table/progress?revision=2").await;
        progress["missing"].as_array().is_some_and(Vec::is_empty)
    })
    .await;
});

// The platform fails and the accepting entry crashes right after it has accepted the edit.
case!(outage_and_kill_right_after_accepted, async {
    // The poll interval exceeds the test, so that only the mesh distributes the edit.
    let mut fleet = Fleet::start(Plan {
        entry_settings: vec![("platform", "table_poll_ms", 60_000.into())],
        ..two_entries()
    })
    .await;
    let (status, reply) = fleet.edit(0, &edit_of(&[("w/m@v1/weight", "1", "7")])).await;
    assert_eq!((status, reply["status"].as_str()), (200, Some("accepted")), "{reply}");
    fleet.platform.set_faults(outage());
    fleet.entries[0].kill();
    let accepted = Instant::now();
    wait_until("the other entry has the edit", || async { weight(&fleet, 1).await == 7 }).await;
    assert!(accepted.elapsed() < ACTIVATION_LIMIT);
});

// All entries restart while the platform is down and get the table from the sidecars.
case!(all_entries_restart_in_an_outage, async {
    let mut fleet = Fleet::start(two_entries()).await;
    assert_eq!(fleet.edit(0, &edit_of(&[("w/m@v1/weight", "1", "7")])).await.0, 200);
    fleet.wait_until_active(2).await;
    fleet.platform.set_faults(outage());
    let seeds: Vec<_> = fleet.hosts.iter().map(|host| host.listed.address.clone()).collect();
    for entry in 0..2 {
        fleet.entries[entry].kill();
        fleet.set_entry(entry, "placement", "seed_addrs", seeds.clone().into());
    }
    for entry in 0..2 {
        fleet.restart_entry(entry);
    }
    fleet.wait_until_active(2).await;
    assert_eq!((weight(&fleet, 0).await, weight(&fleet, 1).await), (7, 7));
    let answer = crate::harness::send(fleet.caller(0).chat("m", "x", 2, false)).await;
    assert_eq!(answer.expect("an answer").outcome, "completed");
});

// A sidecar that is disconnected during the edit gets it from the entries after it reconnects.
case!(a_severed_sidecar_catches_up, async {
    let fleet = Fleet::start(two_entries()).await;
    fleet.hosts[0].proxy.sever();
    let (status, reply) = fleet.edit(0, &edit_of(&[("w/m@v1/weight", "1", "7")])).await;
    assert_eq!(status, 200, "{reply}");
    let missing = reply["progress"]["missing"].as_array().cloned().unwrap_or_default();
    assert!(missing.contains(&"host-0".into()), "the host that lacks the edit is listed: {reply}");
    fleet.hosts[0].proxy.heal();
    let healed = Instant::now();
    fleet.wait_until_active(2).await;
    assert!(healed.elapsed() < ACTIVATION_LIMIT);
});

// The write takes effect but its reply is lost. The edit must be found and not be applied twice.
case!(reply_of_the_commit_lost, async {
    let fleet = Fleet::start(two_entries()).await;
    fleet.platform.set_faults(Faults { lose_write_replies: 1, ..Faults::default() });
    let edit = edit_of(&[("w/m@v1/weight", "1", "7")]);
    let (status, reply) = fleet.edit(0, &edit).await;
    assert_eq!((status, reply["revision"].as_u64()), (200, Some(2)), "{reply}");
    // A repeated request with the same edit ID changes nothing.
    let (status, reply) = fleet.edit(1, &edit).await;
    assert_eq!((status, reply["revision"].as_u64()), (200, Some(2)), "{reply}");
});

case!(platform_down_refuses_the_edit, async {
    let fleet = Fleet::start(two_entries()).await;
    fleet.platform.set_faults(outage());
    let (status, _) = fleet.edit(0, &edit_of(&[("w/m@v1/weight", "1", "7")])).await;
    assert_eq!(status, 503);
    fleet.platform.set_faults(Faults::default());
    assert_eq!(weight(&fleet, 0).await, 1);
});

case!(two_operators_on_one_cell, async {
    let fleet = Fleet::start(two_entries()).await;
    let (seven, nine) =
        (edit_of(&[("w/m@v1/weight", "1", "7")]), edit_of(&[("w/m@v1/weight", "1", "9")]));
    let (a, b) = futures_util::future::join(fleet.edit(0, &seven), fleet.edit(1, &nine)).await;
    let mut statuses = [a.0, b.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "one edit is accepted, the other gets the conflict");
    let refused = if a.0 == 409 { a.1 } else { b.1 };
    let conflict = &refused["conflicts"][0];
    assert_eq!(conflict["expected"], "1");
    assert!(conflict["found"] == "7" || conflict["found"] == "9", "{conflict}");
});

case!(two_operators_on_different_cells, async {
    let fleet = Fleet::start(two_entries()).await;
    let weight_edit = edit_of(&[("w/m@v1/weight", "1", "7")]);
    let ramp_edit = edit_of(&[("w/m@v1/ramp_percent", "100", "50")]);
    let (a, b) =
        futures_util::future::join(fleet.edit(0, &weight_edit), fleet.edit(1, &ramp_edit)).await;
    assert_eq!((a.0, b.0), (200, 200), "{a:?} {b:?}");
    fleet.wait_until_active(3).await;
    let table = fleet.operators(fleet.entries[0].addr("operators_addr"), "/v1/table").await;
    assert_eq!(table["rows"][0]["weight"], 7);
    assert_eq!(table["rows"][0]["ramp_percent"], 50);
});

// An entry that was suspended during several edits must not distribute its old table.
case!(frozen_entry_does_not_bring_back_the_past, async {
    let fleet = Fleet::start(two_entries()).await;
    fleet.entries[1].freeze();
    for (before, after) in [("1", "2"), ("2", "3"), ("3", "4")] {
        assert_eq!(fleet.edit(0, &edit_of(&[("w/m@v1/weight", before, after)])).await.0, 200);
    }
    fleet.entries[1].wake();
    fleet.wait_until_active(4).await;
    assert_eq!((weight(&fleet, 0).await, weight(&fleet, 1).await), (4, 4));
});
