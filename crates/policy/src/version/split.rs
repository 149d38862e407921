//! New work is split among a model's versions by weight, within their ramps.

use rand::Rng;
use rand::RngExt;
use stallhoist_core::ModelVersion;

const WHOLE_PERCENT: f64 = 100.0;

/// What is known of one version.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionCandidate {
    /// The version.
    pub version: ModelVersion,
    /// The operators' weight.
    pub weight: u32,
    /// The most of the model's new work it may take, in percent.
    pub cap_percent: f64,
    /// Whether the guard holds it back.
    pub is_held: bool,
}

/// Why no version could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionRefusal {
    /// There is no version that takes new work.
    NoneActive,
    /// All that there are are held back.
    AllHeld,
}

/// Chooses a version at random by weight. A version gets no more than its cap while
/// others can take the rest; what is capped away goes to the uncapped by their weights.
///
/// # Errors
/// Fails when no version takes new work.
pub fn split(
    versions: &[VersionCandidate],
    rng: &mut impl Rng,
) -> Result<ModelVersion, VersionRefusal> {
    let weighted: Vec<_> = versions.iter().filter(|v| v.weight > 0).collect();
    if weighted.is_empty() {
        return Err(VersionRefusal::NoneActive);
    }
    let open: Vec<_> = weighted.into_iter().filter(|v| !v.is_held).collect();
    if open.is_empty() {
        return Err(VersionRefusal::AllHeld);
    }
    let shares = capped_shares(&open);
    let total: f64 = shares.iter().sum();
    let mut point = rng.random_range(0.0..1.0) * total;
    for (facts, share) in open.iter().zip(&shares) {
        point -= share;
        if point < 0.0 {
            return Ok(facts.version.clone());
        }
    }
    Ok(open[open.len() - 1].version.clone())
}

/// Shares of the whole by weight, each at most its cap; what the capped leave is
/// shared by the others until nothing changes. When all are capped the rest is left.
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
