//! The project's program, as a process of its own, and the platform's questions whether it is ready.

use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

const DEPLOY_FILE: &str = "deploy/system.toml";

/// Interval of the platform's questions.
const ASKED_EVERY: Duration = Duration::from_secs(1);

const START_TIME: Duration = Duration::from_secs(20);

/// The addresses of a gateway, which are free when they are chosen.
#[derive(Debug, Clone)]
pub struct Place {
    pub name: &'static str,
    pub zone: &'static str,
    pub front: SocketAddr,
    ready: SocketAddr,
    internal: SocketAddr,
    control: SocketAddr,
}

impl Place {
    pub fn choose(name: &'static str, zone: &'static str) -> io::Result<Self> {
        let listeners: io::Result<Vec<_>> =
            (0..4).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let listeners = listeners?;
        let addr = |n: usize| listeners[n].local_addr();
        let (front, ready, internal, control) = (addr(0)?, addr(1)?, addr(2)?, addr(3)?);
        Ok(Self { name, zone, front, ready, internal, control })
    }
}

/// A running gateway. It is ended when this is dropped.
#[derive(Debug)]
pub struct Gateway {
    pub place: Place,
    child: Child,
    is_over: Arc<AtomicBool>,
    record: Record,
}

impl Gateway {
    /// Starts the command of the deploy file, with settings as its template makes them for this place.
    pub fn start(
        place: Place,
        seeds: &[Place],
        store: SocketAddr,
        folder: &str,
        record: &Record,
    ) -> io::Result<Self> {
        let settings = PathBuf::from(folder).join(format!("{}.jsonc", place.name));
        fs::write(&settings, settings_of(&place, seeds, store))?;
        let words = run_words()?;
        let mut child = Command::new(&words[0])
            .args(&words[1..])
            .env("STALLHOIST_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        thread::spawn(move || BufReader::new(output).lines().for_each(drop));
        record.note(&format!("{} starts, process {}", place.name, child.id()));
        let is_over = Arc::new(AtomicBool::new(false));
        let gateway = Self { place, child, is_over, record: record.clone() };
        gateway.wait_until_ready()?;
        gateway.ask_regularly();
        Ok(gateway)
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + START_TIME;
        while Instant::now() < until {
            if is_ready(&self.place) {
                self.record.note(&format!("{} is ready", self.place.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} does not become ready", self.place.name)))
    }

    /// The platform asks each node every second.
    fn ask_regularly(&self) {
        let (place, record) = (self.place.clone(), self.record.clone());
        let is_over = Arc::clone(&self.is_over);
        thread::spawn(move || {
            let mut was_ready = true;
            while !is_over.load(Ordering::SeqCst) {
                let is_ready = is_ready(&place);
                if is_ready != was_ready {
                    let state = if is_ready { "ready" } else { "not ready" };
                    record.note(&format!("{} answers that it is {state}", place.name));
                }
                was_ready = is_ready;
                thread::sleep(ASKED_EVERY);
            }
        });
    }

    /// Sends a signal, by its name. Returns the time.
    pub fn signal(&self, name: &str) -> io::Result<u64> {
        let at_ms = self.record.note(&format!("SIG{name} to {}", self.place.name));
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").arg("-c").arg(command).status()?;
        if status.success() { Ok(at_ms) } else { Err(io::Error::other("kill failed")) }
    }

    /// Waits until the process has ended; after `time` it is killed, as the platform does.
    pub fn wait_for_end(&mut self, time: Duration) -> io::Result<u64> {
        let until = Instant::now() + time;
        while self.child.try_wait()?.is_none() {
            if Instant::now() >= until {
                self.record.note(&format!("SIGKILL to {}", self.place.name));
                self.child.kill()?;
                self.child.wait()?;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.is_over.store(true, Ordering::SeqCst);
        Ok(self.record.note(&format!("{} has ended", self.place.name)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn is_ready(place: &Place) -> bool {
    let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    http::call(place.ready, request, Duration::from_millis(900)).status == Some(200)
}

/// The words of `run` in the deploy file.
fn run_words() -> io::Result<Vec<String>> {
    let text = fs::read_to_string(DEPLOY_FILE)?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.strip_suffix('"'));
    let command = command.ok_or_else(|| io::Error::other("no command in the deploy file"))?;
    Ok(command.split(' ').map(str::to_owned).collect())
}

/// The settings of a small deployment, in the form of the deploy file's template.
fn settings_of(place: &Place, seeds: &[Place], store: SocketAddr) -> String {
    let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{}\"", seed.control)).collect();
    let Place { name, zone, front, ready, internal, control } = place;
    let seeds = seeds.join(",");
    format!(
        r#"{{
  "host": {{ "id": "{name}", "zone": "{zone}", "link": "1000.0 Mbit/s" }},
  "callers_addr": "{front}",
  "readiness_addr": "{ready}",
  "readiness_path": "/api/ready",
  "operators_addr": "{internal}",
  "peers_addr": "{control}",
  "seeds": [{seeds}],
  "regions": {{"glk-a":"glk","glk-b":"glk","glk-c":"glk"}},
  "store": {{ "addr": "{store}" }},
  "retries": {{ "fleet_ratio": 0.9, "fleet_slack": 52 }},
  "rollouts": {{ "max_exposure": 0.15, "exposure_slack": 30 }},
  "stop": {{ "grace": "8 s" }},
  "session": "5 s"
}}
"#
    )
}
