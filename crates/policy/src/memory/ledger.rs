//! The reservations on the memory for callers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;

use stallhoist_core::MonoTime;
use stallhoist_core::WorkspaceName;

use super::MemoryLimits;

/// A reservation up to this size is a small one.
const SMALL_BYTES: usize = 64 << 10;

/// Identifies a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(u64);

/// Whether a reservation may grow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Growth {
    /// It has grown.
    Granted,
    /// Others are evicted. It is to ask again when a reservation has ended.
    Pending {
        /// The reservations that are evicted.
        evicted: Vec<ReservationId>,
    },
    /// There is no room, or it is evicted itself.
    Refused,
}

#[derive(Debug)]
struct Reservation {
    workspace: Option<WorkspaceName>,
    bytes: usize,
    since: MonoTime,
    is_response: bool,
    /// Whether it may be evicted.
    is_evictable: bool,
    is_evicted: bool,
}

/// The reservations on the memory for callers.
#[derive(Debug)]
pub struct MemoryLedger {
    limits: MemoryLimits,
    reservations: BTreeMap<ReservationId, Reservation>,
    used_bytes: usize,
    next: u64,
}

impl MemoryLedger {
    /// Creates a ledger without reservations.
    pub fn new(limits: MemoryLimits) -> Self {
        Self { limits, reservations: BTreeMap::new(), used_bytes: 0, next: 0 }
    }

    /// Opens a reservation of a request that is being read.
    pub fn open_request(&mut self, now: MonoTime) -> ReservationId {
        self.open(now, None, false)
    }

    /// Opens a reservation of a response to a request of a workspace, which is protected while it is received.
    pub fn open_response(
        &mut self,
        now: MonoTime,
        workspace: Option<WorkspaceName>,
    ) -> ReservationId {
        self.open(now, workspace, true)
    }

    fn open(
        &mut self,
        now: MonoTime,
        workspace: Option<WorkspaceName>,
        is_response: bool,
    ) -> ReservationId {
        let id = ReservationId(self.next);
        self.next += 1;
        let reservation = Reservation {
            workspace,
            bytes: 0,
            since: now,
            is_response,
            is_evictable: !is_response,
            is_evicted: false,
        };
        self.reservations.insert(id, reservation);
        id
    }

