//! Lists gateways in the store, so that their peers can reach them.
//!
//! A store takes only so many writes a second, and a whole fleet lists itself at once when it starts. A gateway
//! therefore asks a seed, or later a relay, to list it; that one lists all that have asked in one write. A gateway that is
//! still not listed after a while writes its own row, at once if nobody has received its request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::connection::PeerError;
use super::connection::request_once;
use super::messages::PeerRequest;
use super::poll_targets::listing_target;
use crate::control_store::ControlStore;
use crate::control_store::Feed;
use crate::control_store::ListedEntry;
use crate::state::GatewayState;

/// Interval of checks whether this gateway is listed, until it was once: gateways that start with it wait for the
/// list.
const INITIAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The same after that.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for the list to show a gateway after its listing was requested or written, as peers batch and forward
/// changes.
const LISTING_TIME: Duration = Duration::from_secs(5);

/// Timeout for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for the list to show a gateway whose request was not answered, and up to twice as long at random. A peer that is
/// slow because a whole fleet starts lists it all the same.
const UNANSWERED_TIME: Duration = Duration::from_secs(1);

/// How long requests are collected for one write.
const BATCH_TIME: Duration = Duration::from_millis(100);

/// The minimum time between two writes that are not full. Hosts that are busy start their gateways over some seconds.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of gateways in one write, as many rows as the store accepts. A larger fleet takes more writes.
const MAX_BATCH: usize = 100;

/// Delay before a failed write is repeated, and up to twice as long at random. After some failures the gateways are
/// left to list themselves.
const RETRY_DELAY: Duration = Duration::from_millis(400);
const MAX_FAILURES: u32 = 3;

/// What became of the request to be listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListingRequest {
    /// A peer will list this gateway.
    Accepted,
    /// A peer may have received it.
    Unanswered,
    /// No peer has taken it.
    NotTaken,
}

/// A gateway that asks to be listed.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ListingMessage {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(string, tag = "2")]
    peers_addr: String,
    #[prost(string, tag = "3")]
    link: String,
    #[prost(string, optional, tag = "4")]
    zone: Option<String>,
}

impl ListingMessage {
    fn of(entry: &ListedEntry) -> Self {
        Self {
            host: entry.host.to_string(),
            peers_addr: entry.peers_addr.to_string(),
            link: entry.link.to_string(),
            zone: entry.zone.as_ref().map(ToString::to_string),
        }
    }

    /// The gateway; none if a field is invalid.
    fn entry(&self) -> Option<ListedEntry> {
        Some(ListedEntry {
            host: self.host.parse().ok()?,
            peers_addr: self.peers_addr.parse().ok()?,
            link: self.link.parse().ok()?,
            zone: self.zone.as_ref().map(|zone| zone.parse()).transpose().ok()?,
        })
    }
}

/// The gateways that are to be listed with the next write.
#[derive(Debug, Default)]
pub(crate) struct PendingListings {
    entries: Mutex<BTreeMap<HostId, ListedEntry>>,
    added: Notify,
}

impl PendingListings {
    fn add(&self, entries: impl IntoIterator<Item = ListedEntry>) {
        let entries = entries.into_iter().map(|entry| (entry.host.clone(), entry));
        self.entries.lock().extend(entries);
        self.added.notify_one();
    }

    /// Collects requests for a write that may be made from `not_before` on, or as soon as it is full.
    async fn collect(&self, not_before: Instant) {
        let until_full = async {
            while self.entries.lock().len() < MAX_BATCH {
                self.added.notified().await;
            }
        };
        let end = not_before.max(Instant::now() + BATCH_TIME);
        let _ = tokio::time::timeout_at(end, until_full).await;
    }

    fn take(&self) -> Vec<ListedEntry> {
        let mut entries = self.entries.lock();
        let mut taken = Vec::new();
        while taken.len() < MAX_BATCH
            && let Some((_, entry)) = entries.pop_first()
        {
            taken.push(entry);
        }
        taken
    }
}

