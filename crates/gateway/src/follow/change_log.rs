//! Logs changes read from the store.

use crate::control_store::Change;

/// Logs one line per change, except for configurations, which are logged when they become active.
pub(super) fn log_change(change: &Change) {
    match change {
        Change::Config(_) | Change::MemberUnreadable(_) => {}
        Change::RolloutOrdered(order) => log::info!(
            service:% = order.service,
            target:% = order.target,
            row_version:% = order.row_version;
            "roll-out ordered"
        ),
        Change::Rollout(stored) => log::info!(
            service:% = stored.service,
            target:% = stored.record.target,
            phase:? = stored.record.phase,
            row_version:% = stored.row_version;
            "rollout record read"
        ),
        Change::MemberListed(member) => log::info!(
            start:% = member.start,
            service:% = member.service,
            version:% = member.version,
            state:? = member.state,
            cold:? = member.cold;
            "upstream listed"
        ),
        Change::MemberGone(instance) => {
            log::info!(instance:% = instance; "upstream's entry has gone");
        }
        Change::FatalRequest(stored) => log::info!(
            fingerprint:% = stored.subject,
            record:? = stored.record;
            "request is held back"
        ),
        Change::FatalRequestGone(subject) => {
            log::info!(fingerprint:% = subject; "request is no longer held back");
        }
        Change::ZoneEmptied(zone) => {
            log::info!(zone:% = zone; "availability zone is emptied; no new requests go there");
        }
        Change::ZoneTakenBack(zone) => {
            log::info!(zone:% = zone; "availability zone is taken back");
        }
        Change::EntryListed(entry) => {
            log::info!(host:% = entry.host, peers_addr:% = entry.peers_addr; "entry listed");
        }
    }
}
