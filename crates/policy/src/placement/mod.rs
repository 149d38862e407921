//! Placement: which upstream runs a request.
//!
//! A gateway stays connected to a bounded subset of each target's upstreams. For a request
//! it probes a few of them and chooses the one that predicts the earliest first token. It
//! probes the session's last upstream, those preferred by the affinity key of the prompt's
//! prefix, and random ones.

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