/// Lists this gateway, forever.
pub(crate) async fn announce(state: Arc<GatewayState>, peers_addr: SocketAddr) {
    let host = &state.settings.host;
    let entry = ListedEntry {
        host: host.id.clone(),
        peers_addr,
        link: host.link,
        zone: Some(host.zone.clone()),
    };
    let mut interval = INITIAL_CHECK_INTERVAL;
    let mut is_known_listed = false;
    let mut is_requested = false;
    let mut listing_deadline = MonoTime::default();
    loop {
        tokio::time::sleep(interval).await;
        if !state.is_synced() || !state.feed_cache.has(Feed::Entries) {
            continue;
        }
        interval = CHECK_INTERVAL;
        if state.peers.lock().is_listed(&entry) {
            if !std::mem::replace(&mut is_known_listed, true) {
                log::info!(peers_addr:% = peers_addr; "listed for other entries");
            }
            is_requested = false;
            listing_deadline = MonoTime::default();
            continue;
        }
        let now = state.now();
        if now < listing_deadline {
            continue;
        }
        state.upstreams.announce_self(now);
        let result = if std::mem::replace(&mut is_requested, true) {
            ListingRequest::NotTaken
        } else {
            request_listing(&state, &entry).await
        };
        if result == ListingRequest::NotTaken {
            state.listings.add([entry.clone()]);
        }
        listing_deadline = now.after(listing_timeout(result));
    }
}

/// Time for the list to show this gateway, after which it writes its own row.
fn listing_timeout(result: ListingRequest) -> Duration {
    match result {
        ListingRequest::Accepted | ListingRequest::NotTaken => LISTING_TIME,
        ListingRequest::Unanswered => UNANSWERED_TIME.mul_f64(rand::rng().random_range(1.0..2.0)),
    }
}

/// Asks a peer to list this gateway.
async fn request_listing(state: &GatewayState, entry: &ListedEntry) -> ListingRequest {
    let Some(addr) = listing_target(state) else {
        return ListingRequest::NotTaken;
    };
    let listing = Some(ListingMessage::of(entry));
    let request = PeerRequest { listing, ..PeerRequest::default() };
    match request_once(addr, &request, RESPONSE_TIMEOUT).await {
        Ok(response) if response.is_listing => ListingRequest::Accepted,
        Ok(_) => ListingRequest::NotTaken,
        Err(error) => {
            log::debug!(addr:% = addr, error:% = error; "failed to ask a peer for the listing");
            match error {
                PeerError::Stalled { .. } => ListingRequest::Unanswered,
                _ => ListingRequest::NotTaken,
            }
        }
    }
}

/// Handles a peer's request to be listed. Returns whether this gateway will list it.
pub(super) fn handle_listing(state: &GatewayState, request: &PeerRequest) -> bool {
    let Some(listing) = &request.listing else {
        return false;
    };
    let Some(entry) = listing.entry() else {
        log::warn!(host = listing.host; "ignoring a listing with an invalid field");
        return false;
    };
    state.listings.add([entry]);
    true
}

/// Writes the requested listings, forever.
pub(crate) async fn write_listings<S: ControlStore>(state: Arc<GatewayState>, store: Arc<S>) {
    let mut failures = 0;
    let mut next_write = Instant::now();
    loop {
        state.listings.added.notified().await;
        loop {
            state.listings.collect(next_write).await;
            next_write = Instant::now() + MIN_WRITE_INTERVAL;
            let entries = state.listings.take();
            if entries.is_empty() {
                break;
            }
            match store.list_entries(&entries).await {
                Ok(()) => failures = 0,
                Err(error) => {
                    failures += 1;
                    log::warn!(
                        entries = entries.len(),
                        failures,
                        error:% = error;
                        "failed to list gateways for their peers"
                    );
                    if failures >= MAX_FAILURES {
                        failures = 0;
                        continue;
                    }
                    state.listings.add(entries);
                    let delay = RETRY_DELAY.mul_f64(rand::rng().random_range(1.0..2.0));
                    tokio::time::sleep(delay).await;
                }
            }
        }
    }
}
