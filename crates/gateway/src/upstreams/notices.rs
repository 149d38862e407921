//! What upstreams say of themselves in answers.

use stallhoist_core::MonoTime;
use stallhoist_core::StartId;
use stallhoist_policy::cold::ToldCold;

use super::Upstreams;
use crate::notice::Notice;

impl Upstreams {
    /// An upstream has said something of itself in an answer.
    pub(crate) fn heard(&self, now: MonoTime, start: &StartId, notice: &Notice) {
        let mut known = self.known.lock();
        if let Some(load) = notice.load {
            known.load.reported(now, start, load);
        }
        if let Some(cold) = notice.cold {
            known.cold.told(now, start, ToldCold::For(cold));
        }
        let is_other_limit = known.limits.heard(start, notice.limit);
        drop(known);
        if is_other_limit {
            log::info!(start:% = start, limit:? = notice.limit; "an upstream's limit has changed");
        }
    }

    /// How many upstreams name a limit.
    pub(crate) fn limited(&self) -> usize {
        self.known.lock().limits.len()
    }
}
