//! Starts a daemon under test, reads its log and sends it signals.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon under test. It is killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    /// The addresses that the daemon logged when it became ready.
    serves: Value,
    log: Arc<Mutex<Vec<String>>>,
    settings_file: PathBuf,
}

impl Process {
    /// Starts a daemon and waits for the log line that announces its addresses, which ends in
    /// " serves".
    pub(crate) fn start(program: &str, settings_json: &str) -> Self {
        let name = format!("stallhoist-test-{}.json", uuid::Uuid::new_v4().simple());
        let settings_file = std::env::temp_dir().join(name);
        std::fs::write(&settings_file, settings_json).expect("the settings file can be written");
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(&settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let log = Arc::new(Mutex::new(Vec::new()));
        let log_lines = Arc::clone(&log);
        let (ready_sender, ready_receiver) = mpsc::channel();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some(serves) = serves(&line) {
                    let _ = ready_sender.send(serves);
                }
                log_lines.lock().expect("no reader panicked").push(line);
            }
        });
        let serves = ready_receiver.recv_timeout(START_TIMEOUT).unwrap_or_else(|_| {
            panic!("{program} did not become ready: {:?}", log.lock().expect("no reader panicked"))
        });
        Self { child, serves, log, settings_file }
    }

    /// The address that the daemon logged under a settings key.
    pub(crate) fn addr(&self, key: &str) -> SocketAddr {
        let text = self.serves[key].as_str().unwrap_or_default();
        text.parse().unwrap_or_else(|_| panic!("no address {key} in {}", self.serves))
    }

    /// All lines logged up to now.
    pub(crate) fn log(&self) -> Vec<String> {
        self.log.lock().expect("no reader panicked").clone()
    }

    /// The process ID, under which the kernel accounts for its resources.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL, as a crash would end it, and waits for its exit.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("the daemon can be killed");
        self.child.wait().expect("the daemon can be waited for");
    }

    /// Suspends the process with SIGSTOP, which it cannot detect.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub(crate) fn wake(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful stop.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Sends SIGHUP, which reloads the settings file.
    pub(crate) fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// None while the process runs, then whether it exited with success.
    pub(crate) fn has_exited_cleanly(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("the daemon can be waited for");
        status.map(|status| status.success())
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.id()).expect("a process ID fits in 32 bits");
        kill(Pid::from_raw(id), signal).expect("the daemon can be signalled");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_file);
    }
}

fn serves(line: &str) -> Option<Value> {
    let line: Value = serde_json::from_str(line).ok()?;
    let message = line["message"].as_str()?;
    message.ends_with(" serves").then(|| line["kvs"].clone())
}
