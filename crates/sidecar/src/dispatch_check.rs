//! The check of the table directly before an attempt starts.

use stallhoist_core::NotRunReason;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;
use stallhoist_table::Table;
use stallhoist_table::VersionState;

/// What the check depends on besides the table.
#[derive(Debug, Clone)]
pub struct DispatchContext<'a> {
    /// The workspace of the request.
    pub workspace: &'a WorkspaceName,
    /// The target of the request.
    pub target: &'a Target,
    /// Whether the session of the request began on this version.
    pub is_in_session: bool,
    /// The targets that the upstream serves.
    pub serves: &'a [Target],
    /// Whether the sidecar is draining.
    pub is_leaving: bool,
}

/// Checks whether an attempt may start now: on arrival, and again when it leaves the queue,
/// since the table may have changed meanwhile.
///
/// # Errors
/// Fails with the reason if the attempt must not start.
pub fn check_dispatch(
    table: Option<&Table>,
    context: &DispatchContext<'_>,
) -> Result<(), NotRunReason> {
    if context.is_leaving {
        return Err(NotRunReason::Leaving);
    }
    if !context.serves.contains(context.target) {
        return Err(NotRunReason::NotServed);
    }
    let table = table.ok_or(NotRunReason::NoTable)?;
    let row = table.row(context.workspace, context.target).ok_or(NotRunReason::NotAllowed)?;
    if !row.allowed {
        return Err(NotRunReason::NotAllowed);
    }
    match row.state {
        VersionState::Active => Ok(()),
        VersionState::Draining if context.is_in_session => Ok(()),
        VersionState::Draining => Err(NotRunReason::Draining),
        VersionState::Withdrawn => Err(NotRunReason::Withdrawn),
    }
}
