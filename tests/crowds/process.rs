//! What the kernel accounts to a process.

use std::fs;

const BYTES_PER_KIB: usize = 1_024;

/// Peak of the resident memory of a process since its start.
pub(crate) fn peak_bytes(process: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
    let kib = line.split_whitespace().nth(1).and_then(|kib| kib.parse::<usize>().ok());
    kib.expect("a number") * BYTES_PER_KIB
}

/// Number of open descriptors of a process.
pub(crate) fn descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).expect("the process runs").count()
}
