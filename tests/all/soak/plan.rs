//! The schedule of faults of a run, drawn from the seed alone.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_standins::users_platform::DutyFault;

use super::reports::Report;

/// Upstreams of each service.
pub(super) const UPSTREAMS: usize = 4;

/// The interval between two faults. Faults last longer than the interval, so that several overlap.
const FAULT_EVERY_MS: Range<u64> = 120..520;
const FAULT_DURATION_MS: Range<u64> = 300..2_200;

/// The interval between faults that slow transfers down.
const TRANSFER_FAULT_EVERY_MS: Range<u64> = 400..1_600;
const TRANSFERS_SEED: u64 = 0x5107_11AC;

/// The interval between faults of rows in the list of upstreams.
const LIST_FAULT_EVERY_MS: Range<u64> = 500..2_000;
const LIST_FAULTS_SEED: u64 = 0xB042_0115;

/// The interval between series of requests that crash upstreams.
const FATAL_SERIES_EVERY_MS: Range<u64> = 1_200..4_000;
const FATAL_SERIES_SEED: u64 = 0xFA7A_15E1;

/// The interval between faults that empty a zone or put an upstream into warm-up. They last longer
/// than it takes until all gateways have received the change.
const ZONE_FAULT_EVERY_MS: Range<u64> = 900..2_500;
const ZONE_FAULT_DURATION_MS: Range<u64> = 4_500..7_000;
const ZONES_SEED: u64 = 0xC01D_2043;

/// The interval between reports that upstreams make of themselves. They last longer than it takes
/// until a limit is active.
const REPORT_EVERY_MS: Range<u64> = 700..2_000;
const REPORT_DURATION_MS: Range<u64> = 4_500..8_000;
const LIMITS_IN_TEN_S: Range<u32> = 3..60;
const REPORTS_SEED: u64 = 0x5A15_0046;

/// The interval between restorations of the store from a copy.
const RESTORE_EVERY_MS: Range<u64> = 2_500..6_000;
const RESTORES_SEED: u64 = 0xE4A5_0037;

/// The interval between faults of the holder of the duties, or of the platform that receives them.
const DUTY_FAULT_EVERY_MS: Range<u64> = 1_000..3_000;
const DUTIES_SEED: u64 = 0xD071_0055;

/// A fault of the connection between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkFault {
    /// Open connections are reset; new ones can be opened.
    Reset,
    /// Open connections are reset and new ones are refused.
    Severed,
    /// Data from the side that connects is not delivered.
    SilentToServer,
    /// Data to the side that connects is not delivered.
    SilentToClient,
    /// All data is delivered late.
    Delayed,
    /// Open connections deliver nothing more and are not closed; new ones can be opened.
    Silenced,
    /// The bandwidth is limited.
    Slow,
}

/// A fault of the store that all gateways see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreFaultKind {
    Unavailable,
    TooManyCalls,
    Silent,
    LostAnswers,
    /// It is unavailable, and meanwhile all rows of upstreams expire.
    Lapse,
    /// It discards its history of changes.
    HistoryGone,
}

/// How a faulty upstream handles some requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpstreamFault {
    Fails,
    Rejects,
    Misdirects,
    AnswersWrongRequest,
    OmitsSeal,
    CutsBody,
    CutsBeforeReply,
    Hangs,
    CutsStream,
}

/// A fault of the holder of the duties, or of the platform that receives them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DutyFaultKind {
    KillHolder,
    StopHolder,
    FreezeHolder,
    /// The holder's connections to the store.
    HolderStoreLink(LinkFault),
    /// The holder's connections to the platform.
    HolderLink(LinkFault),
    Platform(DutyFault),
}

