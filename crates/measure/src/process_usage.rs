//! CPU time and memory of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

const KIB: f64 = 1_024.0;

/// CPU time and resident memory of a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// CPU time of all threads that are still alive.
    pub processor: Duration,
    /// Resident memory in MiB.
    pub resident_mib: f64,
}

impl ProcessUsage {
    /// Reads the current usage of a process by its ID. All values are zero if the process has exited.
    pub fn of(process: u32) -> Self {
        Self { processor: processor(process), resident_mib: resident_mib(process) }
    }
}

fn processor(process: u32) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else {
        return Duration::ZERO;
    };
    let times = threads.flatten().filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(times.sum())
}

fn resident_mib(process: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kib: f64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or_default();
    kib / KIB
}
