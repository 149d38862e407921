//! The routing configuration: which service a request goes to, and under which limits.

mod config;
mod homes;
mod limits;
mod route;
mod service;

pub use config::RoutingConfig;
pub use homes::Homes;
pub use homes::RegionsOfZones;
pub use limits::CallerBounds;
pub use route::Destination;
pub use route::Repeat;
pub use route::Route;
pub use service::Service;
pub use service::Workspace;
