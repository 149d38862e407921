//! The engine's stand-in as a running server.

use std::net::SocketAddr;
use std::sync::Arc;

use stallhoist_http::HttpServer;
use stallhoist_http::ServerError;
use stallhoist_http::ServerSettings;

use super::EngineExecution;
use super::EngineSwitches;
use super::routes;
use super::state::EngineState;

const MAX_PROMPT_BYTES: usize = 32 << 20;

/// A model engine's stand-in, serving.
#[derive(Debug)]
pub struct EngineStandin {
    state: Arc<EngineState>,
    server: HttpServer,
}

impl EngineStandin {
    /// Starts it on an address; port 0 takes a free one.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub async fn start(addr: SocketAddr, switches: EngineSwitches) -> Result<Self, ServerError> {
        let state = Arc::new(EngineState::default());
        *state.switches.lock() = switches;
        let settings =
            ServerSettings { addr, max_body_bytes: MAX_PROMPT_BYTES, ..ServerSettings::default() };
        let server = HttpServer::start(routes::mount(Arc::clone(&state)), &settings).await?;
        Ok(Self { state, server })
    }

    /// The address as a URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr())
    }

    /// Changes how the engine behaves.
    pub fn set_switches(&self, switches: EngineSwitches) {
        *self.state.switches.lock() = switches;
    }

    /// What was executed, in order.
    pub fn executions(&self) -> Vec<EngineExecution> {
        let generations = self.state.generations.lock();
        generations.in_order.iter().map(|g| g.execution()).collect()
    }

    /// Forgets what was executed, so that long runs stay small.
    pub fn clear_executions(&self) {
        let mut generations = self.state.generations.lock();
        generations.by_request.clear();
        generations.in_order.clear();
    }

    /// Stops serving.
    pub async fn stop(self) {
        self.server.stop(crate::STOP_LINGER).await;
    }
}
