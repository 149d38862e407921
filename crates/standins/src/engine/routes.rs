//! HTTP routes of the engine, and routes under `/standin` that control the stand-in.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rocket::Build;
use rocket::Request;
use rocket::Rocket;
use rocket::State;
use rocket::delete;
use rocket::get;
use rocket::http::Status;
use rocket::post;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use rocket::response::Responder;
use rocket::response::stream::Event;
use rocket::response::stream::EventStream;
use rocket::routes;
use rocket::serde::json::Json;
use serde::Serialize;
use uuid::Uuid;

use super::cache::CacheEvent;
use super::chat::ChatAnswer;
use super::chat::ChatChoice;
use super::chat::ChatChunk;
use super::chat::ChatChunkChoice;
use super::chat::ChatDelta;
use super::chat::ChatMessage;
use super::chat::ChatRequest;
use super::chat::ChatUsage;
use super::generation::EngineExecution;
use super::generation::Generation;
use super::generation::GenerationState;
use super::orders::Order;
use super::orders::OrderLog;
use super::state::EngineState;
use super::state::Load;
use super::switches::EngineSwitches;

type Engine = State<Arc<EngineState>>;
type ChatStream = EventStream<futures_util::stream::BoxStream<'static, Event>>;

pub(crate) fn mount(state: Arc<EngineState>) -> Rocket<Build> {
    rocket::build().manage(state).mount(
        "/",
        routes![
            chat,
            resume,
            cancel,
            load,
            cache_events,
            cache_blocks,
            order,
            orders,
            executions,
            switches
        ],
    )
}

/// Request ID from the header, or a generated one if the header is missing.
struct RequestIdHeader(String);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestIdHeader {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let given = request.headers().get_one("X-Request-Id").map(str::to_owned);
        Outcome::Success(Self(given.unwrap_or_else(|| Uuid::now_v7().to_string())))
    }
}

enum ChatReply {
    Whole(Json<ChatAnswer>),
    Streamed(ChatStream),
}

impl<'r> Responder<'r, 'r> for ChatReply {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'r> {
        match self {
            Self::Whole(answer) => answer.respond_to(request),
            Self::Streamed(events) => events.respond_to(request),
        }
    }
}

#[post("/v1/chat/completions", data = "<request>")]
async fn chat(
    engine: &Engine,
    id: RequestIdHeader,
    request: Json<ChatRequest>,
) -> Result<ChatReply, Status> {
    if engine.should_fail() {
        return Err(Status::InternalServerError);
    }
    let generation = engine.start(id.0, &request);
    let reader = Reader::new(generation);
    if request.stream {
        return Ok(ChatReply::Streamed(stream_from(reader, 0)));
    }
    let mut progress = reader.0.progress.subscribe();
    let is_over = |p: &super::generation::Progress| p.state != GenerationState::Running;
    let over = progress.wait_for(is_over).await.map(|p| *p);
    match over.map(|p| p.state) {
        Ok(GenerationState::Finished) => Ok(ChatReply::Whole(Json(complete_answer(&reader.0)))),
        _ => Err(Status::InternalServerError),
    }
}

#[get("/v1/streams/<id>?<from>")]
fn resume(engine: &Engine, id: &str, from: usize) -> Result<ChatStream, Status> {
    let found = engine.generations.lock().by_request.get(id).cloned();
    let generation = found.ok_or(Status::NotFound)?;
    Ok(stream_from(Reader::new(generation), from))
}

#[delete("/v1/streams/<id>")]
fn cancel(engine: &Engine, id: &str) -> Status {
    if engine.cancel(id) { Status::Ok } else { Status::NotFound }
}

#[get("/v1/load")]
fn load(engine: &Engine) -> Json<Load> {
    Json(engine.reported_load())
}

#[derive(Serialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

#[get("/v1/cache-events?<after>")]
fn cache_events(engine: &Engine, after: u64) -> Json<CacheEvents> {
    let lag = Duration::from_millis(engine.switches.lock().cache_event_lag_ms);
    let until = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
    let events = engine.cache.lock().events_after(after, until);
    Json(CacheEvents { events })
}

