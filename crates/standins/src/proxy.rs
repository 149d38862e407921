//! A TCP proxy that cuts, delays, stops and refuses connections when told.
//!
//! Home-made, because the one ready library for this in Rust has not been
//! maintained for years and cannot stop one direction of a live connection.

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

/// What is passed on at once over a slow link: connections that share it take turns.
const SLOW_BUFFER_BYTES: usize = 4 << 10;

/// A direction through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the one who connects to the one who listens.
    ToListener,
    /// The other way.
    ToOpener,
}

/// What the proxy does with connections.
#[derive(Debug, Clone, Copy, Default)]
struct Mode {
    /// Connections in place are ended when this changes.
    cuts: u64,
    /// Connections in place carry nothing more once this has changed.
    silences: u64,
    /// New connections are refused.
    refuses: bool,
    /// Bytes towards the listener wait.
    holds_to_listener: bool,
    /// Bytes towards the opener wait.
    holds_to_opener: bool,
    /// Bytes both ways are passed on so much later.
    delay: Duration,
    /// What passes in a second each way, over all connections; none for no limit.
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

/// One way through the proxy, which all connections share.
#[derive(Debug, Default)]
struct Lane {
    passed_bytes: AtomicUsize,
    /// When what is on a slow link has passed.
    free_at: Mutex<Option<Instant>>,
}

impl Lane {
    /// Counts bytes, and gives when they have passed a link of this rate.
    fn pass(&self, bytes: usize, bytes_per_s: Option<u32>) -> Option<Instant> {
        self.passed_bytes.fetch_add(bytes, Ordering::Relaxed);
        let takes = Duration::from_secs(1).mul_f64(bytes as f64 / f64::from(bytes_per_s?));
        let mut free_at = self.free_at.lock();
        let begins = free_at.map_or_else(Instant::now, |at| at.max(Instant::now()));
        *free_at = Some(begins + takes);
        *free_at
    }
}

/// Both ways through the proxy.
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

/// A TCP proxy that cuts, slows down, stops and refuses connections when told.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    lanes: Arc<Lanes>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy to `upstream` on a free port of loopback.
    ///
    /// # Errors
    /// Fails when no port is free.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(Mode::default()));
        let lanes = Arc::<Lanes>::default();
        let shared = Arc::clone(&mode);
        let of_relays = Arc::clone(&lanes);
        let task = tokio::spawn(async move {
            while let Ok((opened, _)) = listener.accept().await {
                if shared.borrow().refuses {
                    continue;
                }
                let lanes = Arc::clone(&of_relays);
                tokio::spawn(relay(opened, upstream, lanes, shared.subscribe()));
            }
        });
        Ok(Self { addr, mode, lanes, task })
    }

    /// Where the proxy listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Ends all connections in place; new ones are taken.
    pub fn cut(&self) {
        self.mode.send_modify(|mode| mode.cuts += 1);
    }

    /// Lets connections in place carry nothing more, and stay open; new ones work.
    pub fn silence(&self) {
        self.mode.send_modify(|mode| mode.silences += 1);
    }

    /// Ends all connections and refuses new ones until [`Self::heal`].
    pub fn sever(&self) {
        self.mode.send_modify(|mode| {
            mode.cuts += 1;
            mode.refuses = true;
        });
    }

    /// Holds back what goes one way, on connections that stay open.
    pub fn hold(&self, direction: Direction) {
        self.mode.send_modify(|mode| match direction {
            Direction::ToListener => mode.holds_to_listener = true,
            Direction::ToOpener => mode.holds_to_opener = true,
        });
    }

    /// Passes bytes on later, both ways.
    pub fn delay(&self, delay: Duration) {
        self.mode.send_modify(|mode| mode.delay = delay);
    }

    /// Passes on so many bytes a second each way, over all connections together.
    pub fn throttle(&self, bytes_per_s: u32) {
        self.mode.send_modify(|mode| mode.bytes_per_s = Some(bytes_per_s));
    }

    /// How many bytes have passed in a direction so far.
    pub fn passed_bytes(&self, direction: Direction) -> usize {
        self.lanes.lane(direction).passed_bytes.load(Ordering::Relaxed)
    }

    /// Lets everything pass again at once, also what was held back.
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
    opened: TcpStream,
    upstream: SocketAddr,
    lanes: Arc<Lanes>,
    mode: watch::Receiver<Mode>,
) {
    let Ok(reached) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = opened.set_nodelay(true);
    let _ = reached.set_nodelay(true);
    let (from_opener, to_opener) = opened.into_split();
    let (from_listener, to_listener) = reached.into_split();
    let cuts = mode.borrow().cuts;
    let forth = pump(from_opener, to_listener, Direction::ToListener, &lanes, mode.clone());
    let back = pump(from_listener, to_opener, Direction::ToOpener, &lanes, mode.clone());
    let mut watched = mode;
    let cut = watched.wait_for(|mode| mode.cuts != cuts);
    // Whichever ends first ends the whole connection: dropping the halves closes it.
    tokio::select! {
        () = forth => {}
        () = back => {}
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
