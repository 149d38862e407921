//! Answering other entries.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use prost::Message;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::answer::Answer;
use super::asked::follows_store;
use super::connection::PeerError;
use super::connection::framed;
use super::connection::send;
use super::ends::all_ends;
use super::ends::own_ends;
use super::ends::take_ends;
use super::evidence::kept_sessions;
use super::evidence::take_sessions;
use super::limits::all_limits;
use super::limits::own_limits;
use super::limits::take_limits;
use super::messages::Ask;
use super::messages::Evidence;
use super::messages::WorkNews;
use super::messages::feed_of;
use super::standings::own_standings;
use super::standings::take_standings;
use super::usual_times::own_times;
use super::verdicts::own_verdicts;
use super::verdicts::take_verdicts;
use super::work_news::answer_to;
use super::work_news::take_work;
use crate::control_store::ControlStoreError;
use crate::control_store::Feed;
use crate::sessions::SessionScope;
use crate::state::GatewayState;

/// The longest that a question may wait for changes.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A connection on which nothing is asked for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A copy is looked at again this much after its end: at its very end it is still fresh.
const FRESHNESS_SLACK: Duration = Duration::from_millis(5);

/// After a failed accept, for want of descriptors mostly, the next waits this long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers other entries.
#[derive(Debug)]
pub(crate) struct PeerServer {
    addr: SocketAddr,
    _accepting: JoinSet<()>,
}

impl PeerServer {
    /// Starts listening.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub(crate) async fn start(addr: SocketAddr, state: Arc<GatewayState>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let mut accepting = JoinSet::new();
        accepting.spawn(accept(listener, state));
        Ok(Self { addr, _accepting: accepting })
    }

    /// Where it listens.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Accepts connections for ever. When this is dropped, all of them are closed.
