//! Splits new requests among a model's versions by weight, up to their maximum shares.

use rand::Rng;
use rand::RngExt;
use stallhoist_core::ModelVersion;

const WHOLE_PERCENT: f64 = 100.0;

/// A version that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionCandidate {
    /// The version.
    pub version: ModelVersion,
    /// The operators' weight.
    pub weight: u32,
    /// The maximum share of the model's new requests, in percent.
    pub cap_percent: f64,
    /// Whether the guard holds the version.
    pub is_held: bool,
}

/// Why no version could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionRefusal {
    /// No version takes new requests.
    NoneActive,
    /// All versions that take new requests are held.
    AllHeld,
}

/// Chooses a version at random by weight. No version gets more than its cap unless all are
/// capped; the excess goes to the others by their weights.
///
/// # Errors
/// Fails if no version takes new requests, or all that do are held.
pub fn split(
    versions: &[VersionCandidate],
    rng: &mut impl Rng,
) -> Result<ModelVersion, VersionRefusal> {
    let active: Vec<_> = versions.iter().filter(|v| v.weight > 0).collect();
    if active.is_empty() {
        return Err(VersionRefusal::NoneActive);
    }
    let eligible: Vec<_> = active.into_iter().filter(|v| !v.is_held).collect();
    if eligible.is_empty() {
        return Err(VersionRefusal::AllHeld);
    }
    let shares = capped_shares(&eligible);
    let total: f64 = shares.iter().sum();
    let mut point = rng.random_range(0.0..1.0) * total;
    for (candidate, share) in eligible.iter().zip(&shares) {
        point -= share;
        if point < 0.0 {
            return Ok(candidate.version.clone());
        }
    }
    Ok(eligible[eligible.len() - 1].version.clone())
}

/// Shares by weight, each at most its cap. The excess of capped versions is distributed among
/// the others until nothing changes. If all are capped, the shares add up to less than 1.
fn capped_shares(versions: &[&VersionCandidate]) -> Vec<f64> {
    let mut shares = vec![0.0; versions.len()];
    let mut is_capped = vec![false; versions.len()];
    loop {
        let free_weight: f64 =
            versions.iter().zip(&is_capped).filter(|(_, c)| !**c).map(|(v, _)| weight(v)).sum();
        let taken: f64 = shares.iter().zip(&is_capped).filter(|(_, c)| **c).map(|(s, _)| s).sum();
        let rest = (1.0 - taken).max(0.0);
        let mut has_changed = false;
        for (at, version) in versions.iter().enumerate() {
            if is_capped[at] {
                continue;
            }
            let share = rest * weight(version) / free_weight;
            let cap = version.cap_percent / WHOLE_PERCENT;
            is_capped[at] = share > cap;
            has_changed |= is_capped[at];
            shares[at] = share.min(cap);
        }
        if !has_changed {
            return shares;
        }
    }
}

fn weight(version: &VersionCandidate) -> f64 {
    f64::from(version.weight)
}
