//! The guard in an entry: evidence in, holds out.

use stallhoist_core::HostId;
use stallhoist_core::ModelVersion;
use stallhoist_core::Target;
use stallhoist_policy::guard::EvidenceCounts;
use stallhoist_policy::version::VersionCandidate;
use stallhoist_table::Row;
use stallhoist_table::Table;
use stallhoist_wire::WireError;
use stallhoist_wire::messages::Evidence;

use crate::shared::Shared;

/// Takes in what a sidecar has counted.
pub(crate) fn take_evidence(
    shared: &Shared,
    host: &HostId,
    evidence: &[Evidence],
) -> Result<(), WireError> {
    for counted in evidence {
        let target = counted.target.parse().map_err(|_| WireError::BadField("target"))?;
        let Target::Version(version) = target else {
            continue;
        };
        let counts = EvidenceCounts {
            answers: counted.answers,
            failures: counted.failures,
            ratings: counted.ratings,
            poor_ratings: counted.poor_ratings,
        };
        let hold = shared.guard.lock().report(host, &version, counts);
        if let Some(hold) = hold {
            log::warn!(
                version:% = hold.version,
                cause:% = hold.cause,
                answers = hold.answers,
                failures = hold.failures,
                ratings = hold.ratings,
                poor_ratings = hold.poor_ratings;
                "version held back"
            );
        }
    }
    Ok(())
}

/// What version choice needs to know of a row: the operators' cells, and the guard's
/// hold and cap on top of them.
pub(crate) fn facts(
    shared: &Shared,
    table: &Table,
    row: &Row,
    version: &ModelVersion,
) -> VersionCandidate {
    let mut guard = shared.guard.lock();
    guard.set_resets(version, resets(table, version));
    VersionCandidate {
        version: version.clone(),
        weight: row.weight,
        cap_percent: f64::from(row.ramp_percent).min(guard.cap_percent(version)),
        is_held: guard.is_held(version),
    }
}

/// A hold concerns all workspaces, so their clearings are counted together.
fn resets(table: &Table, version: &ModelVersion) -> u64 {
    let target = Target::Version(version.clone());
    let of_version = table.rows.iter().filter(|row| row.target == target);
    of_version.map(|row| u64::from(row.guard_resets)).sum()
}