#[derive(Serialize)]
struct CacheBlocks {
    last_sequence: u64,
    blocks: Vec<u64>,
}

#[get("/v1/cache-blocks")]
fn cache_blocks(engine: &Engine) -> Json<CacheBlocks> {
    let cache = engine.cache.lock();
    Json(CacheBlocks { last_sequence: cache.last_sequence(), blocks: cache.blocks() })
}

#[post("/v1/orders", data = "<order>")]
fn order(engine: &Engine, order: Json<Order>) -> Status {
    let checks_fencing = engine.switches.lock().checks_fencing;
    let is_taken = engine.orders.lock().take(&order, checks_fencing);
    if is_taken { Status::Ok } else { Status::Conflict }
}

#[get("/v1/orders")]
fn orders(engine: &Engine) -> Json<OrderLog> {
    Json(engine.orders.lock().clone())
}

#[get("/standin/executions")]
fn executions(engine: &Engine) -> Json<Vec<EngineExecution>> {
    let generations = engine.generations.lock();
    Json(generations.in_order.iter().map(|g| g.execution()).collect())
}

#[post("/standin/switches", data = "<switches>")]
fn switches(engine: &Engine, switches: Json<EngineSwitches>) {
    *engine.switches.lock() = switches.into_inner();
}

/// Counts as a reader of a generation until dropped.
struct Reader(Arc<Generation>);

impl Reader {
    fn new(generation: Arc<Generation>) -> Self {
        generation.readers.fetch_add(1, Ordering::SeqCst);
        Self(generation)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.readers.fetch_sub(1, Ordering::SeqCst);
    }
}

fn complete_answer(generation: &Generation) -> ChatAnswer {
    let completion_tokens = generation.words.len() as u64;
    let text = generation.words.join(" ");
    ChatAnswer {
        id: generation.request_id.clone(),
        object: "chat.completion",
        created: 0,
        model: generation.model.clone(),
        choices: vec![ChatChoice {
            index: 0,
            message: ChatMessage { role: "assistant".to_owned(), content: text.into() },
            finish_reason: "stop",
        }],
        usage: ChatUsage::new(generation.prompt_tokens, completion_tokens),
    }
}

/// Streams one event for each token from `from` on, then one with the usage, then `[DONE]`. The stream of a
/// generation that doesn't finish ends without the last two.
fn stream_from(reader: Reader, from: usize) -> ChatStream {
    let events = rocket::async_stream::stream! {
        let generation = Arc::clone(&reader.0);
        let mut progress = generation.progress.subscribe();
        let mut next = from;
        loop {
            let now = *progress.borrow_and_update();
            while next < now.tokens {
                yield token_event(&generation, next);
                next += 1;
            }
            if now.state == GenerationState::Finished {
                yield last_event(&generation);
                yield Event::data("[DONE]");
                break;
            }
            if now.state != GenerationState::Running {
                break;
            }
            if progress.changed().await.is_err() {
                break;
            }
        }
        drop(reader);
    };
    let boxed: futures_util::stream::BoxStream<'static, Event> = Box::pin(events);
    EventStream::from(boxed).heartbeat(None)
}

fn token_event(generation: &Generation, token: usize) -> Event {
    let word = &generation.words[token];
    let text = if token == 0 { word.clone() } else { format!(" {word}") };
    let delta = ChatDelta { role: (token == 0).then_some("assistant"), content: Some(&text) };
    let choice = ChatChunkChoice { index: 0, delta, finish_reason: None };
    chunk_event(generation, vec![choice], None)
}

fn last_event(generation: &Generation) -> Event {
    let delta = ChatDelta { role: None, content: None };
    let choice = ChatChunkChoice { index: 0, delta, finish_reason: Some("stop") };
    let usage = ChatUsage::new(generation.prompt_tokens, generation.words.len() as u64);
    chunk_event(generation, vec![choice], Some(usage))
}

fn chunk_event(
    generation: &Generation,
    choices: Vec<ChatChunkChoice<'_>>,
    usage: Option<ChatUsage>,
) -> Event {
    Event::json(&ChatChunk {
        id: &generation.request_id,
        object: "chat.completion.chunk",
        created: 0,
        model: &generation.model,
        choices,
        usage,
    })
}
