//! Max-min fair division of a capacity.

use stallhoist_core::EngineTime;

/// The largest share of each demander when `capacity` is divided max-min fairly among `demands`: demands below
/// it are met in full, and what they leave is divided among the others. None if all demands can be met.
pub fn fair_share(
    capacity: EngineTime,
    demands: impl IntoIterator<Item = EngineTime>,
) -> Option<EngineTime> {
    let mut demands_ms: Vec<f64> = demands.into_iter().map(EngineTime::as_millis).collect();
    demands_ms.sort_unstable_by(f64::total_cmp);
    let mut remaining_ms = capacity.as_millis();
    let mut demanders = demands_ms.len();
    for demand_ms in demands_ms {
        let share_ms = remaining_ms / demanders as f64;
        if demand_ms > share_ms {
            return Some(EngineTime::from_millis(share_ms));
        }
        remaining_ms -= demand_ms;
        demanders -= 1;
    }
    None
}
