//! The operators' interface of an entry.

mod dump;
mod routes;
mod table_routes;

pub(crate) use routes::mount;
