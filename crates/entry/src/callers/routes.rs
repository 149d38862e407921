//! The HTTP routes for callers.

use std::sync::Arc;

use rocket::Build;
use rocket::Request;
use rocket::Rocket;
use rocket::State;
use rocket::catch;
use rocket::catchers;
use rocket::data::Data;
use rocket::get;
use rocket::http::Method;
use rocket::http::Status;
use rocket::http::uri::Origin;
use rocket::post;
use rocket::route::Handler;
use rocket::route::Outcome;
use rocket::route::Route;
use rocket::routes;
use rocket::serde::json::Json;
use stallhoist_core::NotRunReason;

use super::auth::Caller;
use super::call;
use super::cascade;
use super::chat;
use super::chat::ChatOrder;
use super::headers::RawHeaders;
use super::in_flight::InFlight;
use super::models;
use super::models::ModelList;
use super::problem::Problem;
use super::reply::Reply;
use super::run;
use super::services;
use super::services::ServiceCall;
use crate::shared::Shared;

const SERVICES_PREFIX: &str = "/v1/services/";
const SERVICE_METHODS: [Method; 5] =
    [Method::Get, Method::Post, Method::Put, Method::Patch, Method::Delete];

type Entry = State<Arc<Shared>>;

pub(crate) fn mount(shared: Arc<Shared>) -> Rocket<Build> {
    rocket::build()
        .manage(shared)
        .mount("/", routes![list_models, complete_chat])
        .mount("/", service_routes())
        .register("/", catchers![refused])
}

#[get("/v1/models")]
fn list_models(entry: &Entry, caller: Caller) -> Result<Json<ModelList>, Box<Reply>> {
    let table = call::table(entry).map_err(|problem| Box::new(Reply::from(problem)))?;
    Ok(Json(models::list(&table, &caller.workspace)))
}

#[post("/v1/chat/completions", data = "<data>")]
async fn complete_chat(
    entry: &Entry,
    caller: Caller,
    headers: RawHeaders,
    data: Data<'_>,
) -> Reply {
    let Some(place) = InFlight::acquire(entry) else {
        return run::too_many_requests();
    };
    let parsed = async {
        let headers = headers.check();
        let deadline_ms = headers.as_ref().ok().and_then(|headers| headers.deadline_ms);
        let body = call::read_body(entry, &caller.workspace, deadline_ms, data).await?;
        chat::order(entry, &caller, headers?, &body)
    };
    match parsed.await {
        Ok(ChatOrder::Single(order)) => run::run(entry, *order, place).await,
        Ok(ChatOrder::Cascade(orders)) => cascade::run(entry, *orders, place).await,
        Err(problem) => problem.into(),
    }
}

/// Handles all methods and paths below a service.
#[derive(Debug, Clone)]
struct ServiceHandler;

fn service_routes() -> Vec<Route> {
    let path = "/v1/services/<service>/<path..>";
    SERVICE_METHODS.into_iter().map(|method| Route::new(method, path, ServiceHandler)).collect()
}

#[rocket::async_trait]
impl Handler for ServiceHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let entry = match request.guard::<&Entry>().await.succeeded() {
            Some(entry) => entry,
            None => return Outcome::error(Status::InternalServerError),
        };
        let caller = match request.guard::<Caller>().await {
            rocket::request::Outcome::Success(caller) => caller,
            rocket::request::Outcome::Error((status, ())) => return Outcome::error(status),
            rocket::request::Outcome::Forward(status) => return Outcome::error(status),
        };
        let headers = request.guard::<RawHeaders>().await.succeeded().unwrap_or_default();
        let reply = serve_call(entry, &caller, &headers, request, data).await;
        Outcome::from(request, reply)
    }
}

async fn serve_call(
    entry: &Entry,
    caller: &Caller,
    headers: &RawHeaders,
    request: &Request<'_>,
    data: Data<'_>,
) -> Reply {
    let Some(place) = InFlight::acquire(entry) else {
        return run::too_many_requests();
    };
    let parsed = async {
        let checked = headers.check();
        let deadline_ms = checked.as_ref().ok().and_then(|headers| headers.deadline_ms);
        let body = call::read_body(entry, &caller.workspace, deadline_ms, data).await?;
        let (service, path) = service_and_path(request.uri());
        let service_call = ServiceCall {
            service,
            method: request.method().as_str(),
            path,
            content_type: headers.content_type.clone(),
            body,
        };
        services::order(entry, caller, checked?, service_call)
    };
    match parsed.await {
        Ok(order) => run::run(entry, order, place).await,
        Err(problem) => problem.into(),
    }
}

fn service_and_path<'a>(uri: &'a Origin<'_>) -> (&'a str, String) {
    let rest = uri.path().as_str().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    (service, format!("/{path}{query}"))
}

#[catch(default)]
fn refused(status: Status, _request: &Request<'_>) -> Reply {
    let problem = match status.code {
        401 => Problem::not_routed(401, "wrong-key", "no workspace has this bearer key"),
        404 => Problem::not_routed(404, "no-such-path", "there is nothing at this path"),
        503 => Problem::not_run(NotRunReason::NoTable, std::time::Duration::from_secs(1)),
        code if code < 500 => Problem::not_routed(code, "bad-request", status.to_string()),
        _ => {
            // A handler failed: the request may or may not have run.
            let detail = "the entry failed while it served the request";
            Problem::no_response(stallhoist_core::Outcome::Unknown, "internal", detail)
        }
    };
    problem.into()
}
