//! Stand-in for a service that isn't a model. It records every call that it executes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rocket::Build;
use rocket::Request;
use rocket::Rocket;
use rocket::State;
use rocket::data::Data;
use rocket::data::ToByteUnit;
use rocket::get;
use rocket::http::Status;
use rocket::post;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use rocket::routes;
use rocket::serde::json::Json;
use serde::Deserialize;
use serde::Serialize;
use stallhoist_http::HttpServer;
use stallhoist_http::ServerError;
use stallhoist_http::ServerSettings;

const MAX_BODY_MIB: u64 = 32;

/// An executed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceExecution {
    /// Path of the call.
    pub path: String,
    /// Request body.
    pub body: String,
    /// Request ID that the sidecar sent.
    pub request_id: String,
    /// Idempotency key that the sidecar forwarded.
    pub idempotency_key: String,
}

/// Faults that the service injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSwitches {
    /// Delay before each response, in milliseconds.
    pub delay_ms: u64,
    /// Whether each call gets status 500 after it was executed.
    pub fail: bool,
}

/// Lock order: `switches`, then `executions`.
#[derive(Debug, Default)]
struct Shared {
    switches: Mutex<ServiceSwitches>,
    executions: Mutex<Vec<ServiceExecution>>,
}

/// A running stand-in for a service.
#[derive(Debug)]
pub struct ServiceStandin {
    shared: Arc<Shared>,
    server: HttpServer,
}

impl ServiceStandin {
    /// Starts the service on an address; port 0 selects a free port.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start(addr: SocketAddr) -> Result<Self, ServerError> {
        let shared = Arc::new(Shared::default());
        let settings = ServerSettings { addr, ..ServerSettings::default() };
        let server = HttpServer::start(mount(Arc::clone(&shared)), &settings).await?;
        Ok(Self { shared, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr())
    }

    /// Sets the delay before each response.
    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.switches.lock().delay_ms = delay_ms;
    }

    /// Sets whether each call fails after it was executed.
    pub fn set_fail(&self, fail: bool) {
        self.shared.switches.lock().fail = fail;
    }

    /// Returns the executed calls in order.
    pub fn executions(&self) -> Vec<ServiceExecution> {
        self.shared.executions.lock().clone()
    }

    /// Stops the server.
    pub async fn stop(self) {
        self.server.stop(crate::STOP_LINGER).await;
    }
}

fn mount(shared: Arc<Shared>) -> Rocket<Build> {
    rocket::build().manage(shared).mount("/", routes![call, executions, switches, get_any])
}

/// Request headers that the service records.
struct RecordedHeaders {
    request_id: String,
    idempotency_key: String,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RecordedHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let header = |name| request.headers().get_one(name).unwrap_or_default().to_owned();
        Outcome::Success(Self {
            request_id: header("X-Request-Id"),
            idempotency_key: header("Idempotency-Key"),
        })
    }
}

#[post("/<path..>", data = "<body>", rank = 10)]
async fn call(
    shared: &State<Arc<Shared>>,
    path: PathBuf,
    recorded: RecordedHeaders,
    body: Data<'_>,
) -> Result<Json<ServiceExecution>, Status> {
    let body =
        body.open(MAX_BODY_MIB.mebibytes()).into_string().await.map_err(|_| Status::BadRequest)?;
    let execution = ServiceExecution {
        path: path.display().to_string(),
        body: body.into_inner(),
        request_id: recorded.request_id,
        idempotency_key: recorded.idempotency_key,
    };
    // The call counts as executed even if its response is lost.
    shared.executions.lock().push(execution.clone());
    let switches = shared.switches.lock().clone();
    tokio::time::sleep(Duration::from_millis(switches.delay_ms)).await;
    if switches.fail {
        return Err(Status::InternalServerError);
    }
    Ok(Json(execution))
}

#[get("/<path..>", rank = 10)]
fn get_any(path: PathBuf) -> String {
    format!("looked at {}", path.display())
}

#[get("/standin/executions")]
fn executions(shared: &State<Arc<Shared>>) -> Json<Vec<ServiceExecution>> {
    Json(shared.executions.lock().clone())
}

#[post("/standin/switches", data = "<switches>")]
fn switches(shared: &State<Arc<Shared>>, switches: Json<ServiceSwitches>) {
    *shared.switches.lock() = switches.into_inner();
}
