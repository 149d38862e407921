//! What these tests share with the others.

#[path = "../../all/harness/process.rs"]
mod daemon;
#[path = "../../all/harness/wait.rs"]
mod wait;

pub(crate) use daemon::Process;
pub(crate) use wait::wait_until;
