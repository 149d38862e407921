//! What the host of the process can bear.

use rustix::process::Resource;
use rustix::process::getrlimit;
use stallhoist_http::caller_memory::system_memory_bytes;
use stallhoist_policy::memory::MemoryLimits;
use stallhoist_settings::GatewayHost;

/// Memory of the process without callers.
const PROCESS_BYTES: usize = 32_000_000;

/// Descriptors that are not for callers and their requests.
const RESERVED_DESCRIPTORS: usize = 200;

/// Descriptors that a caller takes: its connection and that of its request to an upstream.
const DESCRIPTORS_PER_CALLER: usize = 2;

/// The fewest connections of callers.
const MIN_CALLER_CONNECTIONS: usize = 16;

/// What the host of the process can bear.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HostLimits {
    pub(crate) memory: MemoryLimits,
    descriptors: usize,
}

impl HostLimits {
    /// The limits in the settings, or what the system tells.
    pub(crate) fn of(host: &GatewayHost) -> Self {
        let memory_bytes = host.memory.map_or_else(system_memory_bytes, |size| size.as_bytes());
        let descriptors = host.descriptors.map_or_else(system_descriptors, usize_of);
        Self { memory: MemoryLimits::of_host(memory_bytes, PROCESS_BYTES), descriptors }
    }

    /// The most connections of callers.
    pub(crate) fn max_caller_connections(&self) -> usize {
        let free = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let connections = (free / DESCRIPTORS_PER_CALLER).min(self.memory.connections);
        connections.max(MIN_CALLER_CONNECTIONS)
    }
}

fn system_descriptors() -> usize {
    getrlimit(Resource::Nofile).current.map_or(usize::MAX, usize_of)
}

fn usize_of(number: impl TryInto<usize>) -> usize {
    number.try_into().unwrap_or(usize::MAX)
}
