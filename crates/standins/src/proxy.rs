//! A TCP proxy that cuts, delays, stops and refuses connections when told.
//!
//! Home-made, because the one ready library for this in Rust has not been
//! maintained for years and cannot stop one direction of a live connection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;

const BUFFER_BYTES: usize = 64 << 10;

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
    /// New connections are refused.
    refuses: bool,
    /// Bytes towards the listener wait.
    holds_to_listener: bool,
    /// Bytes towards the opener wait.
    holds_to_opener: bool,
    /// Bytes both ways are passed on so much later.
    delay: Duration,
}

impl Mode {
    fn holds(self, direction: Direction) -> bool {
        match direction {
            Direction::ToListener => self.holds_to_listener,
            Direction::ToOpener => self.holds_to_opener,
        }
    }
}

/// A TCP proxy that cuts, stops and refuses connections when told.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
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
        let shared = Arc::clone(&mode);
        let task = tokio::spawn(async move {
            while let Ok((opened, _)) = listener.accept().await {
                if shared.borrow().refuses {
                    continue;
                }
                tokio::spawn(relay(opened, upstream, shared.subscribe()));
            }
        });
        Ok(Self { addr, mode, task })
    }

    /// Where the proxy listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Ends all connections in place; new ones are taken.
    pub fn cut(&self) {
        self.mode.send_modify(|mode| mode.cuts += 1);
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

    /// Lets everything pass again at once, also what was held back.
    pub fn heal(&self) {
        self.mode.send_modify(|mode| {
            mode.delay = Duration::ZERO;
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

async fn relay(opened: TcpStream, upstream: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(reached) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = opened.set_nodelay(true);
    let _ = reached.set_nodelay(true);
    let (from_opener, to_opener) = opened.into_split();
    let (from_listener, to_listener) = reached.into_split();
    let cuts = mode.borrow().cuts;
    let forth = pump(from_opener, to_listener, Direction::ToListener, mode.clone());
    let back = pump(from_listener, to_opener, Direction::ToOpener, mode.clone());
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
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        if mode.wait_for(|mode| !mode.holds(direction)).await.is_err() {
            return;
        }
        let delay = mode.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
