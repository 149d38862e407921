//! Limits of the memory for callers' requests and responses.

/// The least memory for callers: one of the largest bodies, and small ones.
const MIN_CALLER_BYTES: usize = 9_000_000;

/// Memory that a connection needs besides the reservations of its requests.
const CONNECTION_BYTES: usize = 16 << 10;

/// Limits of the memory for callers' requests and responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// All reservations together.
    pub total_bytes: usize,
    /// All reservations together when a large one grows: small ones find room beside large ones.
    pub large_bytes: usize,
    /// The requests of one workspace together when a large one grows: other workspaces find room as well.
    pub workspace_bytes: usize,
    /// Connections of callers.
    pub connections: usize,
}

impl MemoryLimits {
    /// The limits at a host with this memory, of which the process needs a part without callers. A quarter of the rest is
    /// left to connections and the allocator.
    pub fn of_host(memory_bytes: usize, process_bytes: usize) -> Self {
        let caller_bytes = memory_bytes.saturating_sub(process_bytes);
        let total_bytes = (caller_bytes / 4 * 3).max(MIN_CALLER_BYTES);
        let large_bytes = total_bytes / 4 * 3;
        Self {
            total_bytes,
            large_bytes,
            workspace_bytes: large_bytes / 4 * 3,
            connections: (total_bytes / 3) / CONNECTION_BYTES,
        }
    }
}
