//! State that processes agree on or must not lose: the table, claims, the ledger and leases.
//!
//! Each kind of state has one module, which defines where it is stored, how a lost reply of
//! the store is handled and what happens while the store is unavailable. Nothing here elects
//! leaders or replicates: agreement comes from the transactions of the platform's store, and
//! state that is only in memory is held by several processes until the store has it.

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
