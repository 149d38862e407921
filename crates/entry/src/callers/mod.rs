//! The HTTP interface for callers: chat completions and calls of plain services.
//!
//! `routes` is the entry point. `chat` and `services` turn a call into orders, with the shared steps in
//! `call`; `run` and `cascade` execute them; `reply` and `problem` build the response. Every request
//! ends with exactly one outcome.

mod auth;
mod call;
mod cascade;
mod chat;
mod headers;
mod in_flight;
mod models;
mod problem;
mod reply;
mod routes;
mod run;
mod services;

pub(crate) use routes::mount;
