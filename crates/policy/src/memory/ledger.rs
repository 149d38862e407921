//! The claims on the memory for callers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;

use stallhoist_core::MonoTime;
use stallhoist_core::WorkspaceName;

use super::MemoryLimits;

/// A claim up to this size is a small one.
const SMALL_BYTES: usize = 64 << 10;

/// Identifies a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(u64);

/// Whether a claim may grow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Growth {
    /// It has grown.
    Granted,
    /// Others give way. It is to ask again when a claim has ended.
    Pending {
        /// The claims that give way from now on.
        given_up: Vec<ClaimId>,
    },
    /// There is no room, or it has to give way itself.
    Refused,
}

#[derive(Debug)]
struct Claim {
    workspace: Option<WorkspaceName>,
    bytes: usize,
    since: MonoTime,
    is_response: bool,
    /// Whether it may have to give way.
    is_optional: bool,
    is_given_up: bool,
}

/// The claims on the memory for callers.
#[derive(Debug)]
pub struct MemoryLedger {
    limits: MemoryLimits,
    claims: BTreeMap<ClaimId, Claim>,
    used_bytes: usize,
    next: u64,
}

impl MemoryLedger {
    /// Creates a ledger without claims.
    pub fn new(limits: MemoryLimits) -> Self {
        Self { limits, claims: BTreeMap::new(), used_bytes: 0, next: 0 }
    }

    /// Opens a claim of a request that is being read.
    pub fn open_request(&mut self, now: MonoTime) -> ClaimId {
        self.open(now, None, false)
    }

    /// Opens a claim of a response to a request of a workspace.
    pub fn open_response(&mut self, now: MonoTime, workspace: Option<WorkspaceName>) -> ClaimId {
        self.open(now, workspace, true)
    }

    fn open(
        &mut self,
        now: MonoTime,
        workspace: Option<WorkspaceName>,
        is_response: bool,
    ) -> ClaimId {
        let id = ClaimId(self.next);
        self.next += 1;
        let claim = Claim {
            workspace,
            bytes: 0,
            since: now,
            is_response,
            is_optional: true,
            is_given_up: false,
        };
        self.claims.insert(id, claim);
        id
    }

    /// Records the workspace that a request belongs to.
    pub fn set_workspace(&mut self, id: ClaimId, workspace: Option<WorkspaceName>) {
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.workspace = workspace;
        }
    }

    /// Decides whether a claim may grow to this size.
    pub fn grow(&mut self, now: MonoTime, id: ClaimId, bytes: usize) -> Growth {
        let Some(claim) = self.claims.get(&id).filter(|claim| !claim.is_given_up) else {
            return Growth::Refused;
        };
        let added = bytes.saturating_sub(claim.bytes);
        let is_large = bytes > SMALL_BYTES;
        let limit = if is_large { self.limits.large_bytes } else { self.limits.total_bytes };
        let mut excess = (self.used_bytes + added).saturating_sub(limit);
        let mut only_own = false;
        if is_large && !claim.is_response {
            let used = self.used_by(&claim.workspace, |claim| !claim.is_response);
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

    /// Records that a claim has grown to this size, which it may while others give way.
    pub fn record_growth(&mut self, id: ClaimId, bytes: usize) {
        if let Some(claim) = self.claims.get_mut(&id) {
            let added = bytes.saturating_sub(claim.bytes);
            claim.bytes += added;
            self.used_bytes += added;
        }
    }

    /// Gives up claims so that `excess` bytes become free, of the claim's own workspace only or of any that holds as much.
    fn make_room(
        &mut self,
        now: MonoTime,
        id: ClaimId,
        bytes: usize,
        excess: usize,
        only_own: bool,
    ) -> Growth {
        let own = &self.claims[&id].workspace;
        let is_eligible = |claim: &Claim| !only_own || claim.workspace == *own;
        let ending = self.claims.values().filter(|claim| claim.is_given_up && is_eligible(claim));
        let mut freed: usize = ending.map(|claim| claim.bytes).sum();
        let mut given_up = Vec::new();
        if freed < excess {
            for candidate in self.candidates(now, id, bytes, only_own) {
                if candidate == id {
                    return Growth::Refused;
                }
                freed += self.claims[&candidate].bytes;
                given_up.push(candidate);
                if freed >= excess {
                    break;
                }
            }
        }
        if freed < excess {
            return Growth::Refused;
        }
        for id in &given_up {
            if let Some(claim) = self.claims.get_mut(id) {
                claim.is_given_up = true;
            }
        }
        Growth::Pending { given_up }
    }

    /// Claims that may give way to this one, which would have `bytes`, in the order in which they do.
    fn candidates(&self, now: MonoTime, id: ClaimId, bytes: usize, only_own: bool) -> Vec<ClaimId> {
        let size = |(of, claim): (&ClaimId, &Claim)| if *of == id { bytes } else { claim.bytes };
        let mut used: HashMap<&Option<WorkspaceName>, usize> = HashMap::new();
        for entry in self.claims.iter().filter(|(_, claim)| !claim.is_given_up) {
            *used.entry(&entry.1.workspace).or_default() += size(entry);
        }
        let own = &self.claims[&id].workspace;
        let own_used = used.get(own).copied().unwrap_or_default();
        let may_give_way = |claim: &Claim| {
            let is_own = claim.workspace == *own;
            let holds_as_much = used.get(&claim.workspace).is_some_and(|used| *used >= own_used);
            claim.is_optional && !claim.is_given_up && (is_own || (!only_own && holds_as_much))
        };
        let entries = self.claims.iter().filter(|(_, claim)| may_give_way(claim));
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

    fn used_by(&self, workspace: &Option<WorkspaceName>, is_counted: fn(&Claim) -> bool) -> usize {
        let claims = self.claims.values();
        let counted = claims.filter(|claim| {
            !claim.is_given_up && claim.workspace == *workspace && is_counted(claim)
        });
        counted.map(|claim| claim.bytes).sum()
    }

    /// Keeps a claim from giving way. Returns whether it had not done so before.
    pub fn keep(&mut self, id: ClaimId) -> bool {
        let claim = self.claims.get_mut(&id).filter(|claim| !claim.is_given_up);
        claim.is_some_and(|claim| {
            claim.is_optional = false;
            true
        })
    }

    /// Lets a claim give way again.
    pub fn offer(&mut self, id: ClaimId) {
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.is_optional = true;
        }
    }

    /// Ends a claim.
    pub fn close(&mut self, id: ClaimId) {
        if let Some(claim) = self.claims.remove(&id) {
            self.used_bytes -= claim.bytes;
        }
    }

    /// Memory that a claim holds.
    pub fn bytes_of(&self, id: ClaimId) -> usize {
        self.claims.get(&id).map_or(0, |claim| claim.bytes)
    }

    /// Memory that the claims hold.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }
}
