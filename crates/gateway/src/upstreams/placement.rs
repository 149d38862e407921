//! What an upstream is chosen for, and which one was chosen.

use std::net::SocketAddr;

use stallhoist_core::InstanceId;
use stallhoist_core::ModelName;
use stallhoist_core::Prompt;
use stallhoist_core::ServiceName;
use stallhoist_core::VersionName;
use stallhoist_policy::balance::WorkItem;

use crate::rollouts::VersionRule;

/// What an upstream is chosen for.
#[derive(Debug)]
pub(crate) struct Placement<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) rule: &'a VersionRule,
    pub(crate) model: Option<&'a ModelName>,
    pub(crate) model_pace: f64,
    pub(crate) prompt: Option<&'a Prompt>,
    pub(crate) body_bytes: usize,
    /// Differs from request to request. Of upstreams that cost the same, which many do in a
    /// large fleet, all entries must not choose the same one.
    pub(crate) tie_seed: u64,
    /// Upstreams that this request was sent to before.
    pub(crate) tried: &'a [InstanceId],
    /// The most connections that this entry keeps to one upstream.
    pub(crate) max_connections: u32,
}

/// The upstream that was chosen.
#[derive(Debug, Clone)]
pub(crate) struct Chosen {
    pub(crate) instance: InstanceId,
    pub(crate) addr: SocketAddr,
    pub(crate) version: VersionName,
    pub(crate) work: WorkItem,
    pub(crate) expected_wait_ms: f64,
}
