//! A daemon under test.

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

const START_PATIENCE: Duration = Duration::from_secs(20);

/// A daemon under test. It is killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    serves: Value,
    log: Arc<Mutex<Vec<String>>>,
    settings_file: PathBuf,
}

impl Process {
    /// Starts a daemon and waits until its log says that it serves.
    pub(crate) fn start(program: &str, settings_json: &str) -> Self {
        let name = format!("stallhoist-test-{}.json", uuid::Uuid::new_v4().simple());
        let settings_file = std::env::temp_dir().join(name);
        std::fs::write(&settings_file, settings_json).expect("settings can be written");
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
        let kept = Arc::clone(&log);
        let (tell, told) = mpsc::channel();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some(serves) = serves(&line) {
                    let _ = tell.send(serves);
                }
                kept.lock().expect("no reader panicked").push(line);
            }
        });
        let serves = told.recv_timeout(START_PATIENCE).unwrap_or_else(|_| {
            panic!("{program} does not serve: {:?}", log.lock().expect("no reader panicked"))
        });
        Self { child, serves, log, settings_file }
    }

    /// An address that the daemon said it serves on.
    pub(crate) fn addr(&self, key: &str) -> SocketAddr {
        let text = self.serves[key].as_str().unwrap_or_default();
        text.parse().unwrap_or_else(|_| panic!("no address {key} in {}", self.serves))
    }

    /// The log so far.
    pub(crate) fn log(&self) -> Vec<String> {
        self.log.lock().expect("no reader panicked").clone()
    }

    /// Its number, by which the kernel counts what it uses.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it as a crash would.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("the daemon can be killed");
        self.child.wait().expect("the daemon can be waited for");
    }

    /// Stops it where it is; it does not notice.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub(crate) fn wake(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Tells it that its settings file has changed.
    pub(crate) fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Whether it has ended, and well.
    pub(crate) fn has_exited_cleanly(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("the daemon can be waited for");
        status.map(|status| status.success())
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.id()).expect("process numbers are small");
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
