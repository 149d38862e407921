//! The last check before work starts.

use stallhoist_core::NotRunReason;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;
use stallhoist_table::Table;
use stallhoist_table::VersionState;

/// What the gate is asked about.
#[derive(Debug, Clone)]
pub struct GateFacts<'a> {
    /// Whose work it is.
    pub workspace: &'a WorkspaceName,
    /// What it is for.
    pub target: &'a Target,
    /// Whether its session began on this version.
    pub is_in_session: bool,
    /// What the upstream serves.
    pub serves: &'a [Target],
    /// Whether the upstream is leaving.
    pub is_leaving: bool,
}

/// Whether work may start now. Asked when it arrives and again when it leaves the
/// queue, since the table may have changed between.
///
/// # Errors
/// Gives the reason why not.
pub fn check_gate(table: Option<&Table>, facts: &GateFacts<'_>) -> Result<(), NotRunReason> {
    if facts.is_leaving {
        return Err(NotRunReason::Leaving);
    }
    if !facts.serves.contains(facts.target) {
        return Err(NotRunReason::NotServed);
    }
    let table = table.ok_or(NotRunReason::NoTable)?;
    let row = table.row(facts.workspace, facts.target).ok_or(NotRunReason::NotAllowed)?;
    if !row.allowed {
        return Err(NotRunReason::NotAllowed);
    }
    match row.state {
        VersionState::Active => Ok(()),
        VersionState::Draining if facts.is_in_session => Ok(()),
        VersionState::Draining => Err(NotRunReason::Draining),
        VersionState::Withdrawn => Err(NotRunReason::Withdrawn),
    }
}
