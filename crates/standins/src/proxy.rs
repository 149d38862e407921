//! TCP proxy that injects network faults: it closes, delays, stalls, throttles and refuses connections.
//!
//! The Rust library for this is unmaintained and can't stall one direction of an open connection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const BUFFER_BYTES: usize = 64 << 10;

/// Read size on a throttled link. It is small so that connections that share the link alternate.
const SLOW_BUFFER_BYTES: usize = 4 << 10;

/// Direction of a transfer through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the listening side.
    ToListener,
    /// From the listening side to the connecting side.
    ToOpener,
}

/// Faults that are active.
#[derive(Debug, Clone, Copy, Default)]
struct Mode {
    /// A change closes all open connections.
    cuts: u64,
    /// After a change, connections that were open before it transfer nothing more.
    silences: u64,
    /// New connections are closed at once.
    refuses: bool,
    /// Transfers to the listening side stall.
    holds_to_listener: bool,
    /// Transfers to the connecting side stall.
    holds_to_opener: bool,
    /// Delay of transfers in both directions.
    delay: Duration,
    /// Bytes per second in each direction, shared by all connections; `None` for no limit.
    bytes_per_s: Option<u32>,
}

impl Mode {
    fn holds(self, direction: Direction) -> bool {
        match direction {
            Direction::ToListener => self.holds_to_listener,
            Direction::ToOpener => self.holds_to_opener,
        }
    }
}

/// State of one direction, shared by all connections.
#[derive(Debug, Default)]
struct Lane {
    passed_bytes: AtomicUsize,
    /// When the throttled link will have transferred everything passed so far.
    free_at: Mutex<Option<Instant>>,
}

impl Lane {
    /// Counts bytes, and returns when a link of this rate will have transferred them.
    fn pass(&self, bytes: usize, bytes_per_s: Option<u32>) -> Option<Instant> {
        self.passed_bytes.fetch_add(bytes, Ordering::Relaxed);
        let takes = Duration::from_secs(1).mul_f64(bytes as f64 / f64::from(bytes_per_s?));
        let mut free_at = self.free_at.lock();
        let begins = free_at.map_or_else(Instant::now, |at| at.max(Instant::now()));
        *free_at = Some(begins + takes);
        *free_at
    }
}

/// State of both directions.
#[derive(Debug, Default)]
struct Lanes {
    to_listener: Lane,
    to_opener: Lane,
}

impl Lanes {
    fn lane(&self, direction: Direction) -> &Lane {
        match direction {
            Direction::ToListener => &self.to_listener,
            Direction::ToOpener => &self.to_opener,
        }
    }
}

/// A TCP proxy that injects network faults.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    lanes: Arc<Lanes>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy to `upstream` on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(Mode::default()));
        let lanes = Arc::<Lanes>::default();
        let shared = Arc::clone(&mode);
        let relay_lanes = Arc::clone(&lanes);
        let task = tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                if shared.borrow().refuses {
                    continue;
                }
                let lanes = Arc::clone(&relay_lanes);
                tokio::spawn(relay(inbound, upstream, lanes, shared.subscribe()));
            }
        });
        Ok(Self { addr, mode, lanes, task })
    }

    /// Returns the address on which the proxy listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes all open connections. New ones are accepted.
    pub fn cut(&self) {
        self.mode.send_modify(|mode| mode.cuts += 1);
    }

    /// Stalls all open connections for good without closing them. New ones work.
    pub fn silence(&self) {
        self.mode.send_modify(|mode| mode.silences += 1);
    }

    /// Closes all open connections and refuses new ones until [`Self::heal`].
    pub fn sever(&self) {
        self.mode.send_modify(|mode| {
            mode.cuts += 1;
            mode.refuses = true;
        });
    }

    /// Stalls one direction of all connections without closing them, until [`Self::heal`].
    pub fn hold(&self, direction: Direction) {
        self.mode.send_modify(|mode| match direction {
            Direction::ToListener => mode.holds_to_listener = true,
            Direction::ToOpener => mode.holds_to_opener = true,
        });
    }

    /// Delays transfers in both directions.
    pub fn delay(&self, delay: Duration) {
        self.mode.send_modify(|mode| mode.delay = delay);
    }

    /// Limits each direction to this rate, shared by all connections.
    pub fn throttle(&self, bytes_per_s: u32) {
        self.mode.send_modify(|mode| mode.bytes_per_s = Some(bytes_per_s));
    }

    /// Returns the bytes that have passed in a direction so far.
    pub fn passed_bytes(&self, direction: Direction) -> usize {
        self.lanes.lane(direction).passed_bytes.load(Ordering::Relaxed)
    }

    /// Clears all faults. Transfers stalled by [`Self::hold`] resume, but not connections stalled by [`Self::silence`].
    pub fn heal(&self) {
        self.mode.send_modify(|mode| {
            mode.delay = Duration::ZERO;
            mode.bytes_per_s = None;
            mode.refuses = false;
            mode.holds_to_listener = false;
            mode.holds_to_opener = false;
        });
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
        self.sever();
    }
}

async fn relay(
    inbound: TcpStream,
    upstream: SocketAddr,
    lanes: Arc<Lanes>,
    mode: watch::Receiver<Mode>,
) {
    let Ok(outbound) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (from_opener, to_opener) = inbound.into_split();
    let (from_listener, to_listener) = outbound.into_split();
    let cuts = mode.borrow().cuts;
    let to_server_pump =
        pump(from_opener, to_listener, Direction::ToListener, &lanes, mode.clone());
    let to_client_pump = pump(from_listener, to_opener, Direction::ToOpener, &lanes, mode.clone());
    let mut watched = mode;
    let cut = watched.wait_for(|mode| mode.cuts != cuts);
    // The connection closes as soon as one direction ends, because the halves are dropped.
    tokio::select! {
        () = to_server_pump => {}
        () = to_client_pump => {}
        _ = cut => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    lanes: &Lanes,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let silences = mode.borrow().silences;
    loop {
        let bytes_per_s = mode.borrow().bytes_per_s;
        let at_once = bytes_per_s.map_or(BUFFER_BYTES, |_| SLOW_BUFFER_BYTES);
        let read = match from.read(&mut buffer[..at_once]).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        let passes = |mode: &Mode| mode.silences == silences && !mode.holds(direction);
        if mode.wait_for(passes).await.is_err() {
            return;
        }
        let delay = mode.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if let Some(passed_at) = lanes.lane(direction).pass(read, bytes_per_s) {
            tokio::time::sleep_until(passed_at).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
