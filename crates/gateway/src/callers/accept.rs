//! Accepting callers' connections, and ending them at a planned stop.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::handler::handle;
use crate::routing::CallerBounds;
use crate::state::GatewayState;
use crate::tcp::TcpTimeouts;
use crate::tcp::set_socket_options;

/// A connection's buffer holds the largest head that a configuration may allow.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// After a failed accept, for want of descriptors mostly, the next waits this long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// When a caller is taken for gone.
const CALLER_SILENCE: TcpTimeouts = TcpTimeouts {
    keepalive_idle: Duration::from_secs(2),
    probes: 3,
    ack_timeout: Duration::from_secs(5),
};

/// The server that callers connect to.
#[derive(Debug)]
pub(crate) struct CallerServer {
    addr: SocketAddr,
    close: watch::Sender<bool>,
    open: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
}

impl CallerServer {
    /// Starts listening.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub(crate) async fn start(addr: SocketAddr, state: Arc<GatewayState>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (close, closing) = watch::channel(false);
        let open = Arc::new(AtomicUsize::new(0));
        let accepting = tokio::spawn(accept(listener, state, closing, Arc::clone(&open)));
        Ok(Self { addr, close, open, accepting })
    }

    /// Where it listens.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes connections that rest now, and the others when their request has ended. New
    /// ones, and those on which nothing was asked yet, are taken for one request each.
    pub(crate) fn close_idle(&self) {
        self.close.send_replace(true);
    }

    /// Takes no more connections.
    pub(crate) fn stop_accepting(&self) {
        self.accepting.abort();
    }

    /// Connections that are open.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

async fn accept(
    listener: TcpListener,
    state: Arc<GatewayState>,
    closing: watch::Receiver<bool>,
    open: Arc<AtomicUsize>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let counted = OpenConnection::count(&open);
                let state = Arc::clone(&state);
                let closing = closing.clone();
                tokio::spawn(async move {
                    serve(stream, state, closing).await;
                    drop(counted);
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, state: Arc<GatewayState>, mut closing: watch::Receiver<bool>) {
    if let Err(error) = set_socket_options(&stream, CALLER_SILENCE) {
        log::debug!(error:% = error; "socket options of a caller's connection were not set");
    }
    let bounds = state.config().map_or_else(CallerBounds::default, |c| c.bounds.clone());
    let has_asked = Arc::new(AtomicBool::new(false));
    let asked = Arc::clone(&has_asked);
    let service = service_fn(move |request| {
        asked.store(true, Ordering::SeqCst);
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(handle(state, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.idle_timeout)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // What is waited for must not be kept: it holds a lock on the channel.
    let told_to_close = async { closing.wait_for(|is_closing| *is_closing).await.is_ok() };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = told_to_close => {
            // On a connection that is new, the first request may be on its way, and hyper
            // would close it unread. The answer to that request ends the connection.
            if has_asked.load(Ordering::SeqCst) {
                connection.as_mut().graceful_shutdown();
            }
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(error:% = error; "a caller's connection ended");
    }
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn count(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