async fn accept(listener: TcpListener, state: Arc<GatewayState>) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let state = Arc::clone(&state);
                connections.spawn(async move {
                    if let Err(error) = serve(state, stream).await {
                        log::debug!(peer:% = peer, error:% = error; "an entry's connection ended");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "an entry's connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(state: Arc<GatewayState>, stream: TcpStream) -> Result<(), PeerError> {
    let mut messages = framed(stream)?;
    loop {
        let next = tokio::time::timeout(IDLE_TIMEOUT, messages.next()).await;
        let Some(frame) = next.map_err(|_| PeerError::TimedOut)? else {
            return Ok(());
        };
        let ask = Ask::decode(frame?)?;
        let answer = answer(&state, ask).await;
        send(&mut messages, &answer).await?;
    }
}

async fn answer(state: &GatewayState, ask: Ask) -> Answer {
    for evidence in &ask.evidence {
        take_evidence(state, &ask.host, evidence);
    }
    take_sessions(state, &ask.sessions);
    take_verdicts(state, &ask.verdicts);
    take_standings(state, &ask.standings);
    take_ends(state, &ask.ends);
    take_limits(state, &ask.limits);
    let work = exchange_work(state, &ask);
    let times = own_times(state, ask.is_wanting_times);
    // What is told here asks for no feed.
    let Some(feed) = feed_of(ask.feed) else {
        let (verdicts, standings) = (own_verdicts(state), own_standings(state));
        let ends = own_ends(state);
        let limits = if ask.is_starting { all_limits(state) } else { own_limits(state) };
        return Answer { work, verdicts, standings, times, ends, limits, ..Answer::default() };
    };
    let now = state.now();
    if ask.is_any_age {
        let known = state.feed_cache.last_known(now, feed);
        let mut answer = known.map_or_else(Answer::default, Answer::of);
        answer.pack(feed, &ask, &state.feed_cache);
        return answer;
    }
    state.feed_cache.record_poll(now);
    let until = now.after(Duration::from_millis(ask.wait_ms).min(MAX_WAIT));
    let after = ask.after.map(|number| StoreVersion { era: era_of(state, feed, &ask), number });
    let mut answer = page(state, feed, after, until).await;
    answer.pack(feed, &ask, &state.feed_cache);
    match feed {
        Feed::Rollouts => {
            Answer { sessions: kept_sessions(state, SessionScope::All), times, ..answer }
        }
        Feed::FatalRequests if ask.after.is_none() => Answer { ends: all_ends(state), ..answer },
        _ => answer,
    }
}

/// The store's era by which the one that asks knows a feed. One of a former version tells none, and is
/// taken to know the same as this entry.
fn era_of(state: &GatewayState, feed: Feed, ask: &Ask) -> StoreEra {
    ask.store_era.map_or_else(|| state.feed_cache.era(feed), StoreEra)
}

/// Waits until there is something to say.
async fn page(
    state: &GatewayState,
    feed: Feed,
    after: Option<StoreVersion>,
    until: MonoTime,
) -> Answer {
    loop {
        let changed = state.feed_cache.changed();
        let now = state.now();
        match state.feed_cache.page(now, feed, after) {
            None if is_being_read(state, feed, now) && now < until => {}
            None => return Answer::default(),
            Some(Err(ControlStoreError::HistoryGone)) => {
                return Answer { has_copy: true, is_history_gone: true, ..Answer::default() };
            }
            Some(Err(error)) => {
                log::error!(feed:? = feed, error:% = error; "a copy cannot be read");
                return Answer::default();
            }
            Some(Ok(page)) if !page.rows.is_empty() || after.is_none() || now >= until => {
                return Answer::of(page);
            }
            Some(Ok(_)) => {}
        }
        // When the copy is no longer fresh, the one that asks is told so at once: it would
        // learn of a change a whole wait too late otherwise.
        let fresh_until =
            state.feed_cache.fresh_until(feed).filter(|fresh_until| now <= *fresh_until);
        let wait = fresh_until.map_or(until, |fresh_until| until.min(fresh_until)).since(now);
        let wait = wait + FRESHNESS_SLACK;
        let _ = tokio::time::timeout(wait, changed).await;
    }
}

/// Whether a copy that is not fresh is about to be.
///
/// The records of roll-outs are followed only once there is an order, which those that ask learn
/// from here, some milliseconds later. With "no fresh copy" for an answer, 12 of 21 entries asked
/// the store for the first 8 s of each roll-out, and told nobody meanwhile which sessions stay
/// and what they had counted. And an entry that follows the store and has just started reads
/// everything, or takes the place of a seed: when all start together, those that ask it would ask
/// the store instead.
fn is_being_read(state: &GatewayState, feed: Feed, now: MonoTime) -> bool {
    let is_fresh = |feed| state.feed_cache.fresh_until(feed).is_some_and(|until| now <= until);
    let will_follow_store = !state.feed_cache.is_from_store(feed) && follows_store(state);
    let is_on_the_way = matches!(feed, Feed::Rollouts | Feed::FatalRequests);
    will_follow_store || (is_on_the_way && is_fresh(Feed::Operators))
}

/// Takes in the work that an entry tells, and gives that of the others.
fn exchange_work(state: &GatewayState, ask: &Ask) -> Option<WorkNews> {
    let news = ask.work.as_ref()?;
    match ask.host.parse::<HostId>() {
        Ok(host) => {
            let answer = answer_to(state, &host);
            take_work(state, host, Some(news));
            answer
        }
        Err(error) => {
            log::warn!(host = ask.host, error:% = error; "work of no host ignored");
            None
        }
    }
}

fn take_evidence(state: &GatewayState, host: &str, evidence: &Evidence) {
    let (Ok(host), Ok(service)) = (host.parse(), evidence.service.parse()) else {
        log::warn!(host, service = evidence.service; "evidence of no host or service ignored");
        return;
    };
    let order = StoreVersion::of(evidence.order_version);
    state.rollouts.lock().peer_evidence(host, &service, order, evidence.totals());
}
