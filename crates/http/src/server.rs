//! One running HTTP server.

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

/// Time the server's own clean-up is given after the grace has passed.
const MERCY_S: u32 = 1;

/// Why a server did not start.
#[derive(Debug, Display, thiserror::Error)]
pub enum ServerError {
    /// cannot serve on {addr}: {cause}
    NotStarted {
        /// The address that was asked for.
        addr: SocketAddr,
        /// Why.
        cause: String,
    },
}

/// How a server listens and stops.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Where it listens; port 0 takes a free one.
    pub addr: SocketAddr,
    /// The largest request body.
    pub max_body_bytes: usize,
    /// How long an idle connection is kept open, in seconds.
    pub keep_alive_s: u32,
    /// How long a stop waits for requests in progress.
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

/// One running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    addr: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts serving and gives the server once it listens.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on or the routes collide.
    pub async fn start(
        rocket: Rocket<Build>,
        settings: &ServerSettings,
    ) -> Result<Self, ServerError> {
        let not_started = |cause: String| ServerError::NotStarted { addr: settings.addr, cause };
        let (tell_bound, bound) = oneshot::channel();
        let liftoff = AdHoc::on_liftoff("tell address", move |rocket| {
            let addr = SocketAddr::new(rocket.config().address, rocket.config().port);
            Box::pin(async move {
                let _ = tell_bound.send((addr, rocket.shutdown()));
            })
        });
        let rocket = rocket.configure(config(settings)).attach(liftoff);
        let ignited = rocket.ignite().await.map_err(|e| not_started(e.kind().to_string()))?;
        let (tell_failed, failed) = oneshot::channel();
        let task = tokio::spawn(async move {
            if let Err(error) = ignited.launch().await {
                let _ = tell_failed.send(error.kind().to_string());
            }
        });
        match bound.await {
            Ok((addr, shutdown)) => Ok(Self { addr, shutdown, task }),
            Err(_) => Err(not_started(failed.await.unwrap_or_default())),
        }
    }

    /// Where the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Refuses new connections from now on; requests in progress go on.
    pub fn begin_stop(&self) {
        self.shutdown.clone().notify();
    }

    /// Stops, giving what is still being written `linger` to go out. The caller knows
    /// when its requests have ended; the server itself would wait out its whole grace
    /// for connections that are merely kept alive.
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
            mercy: MERCY_S,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}
