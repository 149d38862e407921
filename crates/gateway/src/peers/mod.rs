//! Exchange of store data and state between gateways.
//!
//! Each call to the platform's store is charged, and all gateways need the same data. In a large
//! fleet a few gateways, the relays, therefore follow the store and serve the others, which poll
//! them as they would poll the store. A gateway that gets no fresh response queries the store
//! itself.
//!
//! The relays are selected from the system's own list of gateways, in an order that all compute
//! alike (fast links first, one per availability zone, then a hash). There is no election, and
//! gateways that disagree only make more store calls than necessary.
//!
//! Data is sent packed, large values as deltas to what the receiver holds. A transfer is bounded by
//! its progress, not by its total time.
//!
//! A gateway that starts knows no peers. It polls the seeds of its settings as if they were relays;
//! while the store is unavailable they send the data they last knew, which is also what they serve
//! with.
//!
//! Reading order: `list` and `poll_targets` select peers, `messages` and `response` define the
//! protocol, `relayed_store` polls, `server` responds from `feed_cache`, `listing` lists gateways; `work`, `evidence`,
//! `health`, `crashes`, `limits`, `rollout_decisions` and `duties` exchange state.

mod baselines;
mod cached_row;
mod client;
mod connection;
mod crashes;
mod duties;
mod duty_messages;
mod evidence;
mod evidence_message;
mod feed_cache;
mod health;
mod limits;
mod list;
mod listing;
mod messages;
mod packing;
mod poll_targets;
mod push_targets;
mod relayed_store;
mod response;
mod rollout_decisions;
mod route;
mod seeds;
mod server;
mod starting;
mod work;

pub(crate) use duties::exchange_duties;
pub(crate) use duties::flush_duties;
pub(crate) use evidence::publish_evidence;
pub use feed_cache::FeedCache;
pub use feed_cache::Origin;
pub(crate) use limits::fetch_startup_limits;
pub use list::PeerList;
pub(crate) use listing::PendingListings;
pub(crate) use listing::announce;
pub(crate) use listing::write_listings;
pub use packing::pack;
pub use packing::unpack;
pub(crate) use poll_targets::follows_store;
pub(crate) use relayed_store::RelayedStore;
pub use route::switch_pause;
pub(crate) use server::PeerServer;
pub(crate) use work::publish_work;
