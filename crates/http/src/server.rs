//! Start, settings and shutdown of an HTTP server.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use rocket::Build;
use rocket::Config;
use rocket::Rocket;
use rocket::Shutdown;
use rocket::config::LogLevel;
use rocket::config::Shutdown as ShutdownConfig;
use rocket::data::Limits;
use rocket::data::ToByteUnit;
use rocket::fairing::AdHoc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Time that the server has for its own clean-up after the grace period.
const CLEANUP_GRACE_S: u32 = 1;

/// Why a server didn't start.
#[derive(Debug, Display, thiserror::Error)]
pub enum ServerError {
    /// cannot serve on {addr}: {cause}
    NotStarted {
        /// The requested address.
        addr: SocketAddr,
        /// The cause.
        cause: String,
    },
}

/// Address, limits and grace period of a server.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Address to listen on; with port 0 the system chooses a free port.
    pub addr: SocketAddr,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Time after which an idle connection is closed, in seconds.
    pub keep_alive_s: u32,
    /// Time that a shutdown waits for requests in progress.
    pub stop_grace: Duration,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_body_bytes: 4 << 20,
            keep_alive_s: 30,
            stop_grace: Duration::from_secs(2),
        }
    }
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    addr: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts a server and returns once it listens.
    ///
    /// # Errors
    /// Fails if the address can't be bound or routes collide.
    pub async fn start(
        rocket: Rocket<Build>,
        settings: &ServerSettings,
    ) -> Result<Self, ServerError> {
        let not_started = |cause: String| ServerError::NotStarted { addr: settings.addr, cause };
        let (bound_sender, bound) = oneshot::channel();
        let liftoff = AdHoc::on_liftoff("report bound address", move |rocket| {
            let addr = SocketAddr::new(rocket.config().address, rocket.config().port);
            Box::pin(async move {
                let _ = bound_sender.send((addr, rocket.shutdown()));
            })
        });
        let rocket = rocket.configure(config(settings)).attach(liftoff);
        let ignited = rocket.ignite().await.map_err(|e| not_started(e.kind().to_string()))?;
        let (failed_sender, failed) = oneshot::channel();
        let task = tokio::spawn(async move {
            if let Err(error) = ignited.launch().await {
                let _ = failed_sender.send(error.kind().to_string());
            }
        });
        match bound.await {
            Ok((addr, shutdown)) => Ok(Self { addr, shutdown, task }),
            Err(_) => Err(not_started(failed.await.unwrap_or_default())),
        }
    }

    /// The address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Begins the shutdown: rejects new connections, while requests in progress continue.
    pub fn begin_stop(&self) {
        self.shutdown.clone().notify();
    }

    /// Shuts down, with `linger` as the time for pending writes. The caller knows when its requests have ended; the
    /// server itself would wait its whole grace period for connections that are only kept alive.
    pub async fn stop(self, linger: Duration) {
        self.begin_stop();
        let mut task = self.task;
        if tokio::time::timeout(linger, &mut task).await.is_err() {
            task.abort();
        }
    }
}

fn config(settings: &ServerSettings) -> Config {
    let max_body = settings.max_body_bytes.bytes();
    Config {
        address: settings.addr.ip(),
        port: settings.addr.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        keep_alive: settings.keep_alive_s,
        limits: Limits::new()
            .limit("json", max_body)
            .limit("string", max_body)
            .limit("bytes", max_body),
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: HashSet::new(),
            grace: u32::try_from(settings.stop_grace.as_secs()).unwrap_or(u32::MAX).max(1),
            mercy: CLEANUP_GRACE_S,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}
