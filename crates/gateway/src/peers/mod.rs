//! News between entries.
//!
//! Each call to the platform's store has a price, and all entries need the same news. So in
//! a large fleet a few entries follow the store and answer the others, which ask them as
//! they would ask the store. An entry that gets no fresh answer asks the store itself.
//!
//! Which entries follow the store comes from the system's own list of entries, in an order that
//! all compute alike (fast links first, one of each availability zone, then a hash): no election,
//! and two that disagree only ask the store more often than they need.
//!
//! News travel packed, large values as differences to what the asker holds; a transfer is judged
//! by its progress, not by the time that it takes in all.
//!
//! An entry that starts knows nobody. It asks the seeds of its settings, as if they were relays;
//! while the store is away they tell what they knew last, which is what they serve by themselves.

mod baselines;
mod cached_row;
mod client;
mod connection;
mod crashes;
mod evidence;
mod feed_cache;
mod health;
mod limits;
mod list;
mod messages;
mod packing;
mod poll_targets;
mod relayed_store;
mod response;
mod rollout_decisions;
mod route;
mod seeds;
mod server;
mod starting;
mod work;

pub(crate) use evidence::publish_evidence;
pub use feed_cache::FeedCache;
pub use feed_cache::Origin;
pub(crate) use limits::fetch_startup_limits;
pub use list::PeerList;
pub use packing::pack;
pub use packing::unpack;
pub(crate) use poll_targets::follows_store;
pub(crate) use relayed_store::RelayedStore;
pub(crate) use server::PeerServer;
pub(crate) use work::publish_work;
