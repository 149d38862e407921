//! Integration tests: real processes on loopback, stand-ins in the test's own process,
//! and a fault-injecting proxy before each sidecar.

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
mod settings;
mod sidecar_contract;
mod slow_transfers;
mod soak;
mod table;
mod unsettled_bills;
