//! Feeds the guard with the counts that sidecars report, and applies its holds when a version is
//! chosen.

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

/// Records the counts that a sidecar reports, and logs a hold that results from them.
///
/// # Errors
/// Fails if a target cannot be parsed.
pub(crate) fn record_evidence(
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

/// The data for the choice of a version: the row's weight and ramp, restricted by the guard's hold and
/// cap.
pub(crate) fn version_candidate(
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

/// The number of times operators cleared the hold of a version. A hold applies to all workspaces, so
/// the counts of all rows are added up.
fn resets(table: &Table, version: &ModelVersion) -> u64 {
    let target = Target::Version(version.clone());
    let of_version = table.rows.iter().filter(|row| row.target == target);
    of_version.map(|row| u64::from(row.guard_resets)).sum()
}
