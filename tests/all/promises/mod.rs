//! Tests of the ten guarantees (P1 to P10) under failure. `docs/PROOFS.md` maps each guarantee and
//! fault to its test.

mod allowed;
mod at_most_once;
mod billing;
mod configuration;
mod leaving;
mod not_run;
mod planned_stops;
mod sessions;
mod whole_answers;
mod withdrawn;
