//! Messages that an entry sends to a sidecar, for the capacity bench.

use stallhoist_core::AttemptNumber;
use stallhoist_core::BillRecord;
use stallhoist_core::CostMicros;
use stallhoist_core::RequestId;
use stallhoist_core::Revision;
use stallhoist_core::TokenCount;
use stallhoist_core::Usage;
use stallhoist_table::LogEntry;
use stallhoist_wire::attempt_to_wire;
use stallhoist_wire::bill_to_wire;
use stallhoist_wire::entry_to_wire;
use stallhoist_wire::messages::Attest;
use stallhoist_wire::messages::BillHold;
use stallhoist_wire::messages::Prefix;
use stallhoist_wire::messages::Probe;
use stallhoist_wire::messages::Status;
use stallhoist_wire::messages::frame::Body;

use crate::harness::edit_of;
use crate::harness::new_attempt;

/// A probe of a prompt of eight blocks.
pub(crate) fn probe(number: usize) -> Body {
    Body::Probe(Probe {
        probe_id: number as u64,
        target: "m@v1".to_owned(),
        prompt_tokens: 500,
        expected_completion_tokens: 120,
        deadline_ms: 60_000,
        prefix: Some(Prefix { blocks: 8, block_tokens: 64, mark_hashes: (0..6).collect() }),
        work_key: number as u64,
    })
}

fn record() -> BillRecord {
    BillRecord {
        request: RequestId::generate(),
        attempt_number: AttemptNumber(1),
        workspace: "workspace-1".parse().expect("a name"),
        target: "review@v12".parse().expect("a target"),
        usage: Usage { prompt_tokens: TokenCount(500), completion_tokens: TokenCount(120) },
        cost_micros: CostMicros(1_240),
    }
}

/// A bill record for the sidecar to hold.
pub(crate) fn hold(_: usize) -> Body {
    Body::BillHold(BillHold { record: Some(bill_to_wire(&record())) })
}

/// A request to attest an attempt that the sidecar never received.
pub(crate) fn attest(_: usize) -> Body {
    Body::Attest(Attest { attempt: attempt_to_wire(new_attempt()) })
}

/// A status message without changes.
pub(crate) fn status(_: usize) -> Body {
    Body::Status(Status { revision: 1, ..Status::default() })
}

/// The edit of a sequence with this number: edits alternate one weight between two values.
pub(crate) fn table_edit(number: usize, first_revision: u64) -> Body {
    let (before, after) = if number.is_multiple_of(2) { ("1", "2") } else { ("2", "1") };
    let revision = first_revision + number as u64;
    let entry = LogEntry {
        revision: Revision(revision),
        committed_unix_ms: 0,
        edit: edit_of(&[("w/m@v1/weight", before, after)]),
    };
    entry_to_wire(&entry)
}
