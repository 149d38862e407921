//! P4: each request is billed exactly once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use stallhoist_coordination::Ledger;
use stallhoist_platform::PlatformClient;
use stallhoist_standins::platform::Faults;

use crate::case::case;
use crate::harness::Answer;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::send;
use crate::harness::wait_until;

const REQUESTS: usize = 20;

async fn send_requests(fleet: &Fleet, entry: usize) -> BTreeSet<String> {
    let mut completed = BTreeSet::new();
    for _ in 0..REQUESTS {
        let answer = send(fleet.caller(entry).chat("m", "x", 2, false)).await.expect("an answer");
        assert_eq!(answer.outcome, "completed");
        completed.insert(answer.request);
    }
    completed
}

/// The number of bill lines of each request, as read by the ledger client.
async fn bill(fleet: &Fleet) -> BTreeMap<String, usize> {
    let platform = PlatformClient::new(&fleet.platform.url(), Duration::from_secs(5));
    let lines = Ledger::new(platform).read(0, u64::MAX - 1).await.expect("the ledger is read");
    let mut counts = BTreeMap::new();
    for line in lines {
        *counts.entry(line.record.request.to_string()).or_insert(0) += 1;
    }
    counts
}

async fn assert_billed_once_each(fleet: &Fleet, completed: &BTreeSet<String>) {
    wait_until("all records are in the ledger", || async {
        let records = fleet.ledger_records();
        let known: BTreeSet<_> = records.iter().map(|r| r.request.to_string()).collect();
        completed.is_subset(&known)
    })
    .await;
    let billed = bill(fleet).await;
    assert!(billed.values().all(|count| *count == 1), "billed more than once: {billed:?}");
    assert_eq!(&billed.into_keys().collect::<BTreeSet<_>>(), completed);
}

/// A plan whose entries don't flush their records within the test.
fn plan_without_flush(entries: usize) -> Plan {
    Plan { entries, entry_settings: vec![("bill", "flush_ms", 600_000.into())], ..Plan::default() }
}

case!(entry_killed_before_it_wrote, async {
    let mut fleet = Fleet::start(plan_without_flush(1)).await;
    let completed = send_requests(&fleet, 0).await;
    assert!(fleet.ledger_records().is_empty(), "nothing is written yet");
    fleet.entries[0].kill();
    // The restarted entry flushes, which includes the records that sidecars hold.
    fleet.set_entry(0, "bill", "flush_ms", 50.into());
    fleet.restart_entry(0);
    assert_billed_once_each(&fleet, &completed).await;
});

case!(entry_and_serving_sidecars_killed_together, async {
    let mut fleet = Fleet::start(Plan {
        engines: vec!["m@v1", "n@v1", "n@v1"],
        services: 0,
        ..plan_without_flush(1)
    })
    .await;
    let completed = send_requests(&fleet, 0).await;
    fleet.entries[0].kill();
    fleet.hosts[0].sidecar.kill();
    // Only the sidecars in other availability zones have the records now.
    fleet.set_entry(0, "bill", "flush_ms", 50.into());
    fleet.restart_entry(0);
    assert_billed_once_each(&fleet, &completed).await;
});

case!(sidecars_killed_before_it_was_written, async {
    let mut fleet = Fleet::start(Plan {
        entry_settings: vec![("bill", "flush_ms", 300.into())],
        ..Plan::default()
    })
    .await;
    let completed = send_requests(&fleet, 0).await;
    for host in &mut fleet.hosts {
        host.sidecar.kill();
    }
    assert_billed_once_each(&fleet, &completed).await;
});

case!(platform_down_while_serving, async {
    let fleet = Fleet::start(Plan::default()).await;
    fleet.platform.set_faults(Faults { outage: true, ..Faults::default() });
    let completed = send_requests(&fleet, 0).await;
    assert!(fleet.ledger_records().is_empty());
    fleet.platform.set_faults(Faults::default());
    assert_billed_once_each(&fleet, &completed).await;
});

case!(replies_of_the_ledger_lost, async {
    let fleet = Fleet::start(Plan::default()).await;
    fleet.platform.set_faults(Faults { lose_write_replies: 5, ..Faults::default() });
    let completed = send_requests(&fleet, 0).await;
    wait_until("the replies are lost", || async { fleet.platform.remaining_lost_replies() == 0 })
        .await;
    assert_billed_once_each(&fleet, &completed).await;
});

// The same records reach the ledger twice: from the suspended entry after it resumes, and from the
// sidecars through another entry.
case!(frozen_entry_writes_after_its_records_were_taken_over, async {
    let fleet = Fleet::start(Plan {
        entries: 2,
        entry_settings: vec![("bill", "flush_ms", 700.into())],
        ..Plan::default()
    })
    .await;
    let completed = send_requests(&fleet, 0).await;
    fleet.entries[0].freeze();
    assert_billed_once_each(&fleet, &completed).await;
    fleet.entries[0].wake();
    wait_until("the resumed entry has settled all bills", || async {
        fleet.entry_state(0).await["unsettled_bills"] == 0
    })
    .await;
    assert_billed_once_each(&fleet, &completed).await;
});

// An incomplete response is not billed.
case!(no_bill_without_a_whole_answer, async {
    let fleet = Fleet::start(Plan {
        switches: stallhoist_standins::engine::EngineSwitches {
            truncate_after_tokens: 1,
            ..stallhoist_standins::engine::EngineSwitches::default()
        },
        ..Plan::default()
    })
    .await;
    let broken: Answer = send(fleet.caller(0).chat("m", "x", 8, true)).await.expect("an answer");
    assert!(!broken.body.contains("[DONE]"));
    let completed = BTreeSet::new();
    assert_billed_once_each(&fleet, &completed).await;
    wait_until("no bill is unsettled", || async {
        fleet.entry_state(0).await["unsettled_bills"] == 0
    })
    .await;
});
