//! Starting and stopping HTTP servers the way every process needs it.
//!
//! This crate exists because the server's defaults do not fit a router: it would
//! stop on a signal by itself and cut what is in progress. Here a server stops only
//! when told, refuses new connections at once and lets what is in progress finish.

mod operators_key;
mod server;

pub use operators_key::OperatorsKey;
pub use operators_key::OperatorsKeyDigest;
pub use operators_key::bearer_key;
pub use server::HttpServer;
pub use server::ServerError;
pub use server::ServerSettings;
