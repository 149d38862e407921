//! Placement: which upstream answers a request.
//!
//! An entry stays connected to a bounded subset of each target's upstreams. For a
//! request it asks a few of them and takes the one that predicts the earliest first
//! token. What is asked: the session's last upstream, the one that the prompt's
//! prefix is steered to, and random ones.

mod choose;
mod probe_plan;
mod subset;

pub use choose::Candidate;
pub use choose::Choice;
pub use choose::choose;
pub use probe_plan::ProbePlan;
pub use probe_plan::affinity_order;
pub use probe_plan::plan_probes;
pub use subset::Member;
pub use subset::rendezvous_order;
pub use subset::subset;
