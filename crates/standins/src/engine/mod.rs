//! Stand-in for a model engine: the chat-completions API with streaming, continuous batching with a step time, a
//! bounded prefix cache, cancel and resume, delayed load reports and fenced orders.
//!
//! Read `switches` for what can be set, then `state`, which runs generations, then `routes`.

mod cache;
mod chat;
mod generation;
mod orders;
mod routes;
mod server;
mod state;
mod switches;

pub use generation::EngineExecution;
pub use server::EngineStandin;
pub use switches::EngineSwitches;
