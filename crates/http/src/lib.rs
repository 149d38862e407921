//! Starting and stopping of HTTP servers, authentication of operators, and the memory of callers.
//!
//! By default, the HTTP library stops on a signal by itself and cuts requests in progress, which doesn't suit a
//! router. Here a server stops only on request: it rejects new connections at once and lets requests in progress
//! finish.

pub mod caller_memory;
mod operators_key;
mod server;

pub use operators_key::OperatorsKey;
pub use operators_key::OperatorsKeyDigest;
pub use operators_key::bearer_key;
pub use server::HttpServer;
pub use server::ServerError;
pub use server::ServerSettings;
