//! When a window is fixed, and which gateway's turn it is.
//!
//! The holder fixes a window as soon as its counts are complete, or at the time given here without the missing ones.
//! Another gateway whose turn has come takes the duty over.

use std::time::Duration;

use super::UsageWindow;

/// Share of the time until a report is due, after which a window is fixed without the counts that are missing. The
/// rest is for another gateway to take the duty over.
const FIX_SHARE: f64 = 0.4;

/// A gateway that is not the holder waits for this share of the time beyond that, so that it learns of the
/// holder's write.
const HOLDER_SHARE: f64 = 0.1;

/// The turns of the gateways are this share apart.
const TURN_SHARE: f64 = 0.05;

/// The turns of all gateways from this rank on are together within `LATE_TURNS_SHARE`: those before them are gone.
const FIRST_LATE_RANK: usize = 6;
const LATE_TURNS_SHARE: f64 = 0.05;

/// A gateway that hears from no other one leaves a window to them until this share of the time until its report is
/// due: it does not know what they have done, nor what they have counted.
const UNCONNECTED_SHARE: f64 = 0.9;

/// The times of usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct UsageSchedule {
    /// Length of a window.
    pub window_length: Duration,
    /// Time after the end of a window within which its report is due.
    pub due_after: Duration,
}

impl UsageSchedule {
    /// The last window that has ended at `unix`, a duration since the Unix epoch.
    pub fn last_ended(&self, unix: Duration) -> UsageWindow {
        UsageWindow::containing(unix, self.window_length).previous()
    }

    /// The last window that is fixed at `unix` even without all counts.
    pub fn last_fixable(&self, unix: Duration) -> UsageWindow {
        self.last_ended(unix.saturating_sub(self.fix_delay()))
    }

    /// When a window ends.
    pub fn end(&self, window: UsageWindow) -> Duration {
        window.end(self.window_length)
    }

    /// When it is the turn of a gateway that is not the holder, by its rank among all gateways.
    pub fn turn_at(&self, window: UsageWindow, rank: usize) -> Duration {
        let early = rank.min(FIRST_LATE_RANK) as f64 * TURN_SHARE;
        let late = rank.saturating_sub(FIRST_LATE_RANK) as f64;
        let late = LATE_TURNS_SHARE * late / (late + FIRST_LATE_RANK as f64);
        let share = FIX_SHARE + HOLDER_SHARE + early + late;
        self.end(window) + self.due_after.mul_f64(share)
    }

    /// When it is the turn of a gateway that hears from no other one.
    pub fn unconnected_turn_at(&self, window: UsageWindow) -> Duration {
        self.end(window) + self.due_after.mul_f64(UNCONNECTED_SHARE)
    }

    /// The first window whose report may still be of use at `unix`. An overdue one is sent for one more window
    /// length, as the time at which it was due has passed by another clock.
    pub fn first_in_time(&self, unix: Duration) -> UsageWindow {
        let oldest = unix.saturating_sub(self.due_after + self.window_length);
        UsageWindow::containing(oldest, self.window_length)
    }

    fn fix_delay(&self) -> Duration {
        self.due_after.mul_f64(FIX_SHARE)
    }
}
