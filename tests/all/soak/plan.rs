//! What goes wrong in a run, and when: drawn from the seed alone.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::words::Word;

/// Gateways of a run, and upstreams of each service.
pub(super) const UPSTREAMS: usize = 4;

/// The time between two faults; they last longer than that, so that several overlap.
const FAULT_EVERY_MS: Range<u64> = 120..520;
const FAULT_LASTS_MS: Range<u64> = 300..2_200;

/// The same for what makes transfers long.
const TRANSFER_FAULT_EVERY_MS: Range<u64> = 400..1_600;
const TRANSFERS_SEED: u64 = 0x5107_11AC;

/// The same for entries of the list of upstreams.
const LIST_FAULT_EVERY_MS: Range<u64> = 500..2_000;
const LISTS_SEED: u64 = 0xB042_0115;

/// The same for requests that end upstreams.
const FATAL_SERIES_EVERY_MS: Range<u64> = 1_200..4_000;
const FATAL_SERIES_SEED: u64 = 0xFA7A_15E1;

/// The same for zones that are emptied and upstreams that turn cold, for longer than it takes until
/// all know.
const ZONE_FAULT_EVERY_MS: Range<u64> = 900..2_500;
const ZONE_FAULT_LASTS_MS: Range<u64> = 4_500..7_000;
const ZONES_SEED: u64 = 0xC01D_2043;

/// The same for what upstreams say of themselves, for longer than it takes until a limit is in force.
const WORD_EVERY_MS: Range<u64> = 700..2_000;
const WORD_LASTS_MS: Range<u64> = 4_500..8_000;
const LIMITS_IN_TEN_S: Range<u32> = 3..60;
const WORDS_SEED: u64 = 0x5A15_0046;

/// When the store next comes back from a copy.
const RETURN_EVERY_MS: Range<u64> = 2_500..6_000;
const RETURNS_SEED: u64 = 0xE4A5_0037;

/// A fault of the connection between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkFault {
    /// Connections in place are reset; new ones come up.
    Reset,
    /// Connections are reset and refused.
    Severed,
    /// What the side that connects sends does not arrive.
    SilentForth,
    /// What the other side answers does not arrive.
    SilentBack,
    /// Everything arrives late.
    Delayed,
    /// Connections in place fall silent for good; new ones come up.
    Silenced,
    /// The link carries little.
    Slow,
}

/// A fault of the store that all gateways see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreFaultKind {
    Unavailable,
    TooManyCalls,
    Silent,
    LostAnswers,
    /// It is unavailable, and meanwhile all entries of upstreams lapse.
    Lapse,
    /// It forgets its history of changes.
    HistoryGone,
}

/// What a faulty upstream does with some requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpstreamFault {
    Fails,
    TurnsAway,
    IsAnother,
    AnswersAnother,
    LacksSeal,
    CutsBody,
    CutsBeforeReply,
    Hangs,
    CutsStream,
}

/// Something that goes wrong, or that operators do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    Kill {
        gateway: usize,
    },
    Terminate {
        gateway: usize,
    },
    Freeze {
        gateway: usize,
        lasts: Duration,
    },
    HangUp {
        gateway: usize,
    },
    /// Several gateways are killed at the same moment.
    KillMany {
        gateways: usize,
    },
    StoreLink {
        gateway: usize,
        kind: LinkFault,
        lasts: Duration,
    },
    Store {
        kind: StoreFaultKind,
        lasts: Duration,
    },
    /// The store comes back from a copy, so old.
    StoreReturn {
        lasts: Duration,
    },
    UpstreamLink {
        upstream: usize,
        kind: LinkFault,
        lasts: Duration,
    },
    Upstream {
        upstream: usize,
        kind: UpstreamFault,
        requests: usize,
    },
    /// An upstream leaves, with or without saying so before, and another one comes.
    Leave {
        upstream: usize,
        is_announced: bool,
    },
    /// An upstream starts again under its id, and a report of its earlier start comes late.
    StartAgain {
        upstream: usize,
    },
    /// Another writer's entry stands in the list of upstreams: in place of an upstream's own for a
    /// while, or beside them.
    AnotherWriter {
        upstream: Option<usize>,
        lasts: Duration,
    },
    Reconfigure,
    /// Operators empty a zone, and take it back.
    EmptyZone {
        lasts: Duration,
    },
    /// An upstream turns cold.
    TurnCold {
        upstream: usize,
        lasts: Duration,
    },
    /// An upstream says something of itself in its answers.
    Says {
        upstream: usize,
        word: Word,
        lasts: Duration,
    },
    /// A caller begins to send a request that ends upstreams, again and again.
    FatalSeries,
    /// The configuration grows by many routes.
    Grow,
    /// The oldest valid key is withdrawn, and a new one given.
    ReplaceKey,
}

/// The faults of a run with their times, in order.
#[derive(Debug)]
pub(super) struct Plan {
    pub(super) faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// The plan of a seed for so many gateways, whose faults begin within `lasts`.
    pub(super) fn new(seed: u64, lasts: Duration, gateways: usize) -> Self {
        let draw = |rng: &mut StdRng| draw(rng, gateways);
        let draw_transfer = |rng: &mut StdRng| draw_transfer(rng, gateways);
        let mut faults = draw_all(seed, FAULT_EVERY_MS, lasts, draw);
        // Drawn apart, so that the other faults of a seed stay what they were.
        let transfers = seed ^ TRANSFERS_SEED;
        faults.extend(draw_all(transfers, TRANSFER_FAULT_EVERY_MS, lasts, draw_transfer));
        faults.extend(draw_all(seed ^ LISTS_SEED, LIST_FAULT_EVERY_MS, lasts, draw_list));
        let series = seed ^ FATAL_SERIES_SEED;
        faults.extend(draw_all(series, FATAL_SERIES_EVERY_MS, lasts, |_| Fault::FatalSeries));
        faults.extend(draw_all(seed ^ ZONES_SEED, ZONE_FAULT_EVERY_MS, lasts, draw_zone));
        faults.extend(draw_all(seed ^ WORDS_SEED, WORD_EVERY_MS, lasts, draw_word));
        faults.extend(draw_all(seed ^ RETURNS_SEED, RETURN_EVERY_MS, lasts, draw_return));
        faults.sort_by_key(|(at, _)| *at);
        Self { faults }
    }
}

