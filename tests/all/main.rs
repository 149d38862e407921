//! Integration tests. The daemons are real processes on the loopback interface; the stand-ins, and a
//! fault-injecting proxy before each sidecar, run in the test's own process.

mod callers;
mod cascade;
mod case;
mod decisions;
mod explain;
mod gateway;
mod guard;
mod harness;
mod leases;
mod limits;
mod local;
mod operators;
mod path;
mod policy;
mod promises;
mod retry_limit;
mod settings;
mod sidecar_contract;
mod slow_transfers;
mod soak;
mod table;
mod unsettled_bills;
