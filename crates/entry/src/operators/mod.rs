//! The HTTP interface for operators.

mod dump;
mod routes;
mod table_routes;

pub(crate) use routes::mount;
