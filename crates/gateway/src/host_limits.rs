//! What the host of the process can bear.

use rustix::system::sysinfo;
use stallhoist_settings::GatewayHost;

/// What the host of the process can bear.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HostLimits {
    pub(crate) memory_bytes: usize,
}

impl HostLimits {
    /// The limits in the settings, or what the system tells.
    pub(crate) fn of(host: &GatewayHost) -> Self {
        Self { memory_bytes: host.memory.map_or_else(system_memory_bytes, |size| size.as_bytes()) }
    }
}

fn system_memory_bytes() -> usize {
    let system = sysinfo();
    let unit_bytes = usize::try_from(system.mem_unit).unwrap_or(1);
    usize::try_from(system.totalram).unwrap_or(usize::MAX).saturating_mul(unit_bytes)
}
