//! A model engine's stand-in: the chat-completions interface with streaming,
//! continuous batching with a step time, a bounded prefix cache, cancel and resume,
//! lagging load reports and fenced orders.

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
