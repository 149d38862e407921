//! Server of the engine's stand-in.

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

/// A running stand-in for a model engine.
#[derive(Debug)]
pub struct EngineStandin {
    state: Arc<EngineState>,
    server: HttpServer,
}

impl EngineStandin {
    /// Starts the engine on an address; port 0 selects a free port.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start(addr: SocketAddr, switches: EngineSwitches) -> Result<Self, ServerError> {
        let state = Arc::new(EngineState::default());
        *state.switches.lock() = switches;
        let settings =
            ServerSettings { addr, max_body_bytes: MAX_PROMPT_BYTES, ..ServerSettings::default() };
        let server = HttpServer::start(routes::mount(Arc::clone(&state)), &settings).await?;
        Ok(Self { state, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr())
    }

    /// Replaces the engine's settings.
    pub fn set_switches(&self, switches: EngineSwitches) {
        *self.state.switches.lock() = switches;
    }

    /// Returns the executed generations in order of arrival.
    pub fn executions(&self) -> Vec<EngineExecution> {
        let generations = self.state.generations.lock();
        generations.in_order.iter().map(|g| g.execution()).collect()
    }

    /// Drops the records of executed generations, which bounds memory in long runs.
    pub fn clear_executions(&self) {
        let mut generations = self.state.generations.lock();
        generations.by_request.clear();
        generations.in_order.clear();
    }

    /// Stops the server.
    pub async fn stop(self) {
        self.server.stop(crate::STOP_LINGER).await;
    }
}
