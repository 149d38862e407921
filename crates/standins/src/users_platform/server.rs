//! A small HTTP server whose connections a handler can cut.

use std::future::Future;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// The body of an answer. An error in it cuts the connection.
pub(super) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Serves on a free port of loopback until the set is dropped. A handler's error cuts the
/// connection without an answer.
pub(super) async fn serve<H, F>(handler: H) -> io::Result<(SocketAddr, JoinSet<()>)>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, io::Error>> + Send + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let addr = listener.local_addr()?;
    let mut accepting = JoinSet::new();
    accepting.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(handler.clone());
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            connections.spawn(async move {
                // A connection that was cut on purpose ends in an error.
                let _ = serving.await;
            });
        }
    });
    Ok((addr, accepting))
}