/// Faults of one kind with their times, which begin within `lasts`.
fn draw_all(
    seed: u64,
    every_ms: Range<u64>,
    lasts: Duration,
    draw_one: impl Fn(&mut StdRng) -> Fault,
) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += Duration::from_millis(rng.random_range(every_ms.clone()));
        if at >= lasts {
            return faults;
        }
        faults.push((at, draw_one(&mut rng)));
    }
}

/// What makes transfers long, or lets them never end.
fn draw_transfer(rng: &mut StdRng, gateways: usize) -> Fault {
    let gateway = rng.random_range(0..gateways);
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let lasts = Duration::from_millis(rng.random_range(FAULT_LASTS_MS));
    match rng.random_range(0..4) {
        0 => Fault::Grow,
        1 => Fault::StoreLink { gateway, kind: LinkFault::Slow, lasts },
        2 => Fault::StoreLink { gateway, kind: LinkFault::Silenced, lasts },
        _ => Fault::UpstreamLink { upstream, kind: LinkFault::Silenced, lasts },
    }
}

/// An upstream that starts again, or an entry of another writer.
fn draw_list(rng: &mut StdRng) -> Fault {
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let lasts = Duration::from_millis(rng.random_range(FAULT_LASTS_MS));
    match rng.random_range(0..4) {
        0 => Fault::AnotherWriter { upstream: None, lasts },
        1 => Fault::AnotherWriter { upstream: Some(upstream), lasts },
        _ => Fault::StartAgain { upstream },
    }
}

/// A zone that is emptied, or an upstream that turns cold.
fn draw_zone(rng: &mut StdRng) -> Fault {
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let lasts = Duration::from_millis(rng.random_range(ZONE_FAULT_LASTS_MS));
    match rng.random_range(0..3) {
        0 => Fault::EmptyZone { lasts },
        _ => Fault::TurnCold { upstream, lasts },
    }
}

/// A store that comes back from a copy.
fn draw_return(rng: &mut StdRng) -> Fault {
    Fault::StoreReturn { lasts: Duration::from_millis(rng.random_range(FAULT_LASTS_MS)) }
}

/// What an upstream says of itself.
fn draw_word(rng: &mut StdRng) -> Fault {
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let lasts = Duration::from_millis(rng.random_range(WORD_LASTS_MS));
    let word = match rng.random_range(0..4) {
        0 => Word::Leaving,
        1 => Word::Rest,
        _ => Word::Limit(rng.random_range(LIMITS_IN_TEN_S)),
    };
    Fault::Says { upstream, word, lasts }
}

fn draw(rng: &mut StdRng, gateways: usize) -> Fault {
    let gateway = rng.random_range(0..gateways);
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let lasts = Duration::from_millis(rng.random_range(FAULT_LASTS_MS));
    match rng.random_range(0..28) {
        0..3 => Fault::Terminate { gateway },
        3..5 => Fault::Kill { gateway },
        5..7 => Fault::Freeze { gateway, lasts },
        7 => Fault::HangUp { gateway },
        8 => Fault::KillMany { gateways: rng.random_range(2..=gateways) },
        9..12 => Fault::StoreLink { gateway, kind: draw_link(rng), lasts },
        12..14 => Fault::Store { kind: draw_store(rng), lasts },
        14..17 => Fault::UpstreamLink { upstream, kind: draw_link(rng), lasts },
        17..24 => {
            let requests = rng.random_range(3..12);
            Fault::Upstream { upstream, kind: draw_upstream(rng), requests }
        }
        24..26 => Fault::Leave { upstream, is_announced: rng.random_bool(0.7) },
        26 => Fault::Reconfigure,
        _ => Fault::ReplaceKey,
    }
}

fn draw_link(rng: &mut impl Rng) -> LinkFault {
    match rng.random_range(0..5) {
        0 => LinkFault::Reset,
        1 => LinkFault::Severed,
        2 => LinkFault::SilentForth,
        3 => LinkFault::SilentBack,
        _ => LinkFault::Delayed,
    }
}

fn draw_store(rng: &mut impl Rng) -> StoreFaultKind {
    match rng.random_range(0..6) {
        0 => StoreFaultKind::Unavailable,
        1 => StoreFaultKind::TooManyCalls,
        2 => StoreFaultKind::Silent,
        3 => StoreFaultKind::LostAnswers,
        4 => StoreFaultKind::Lapse,
        _ => StoreFaultKind::HistoryGone,
    }
}

fn draw_upstream(rng: &mut impl Rng) -> UpstreamFault {
    match rng.random_range(0..9) {
        0 => UpstreamFault::Fails,
        1 => UpstreamFault::TurnsAway,
        2 => UpstreamFault::IsAnother,
        3 => UpstreamFault::AnswersAnother,
        4 => UpstreamFault::LacksSeal,
        5 => UpstreamFault::CutsBody,
        6 => UpstreamFault::CutsBeforeReply,
        7 => UpstreamFault::Hangs,
        _ => UpstreamFault::CutsStream,
    }
}
