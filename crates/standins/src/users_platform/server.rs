//! HTTP server whose handlers can abort connections, and which can stop abruptly like a crashed process.

use std::future::Future;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Response body. An error in it aborts the connection.
pub(super) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A server on loopback. It stops when dropped.
#[derive(Debug)]
pub(super) struct Server {
    addr: SocketAddr,
    accepting: JoinSet<()>,
    connections: Arc<Mutex<JoinSet<()>>>,
}

impl Server {
    /// Serves on a free port. An error of the handler aborts the connection without a response.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub(super) async fn start<H, F>(handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Result<Response<Body>, io::Error>> + Send + 'static,
    {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), handler).await
    }

    /// Serves on an address.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub(super) async fn start_at<H, F>(addr: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Result<Response<Body>, io::Error>> + Send + 'static,
    {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let connections = Arc::new(Mutex::new(JoinSet::new()));
        let mut accepting = JoinSet::new();
        accepting.spawn(accept(listener, Arc::clone(&connections), handler));
        Ok(Self { addr, accepting, connections })
    }

    /// Returns the address on which it listens.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops like a crashed process: closes the listener and aborts all connections.
    pub(super) async fn end(mut self) {
        self.accepting.shutdown().await;
        self.connections.lock().abort_all();
    }
}

async fn accept<H, F>(listener: TcpListener, connections: Arc<Mutex<JoinSet<()>>>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, io::Error>> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let service = service_fn(handler.clone());
        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connections.lock().spawn(async move {
            // Aborted connections end with an error by design.
            let _ = serving.await;
        });
    }
}
