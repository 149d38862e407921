//! Accepts callers' connections, and closes them at a planned stop.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use super::connections::Connection;
use super::connections::Connections;
use super::handler::handle;
use crate::observed_io::ObservedIo;
use crate::routing::CallerBounds;
use crate::state::GatewayState;
use crate::tcp::TcpTimeouts;
use crate::tcp::set_socket_options;

/// Size of a connection's buffer: the largest request head that a configuration may allow.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits after which an unresponsive caller's connection is closed.
const CALLER_SILENCE_LIMITS: TcpTimeouts = TcpTimeouts {
    keepalive_idle: Duration::from_secs(2),
    probes: 3,
    ack_timeout: Duration::from_secs(5),
};

/// The server that callers connect to.
#[derive(Debug)]
pub(crate) struct CallerServer {
    addr: SocketAddr,
    close: watch::Sender<bool>,
    stop_accepting: watch::Sender<bool>,
    connections: Arc<Connections>,
    /// Owns the tasks of the connections.
    accepting: JoinHandle<()>,
}

impl CallerServer {
    /// Binds the address and accepts connections.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub(crate) async fn start(addr: SocketAddr, state: Arc<GatewayState>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (close, closing) = watch::channel(false);
        let (stop_accepting, stopped) = watch::channel(false);
        let connections = Arc::new(Connections::new(Arc::clone(&state)));
        let callers = Arc::clone(&connections);
        let accepting = tokio::spawn(accept(listener, state, closing, stopped, callers));
        Ok(Self { addr, close, stop_accepting, connections, accepting })
    }

    /// The bound address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes idle connections now, and the others when their request has ended. New connections, and those
    /// without a request so far, are closed after one request.
    pub(crate) fn close_idle(&self) {
        self.close.send_replace(true);
    }

    /// Stops accepting connections.
    pub(crate) fn stop_accepting(&self) {
        self.stop_accepting.send_replace(true);
    }

    /// Closes all connections, also those with a request in progress.
    pub(crate) fn close_all(&self) {
        self.accepting.abort();
    }

    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.connections.open()
    }

    /// Number of open connections that have received a request. Once idle connections are closed, these have a response
    /// to make or to send.
    pub(crate) fn used(&self) -> usize {
        self.connections.used()
    }
}

async fn accept(
    listener: TcpListener,
    state: Arc<GatewayState>,
    closing: watch::Receiver<bool>,
    mut stopped: watch::Receiver<bool>,
    callers: Arc<Connections>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = stopped.wait_for(|is_stopped| *is_stopped) => break,
        };
        match accepted {
            // Without room for the connection it is closed, and its caller turns to another gateway.
            Ok((stream, _)) => {
                if let Some(caller) = callers.accept() {
                    let state = Arc::clone(&state);
                    connections.spawn(serve(stream, state, closing.clone(), caller));
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(
    stream: TcpStream,
    state: Arc<GatewayState>,
    mut closing: watch::Receiver<bool>,
    caller: Connection,
) {
    if let Err(error) = set_socket_options(&stream, CALLER_SILENCE_LIMITS) {
        log::debug!(error:% = error; "failed to set socket options of a caller's connection");
    }
    let bounds = state.config().map_or_else(CallerBounds::default, |c| c.bounds.clone());
    let caller = Arc::new(caller);
    let io = ObservedIo::new(stream, Arc::clone(&caller.head));
    let service = service_fn(|request| {
        caller.record_request();
        let (state, caller, reservation) =
            (Arc::clone(&state), Arc::clone(&caller), caller.head.take());
        async move {
            let response = handle(state, request, reservation, &caller).await;
            caller.head.expect_next();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.idle_timeout)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(io), service);
    let mut connection = std::pin::pin!(connection);
    // The value that `wait_for` returns holds a lock on the channel and must be dropped.
    let close_requested = async { closing.wait_for(|is_closing| *is_closing).await.is_ok() };
    let served = async {
        tokio::select! {
            result = connection.as_mut() => result,
            _ = close_requested => {
                // On a new connection the first request may be in transit, and hyper would close the connection
                // without reading it. The response to that request closes the connection.
                if caller.is_used() {
                    connection.as_mut().graceful_shutdown();
                }
                connection.await
            }
        }
    };
    tokio::select! {
        result = served => if let Err(error) = result {
            log::debug!(error:% = error; "a caller's connection closed with an error");
        },
        () = caller.evicted.cancelled() => {
            log::debug!("a caller's connection closed: it is needed for others");
        }
    }
}