    /// Records the workspace that a request belongs to.
    pub fn set_workspace(&mut self, id: ReservationId, workspace: Option<WorkspaceName>) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.workspace = workspace;
        }
    }

    /// Decides whether a reservation may grow to this size.
    pub fn grow(&mut self, now: MonoTime, id: ReservationId, bytes: usize) -> Growth {
        let Some(reservation) =
            self.reservations.get(&id).filter(|reservation| !reservation.is_evicted)
        else {
            return Growth::Refused;
        };
        let added = bytes.saturating_sub(reservation.bytes);
        let is_large = bytes > SMALL_BYTES;
        let limit = if is_large { self.limits.large_bytes } else { self.limits.total_bytes };
        let mut excess = (self.used_bytes + added).saturating_sub(limit);
        let mut only_own = false;
        if is_large && !reservation.is_response {
            let used = self.request_bytes_of(&reservation.workspace);
            let of_workspace = (used + added).saturating_sub(self.limits.workspace_bytes);
            only_own = of_workspace > excess;
            excess = excess.max(of_workspace);
        }
        if excess > 0 {
            return self.make_room(now, id, bytes, excess, only_own);
        }
        self.record_growth(id, bytes);
        Growth::Granted
    }

    /// Records that a reservation has grown to this size, which it may while others are evicted.
    pub fn record_growth(&mut self, id: ReservationId, bytes: usize) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            let added = bytes.saturating_sub(reservation.bytes);
            reservation.bytes += added;
            self.used_bytes += added;
        }
    }

    /// Evicts reservations until `excess` bytes are free: of its own workspace only, or of any that holds as much.
    fn make_room(
        &mut self,
        now: MonoTime,
        id: ReservationId,
        bytes: usize,
        excess: usize,
        only_own: bool,
    ) -> Growth {
        let own = &self.reservations[&id].workspace;
        let is_eligible = |reservation: &Reservation| !only_own || reservation.workspace == *own;
        let ending = self
            .reservations
            .values()
            .filter(|reservation| reservation.is_evicted && is_eligible(reservation));
        let mut freed: usize = ending.map(|reservation| reservation.bytes).sum();
        let mut evicted = Vec::new();
        if freed < excess {
            for candidate in self.candidates(now, id, bytes, only_own) {
                if candidate == id {
                    return Growth::Refused;
                }
                freed += self.reservations[&candidate].bytes;
                evicted.push(candidate);
                if freed >= excess {
                    break;
                }
            }
        }
        if freed < excess {
            return Growth::Refused;
        }
        for id in &evicted {
            if let Some(reservation) = self.reservations.get_mut(id) {
                reservation.is_evicted = true;
            }
        }
        Growth::Pending { evicted }
    }

    /// Reservations that may be evicted for this one, which would have `bytes`, in that order.
    fn candidates(
        &self,
        now: MonoTime,
        id: ReservationId,
        bytes: usize,
        only_own: bool,
    ) -> Vec<ReservationId> {
        let size = |(of, reservation): (&ReservationId, &Reservation)| {
            if *of == id { bytes } else { reservation.bytes }
        };
        let mut used: HashMap<&Option<WorkspaceName>, usize> = HashMap::new();
        for entry in self.reservations.iter().filter(|(_, reservation)| !reservation.is_evicted) {
            *used.entry(&entry.1.workspace).or_default() += size(entry);
        }
        let own = &self.reservations[&id].workspace;
        let own_used = used.get(own).copied().unwrap_or_default();
        let may_be_evicted = |reservation: &Reservation| {
            let is_own = reservation.workspace == *own;
            let holds_as_much =
                used.get(&reservation.workspace).is_some_and(|used| *used >= own_used);
            reservation.is_evictable
                && !reservation.is_evicted
                && (is_own || (!only_own && holds_as_much))
        };
        let entries =
            self.reservations.iter().filter(|(_, reservation)| may_be_evicted(reservation));
        let mut candidates: Vec<_> = entries
            .map(|entry| {
                let held = size(entry) as u128 * now.since(entry.1.since).as_millis().max(1);
                let used = used.get(&entry.1.workspace).copied().unwrap_or_default();
                (Reverse(used), Reverse(held), *entry.0)
            })
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Memory that the requests of a workspace hold.
    fn request_bytes_of(&self, workspace: &Option<WorkspaceName>) -> usize {
        let reservations = self.reservations.values();
        let requests = reservations.filter(|reservation| {
            !reservation.is_evicted
                && !reservation.is_response
                && reservation.workspace == *workspace
        });
        requests.map(|reservation| reservation.bytes).sum()
    }

    /// Protects a reservation from eviction. Returns false if it was evicted before.
    pub fn protect(&mut self, id: ReservationId) -> bool {
        let reservation =
            self.reservations.get_mut(&id).filter(|reservation| !reservation.is_evicted);
        reservation.is_some_and(|reservation| {
            reservation.is_evictable = false;
            true
        })
    }

    /// Lets a reservation be evicted again.
    pub fn unprotect(&mut self, id: ReservationId) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.is_evictable = true;
        }
    }

    /// Ends a reservation.
    pub fn close(&mut self, id: ReservationId) {
        if let Some(reservation) = self.reservations.remove(&id) {
            self.used_bytes -= reservation.bytes;
        }
    }

    /// Memory that a reservation holds.
    pub fn bytes_of(&self, id: ReservationId) -> usize {
        self.reservations.get(&id).map_or(0, |reservation| reservation.bytes)
    }

    /// Memory that the reservations hold.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }
}
