//! The ten promises under failure. `docs/PROOFS.md` says which test stands for which
//! promise and fault.

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
