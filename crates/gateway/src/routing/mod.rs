//! The routing configuration: the service to which a request goes, and the limits that apply to it.

mod allowed_regions;
mod config;
mod limits;
mod route;
mod service;

pub use allowed_regions::AllowedRegions;
pub use allowed_regions::RegionsOfZones;
pub use config::RoutingConfig;
pub use limits::CallerBounds;
pub use route::Destination;
pub use route::Repeat;
pub use route::Route;
pub use service::Service;
pub use service::Workspace;
