//! Requests feeds from the seeds of the settings, for a gateway that starts while the store is
//! unavailable.

use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;
use stallhoist_core::StoreEra;
use stallhoist_settings::GatewaySettings;

use super::connection::PeerError;
use super::connection::request_once;
use super::feed_cache::Origin;
use super::messages::PeerRequest;
use super::messages::feed_number;
use super::response::PeerResponse;
use crate::control_store::Feed;
use crate::control_store::FeedPage;
use crate::state::GatewayState;

/// Timeout for a seed to start its response.
const RESPONSE_START_TIMEOUT: Duration = Duration::from_millis(400);

/// The seeds of the settings that are valid addresses.
pub(super) fn seeds(settings: &GatewaySettings) -> impl Iterator<Item = SocketAddr> {
    settings.seeds.iter().filter_map(|seed| seed.parse().ok())
}

/// What the seeds last knew of a feed that was never read here; `None` if no seed has it.
pub(super) async fn request_from_seeds(state: &GatewayState, feed: Feed) -> Option<FeedPage> {
    if state.feed_cache.has(feed) {
        return None;
    }
    for addr in seeds(&state.settings) {
        match request_from_seed(state, addr, feed).await {
            Ok(response) if response.has_copy => {
                log::info!(feed:? = feed, addr:% = addr; "the store is away, a seed answered");
                state.news_from.lock().insert(feed, Some(addr));
                return response.into_page(StoreEra::default()).ok();
            }
            Ok(_) => log::debug!(feed:? = feed, addr:% = addr; "the seed has no copy of the feed"),
            Err(error) => {
                log::debug!(addr:% = addr, error:% = error; "a seed did not respond");
            }
        }
    }
    None
}

async fn request_from_seed(
    state: &GatewayState,
    addr: SocketAddr,
    feed: Feed,
) -> Result<PeerResponse, PeerError> {
    let request = PeerRequest {
        feed: feed_number(feed),
        accepts_stale: true,
        accepts_packed: true,
        ..PeerRequest::default()
    };
    let mut response = request_once(addr, &request, RESPONSE_START_TIMEOUT).await?;
    state.metrics.record_feed_bytes(Origin::OtherEntry, response.encoded_len());
    response.unpack(feed, &state.feed_cache).map_err(PeerError::Unpackable)?;
    Ok(response)
}
