//! The project's own program, started as the deploy file says.

use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::record::Record;
use crate::store::StoreAccess;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/stallhoist-gateway";

/// How long a gateway may take until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Where a gateway listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For consumers.
    pub callers: SocketAddr,
    readiness: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

impl Addresses {
    /// Free ports on loopback.
    ///
    /// # Errors
    /// Fails if there are none.
    pub fn free() -> io::Result<Self> {
        let listeners: Vec<_> =
            (0..4).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        let addrs: Vec<_> =
            listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        Ok(Self { callers: addrs[0], readiness: addrs[1], operators: addrs[2], peers: addrs[3] })
    }
}

/// A running gateway. It is killed when dropped.
pub struct Gateway {
    /// Where it listens.
    pub addresses: Addresses,
    child: Child,
}

impl Gateway {
    /// Starts a gateway of a fleet, with the settings that the platform would fill in.
    ///
    /// # Errors
    /// Fails if the program cannot be started.
    pub fn start(
        number: usize,
        fleet: &[Addresses],
        store: &StoreAccess,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Self> {
        let addresses = fleet[number];
        let settings = settings(number, fleet, store.addr);
        let file = folder.join(format!("gateway-{number}.jsonc"));
        fs::write(&file, settings)?;
        let log = fs::File::create(folder.join(format!("gateway-{number}.log")))?;
        let child = Command::new(PROGRAM)
            .env("STALLHOIST_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        record.line(format!("gateway {number} started"));
        Ok(Self { addresses, child })
    }

    /// Waits until it reports ready.
    ///
    /// # Errors
    /// Fails if it does not in time, or ends.
    pub fn wait_until_ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until && self.is_running() {
            if is_ready(self.addresses.readiness).unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("a gateway does not become ready"))
    }

    /// Sends SIGHUP.
    ///
    /// # Errors
    /// Fails if the signal cannot be sent.
    pub fn hang_up(&self) -> io::Result<()> {
        let status = Command::new("kill").arg("-HUP").arg(self.child.id().to_string()).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("SIGHUP was not sent")) }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn is_ready(addr: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
    let mut response = [0; 12];
    stream.read_exact(&mut response)?;
    Ok(&response == b"HTTP/1.1 200")
}

/// `deploy/gateway.jsonc`, filled for a host of a deployment with one entry host in each of three zones.
fn settings(number: usize, fleet: &[Addresses], store: SocketAddr) -> String {
    let Addresses { callers, readiness, operators, peers } = fleet[number];
    let zone = zone(number);
    let seeds: Vec<_> = fleet.iter().map(|entry| format!("\"{}\"", entry.peers)).collect();
    let zones: Vec<_> =
        (0..fleet.len()).map(|at| format!("\"{}\":\"one\"", self::zone(at))).collect();
    format!(
        r#"{{
  "host": {{ "id": "front-{zone}-1", "zone": "{zone}", "link": "1000.0 Mbit/s" }},
  "callers_addr": "{callers}",
  "readiness_addr": "{readiness}",
  "readiness_path": "/api/ready",
  "operators_addr": "{operators}",
  "peers_addr": "{peers}",
  "seeds": [{}],
  "regions": {{{}}},
  "store": {{ "addr": "{store}" }},
  "retries": {{ "fleet_ratio": 0.9, "fleet_slack": 52 }},
  "rollouts": {{ "max_exposure": 0.15, "exposure_slack": 30 }},
  "stop": {{ "grace": "8 s" }},
  "session": "5 s"
}}
"#,
        seeds.join(","),
        zones.join(","),
    )
}

/// The availability zone of a gateway or worker, by its number.
pub fn zone(number: usize) -> &'static str {
    ["one-a", "one-b", "one-c"][number % 3]
}
