//! What a process uses, as the kernel counts it.

use std::fs;
use std::time::Duration;

const KIB: f64 = 1_024.0;

/// What a process has used.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// Processor time of all its threads that live.
    pub processor: Duration,
    /// Memory that is resident, in MiB.
    pub resident_mib: f64,
}

impl ProcessUsage {
    /// What a process has used up to now; zeros when it is gone.
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
