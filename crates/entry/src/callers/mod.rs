//! The callers' interface.

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