/// A fault, or an action of operators.
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
        duration: Duration,
    },
    HangUp {
        gateway: usize,
    },
    /// Several gateways are killed at once.
    KillMany {
        gateways: usize,
    },
    StoreLink {
        gateway: usize,
        kind: LinkFault,
        duration: Duration,
    },
    Store {
        kind: StoreFaultKind,
        duration: Duration,
    },
    /// The store is restored from a copy of age `duration`.
    StoreRestore {
        duration: Duration,
    },
    UpstreamLink {
        upstream: usize,
        kind: LinkFault,
        duration: Duration,
    },
    Upstream {
        upstream: usize,
        kind: UpstreamFault,
        requests: usize,
    },
    /// An upstream leaves, announced or not, after a replacement has started.
    Leave {
        upstream: usize,
        is_announced: bool,
    },
    /// An upstream restarts under its ID, and a row of its previous incarnation is written late.
    Restart {
        upstream: usize,
    },
    /// Another writer's row is in the list of upstreams: it replaces an upstream's own row for a
    /// while, or is an additional one.
    ForeignRow {
        upstream: Option<usize>,
        duration: Duration,
    },
    Reconfigure,
    /// Operators empty an availability zone and later restore it.
    EmptyZone {
        duration: Duration,
    },
    /// An upstream is warming up.
    WarmUp {
        upstream: usize,
        duration: Duration,
    },
    /// An upstream reports something about itself in its response headers.
    SelfReport {
        upstream: usize,
        report: Report,
        duration: Duration,
    },
    Duty {
        kind: DutyFaultKind,
        duration: Duration,
    },
    /// A caller begins to send a request that crashes upstreams repeatedly.
    FatalSeries,
    /// Many routes are added to the configuration.
    Grow,
    /// The oldest valid key is withdrawn and a new one is issued.
    ReplaceKey,
}

/// The faults of a run with the times at which they begin, in order.
#[derive(Debug)]
pub(super) struct Plan {
    pub(super) faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Draws the faults of a seed, which begin within `duration`.
    pub(super) fn new(seed: u64, duration: Duration, gateways: usize) -> Self {
        let draw_fault = |rng: &mut StdRng| draw_fault(rng, gateways);
        let draw_transfer = |rng: &mut StdRng| draw_transfer(rng, gateways);
        let mut faults = draw_all(seed, FAULT_EVERY_MS, duration, draw_fault);
        // Each group has its own generator, so that a new group leaves the other faults of a seed
        // unchanged.
        let transfers = seed ^ TRANSFERS_SEED;
        faults.extend(draw_all(transfers, TRANSFER_FAULT_EVERY_MS, duration, draw_transfer));
        faults.extend(draw_all(seed ^ LIST_FAULTS_SEED, LIST_FAULT_EVERY_MS, duration, draw_list));
        let series = seed ^ FATAL_SERIES_SEED;
        faults.extend(draw_all(series, FATAL_SERIES_EVERY_MS, duration, |_| Fault::FatalSeries));
        faults.extend(draw_all(seed ^ ZONES_SEED, ZONE_FAULT_EVERY_MS, duration, draw_zone));
        faults.extend(draw_all(seed ^ REPORTS_SEED, REPORT_EVERY_MS, duration, draw_report));
        faults.extend(draw_all(seed ^ RESTORES_SEED, RESTORE_EVERY_MS, duration, draw_restore));
        faults.extend(draw_all(seed ^ DUTIES_SEED, DUTY_FAULT_EVERY_MS, duration, draw_duty));
        faults.sort_by_key(|(at, _)| *at);
        Self { faults }
    }
}

/// Draws one group of faults, which begin within `duration`.
fn draw_all(
    seed: u64,
    every_ms: Range<u64>,
    duration: Duration,
    draw_one: impl Fn(&mut StdRng) -> Fault,
) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += Duration::from_millis(rng.random_range(every_ms.clone()));
        if at >= duration {
            return faults;
        }
        faults.push((at, draw_one(&mut rng)));
    }
}

