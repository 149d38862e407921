//! What processes must agree on or keep: the table, claims, the bill and leases.
//!
//! This crate exists so that each such matter has one owner that says what is kept
//! where, what a lost reply means and what happens when the store is away. Nothing
//! here elects or replicates: agreement comes from the platform's transactions, and
//! what is only held in memory is held by several processes until the store has it.

mod active_table;
mod attempts;
mod claims;
mod clock;
mod leases;
mod ledger;
mod suspension_detector;
mod table_store;
mod table_sync;
mod unsettled_bills;

pub use active_table::ActiveTable;
pub use active_table::InstallOutcome;
pub use attempts::AttemptFate;
pub use attempts::AttemptRegistry;
pub use attempts::RegisterOutcome;
pub use claims::ClaimError;
pub use claims::ClaimStore;
pub use claims::PendingClaim;
pub use clock::ProcessClock;
pub use clock::SimulatedSuspensions;
pub use leases::Lease;
pub use leases::LeaseClient;
pub use leases::LeaseError;
pub use ledger::BillLine;
pub use ledger::Ledger;
pub use ledger::LedgerBatch;
pub use suspension_detector::SuspensionDetector;
pub use table_store::CommitError;
pub use table_store::TableHead;
pub use table_store::TableStore;
pub use unsettled_bills::UnsettledBills;