/// Draws a fault that makes transfers slow or endless.
fn draw_transfer(rng: &mut StdRng, gateways: usize) -> Fault {
    let gateway = rng.random_range(0..gateways);
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    match rng.random_range(0..4) {
        0 => Fault::Grow,
        1 => Fault::StoreLink { gateway, kind: LinkFault::Slow, duration },
        2 => Fault::StoreLink { gateway, kind: LinkFault::Silenced, duration },
        _ => Fault::UpstreamLink { upstream, kind: LinkFault::Silenced, duration },
    }
}

/// Draws a restart of an upstream, or a row of another writer.
fn draw_list(rng: &mut StdRng) -> Fault {
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    match rng.random_range(0..4) {
        0 => Fault::ForeignRow { upstream: None, duration },
        1 => Fault::ForeignRow { upstream: Some(upstream), duration },
        _ => Fault::Restart { upstream },
    }
}

/// Draws a zone to empty, or an upstream that warms up.
fn draw_zone(rng: &mut StdRng) -> Fault {
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let duration = Duration::from_millis(rng.random_range(ZONE_FAULT_DURATION_MS));
    match rng.random_range(0..3) {
        0 => Fault::EmptyZone { duration },
        _ => Fault::WarmUp { upstream, duration },
    }
}

/// Draws a restoration of the store from a copy.
fn draw_restore(rng: &mut StdRng) -> Fault {
    Fault::StoreRestore { duration: Duration::from_millis(rng.random_range(FAULT_DURATION_MS)) }
}

/// Draws a fault of the holder of the duties, or of the platform that receives them.
fn draw_duty(rng: &mut StdRng) -> Fault {
    let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    let kind = match rng.random_range(0..8) {
        0 => DutyFaultKind::KillHolder,
        1 => DutyFaultKind::StopHolder,
        2 => DutyFaultKind::FreezeHolder,
        3 => DutyFaultKind::HolderStoreLink(draw_link(rng)),
        4 => DutyFaultKind::HolderLink(draw_link(rng)),
        5 => DutyFaultKind::Platform(DutyFault::LoseAnswers),
        6 => DutyFaultKind::Platform(DutyFault::Silent),
        _ => DutyFaultKind::Platform(DutyFault::Status(503)),
    };
    Fault::Duty { kind, duration }
}

/// Draws a report of an upstream about itself.
fn draw_report(rng: &mut StdRng) -> Fault {
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let duration = Duration::from_millis(rng.random_range(REPORT_DURATION_MS));
    let report = match rng.random_range(0..4) {
        0 => Report::Leaving,
        1 => Report::BackOff,
        _ => Report::Limit(rng.random_range(LIMITS_IN_TEN_S)),
    };
    Fault::SelfReport { upstream, report, duration }
}

fn draw_fault(rng: &mut StdRng, gateways: usize) -> Fault {
    let gateway = rng.random_range(0..gateways);
    let upstream = rng.random_range(0..2 * UPSTREAMS);
    let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    match rng.random_range(0..28) {
        0..3 => Fault::Terminate { gateway },
        3..5 => Fault::Kill { gateway },
        5..7 => Fault::Freeze { gateway, duration },
        7 => Fault::HangUp { gateway },
        8 => Fault::KillMany { gateways: rng.random_range(2..=gateways) },
        9..12 => Fault::StoreLink { gateway, kind: draw_link(rng), duration },
        12..14 => Fault::Store { kind: draw_store(rng), duration },
        14..17 => Fault::UpstreamLink { upstream, kind: draw_link(rng), duration },
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
        2 => LinkFault::SilentToServer,
        3 => LinkFault::SilentToClient,
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
        1 => UpstreamFault::Rejects,
        2 => UpstreamFault::Misdirects,
        3 => UpstreamFault::AnswersWrongRequest,
        4 => UpstreamFault::OmitsSeal,
        5 => UpstreamFault::CutsBody,
        6 => UpstreamFault::CutsBeforeReply,
        7 => UpstreamFault::Hangs,
        _ => UpstreamFault::CutsStream,
    }
}
