//! Two gateways, the store and the platform, tick by tick.

use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::IncarnationId;
use stallhoist_core::MonoTime;
use stallhoist_core::StoreVersion;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::lease::Holder;
use stallhoist_policy::usage::Delivery;
use stallhoist_policy::usage::DutyContext;
use stallhoist_policy::usage::DutyRecord;
use stallhoist_policy::usage::DutyStep;
use stallhoist_policy::usage::DutyWrite;
use stallhoist_policy::usage::UsageCall;
use stallhoist_policy::usage::UsageCounts;
use stallhoist_policy::usage::UsageDuty;
use stallhoist_policy::usage::UsageSchedule;
use stallhoist_policy::usage::UsageSource;
use stallhoist_policy::usage::UsageWindow;
use stallhoist_policy::usage::WriteFailure;

use super::choices::Choices;

pub(super) const TICK: Duration = Duration::from_millis(250);
pub(super) const TICKS: u64 = 48;
pub(super) const WINDOW: Duration = Duration::from_secs(2);
pub(super) const DUE_AFTER: Duration = Duration::from_secs(4);
pub(super) const LEASE: Duration = Duration::from_millis(1_500);

/// The time of day at the start.
pub(super) const START: Duration = Duration::from_secs(1_000);

/// A call without an answer is given up after this number of ticks.
const CALL_TICKS: u64 = 4;
const FREEZE_TICKS: u64 = 10;
const RESTART_TICKS: u64 = 3;

/// A write that is done late takes effect after this number of ticks.
const LATE_TICKS: u64 = 9;

/// What differs between the runs of one exploration.
#[derive(Debug, Clone, Copy)]
pub(super) struct Setting {
    /// Whether the gateways tell each other the state of the duty.
    pub(super) exchanges: bool,
    /// Whether the second gateway acts first in each tick.
    pub(super) is_second_first: bool,
    /// How far the second gateway's time of day is ahead.
    pub(super) skew_ms: i64,
}

#[derive(Debug, Clone)]
enum Operation {
    Read,
    Write { write: DutyWrite, began: MonoTime },
    Send { call: UsageCall },
}

/// A call in progress: when its answer arrives, if it does.
#[derive(Debug, Clone)]
struct Pending {
    operation: Operation,
    issued: u64,
    /// The answer of a write, or whether a report was accepted.
    result: Option<Result<StoreVersion, WriteFailure>>,
    is_answer_lost: bool,
}

#[derive(Debug)]
pub(super) struct Process {
    pub(super) host: HostId,
    duty: UsageDuty,
    counts: UsageCounts,
    pending: Option<Pending>,
    /// Frozen, or not started again, until this tick.
    stopped_until: u64,
    is_killed: bool,
    /// A report that is sent as soon as the process thaws: it was frozen right after its last check.
    held_back: Option<UsageCall>,
    starts: u128,
}

#[derive(Debug, Clone)]
pub(super) struct Accepted {
    pub(super) tick: u64,
    pub(super) call: UsageCall,
    /// Whether its sender was thawed right before.
    pub(super) is_after_thaw: bool,
}

/// A write that takes effect later, if its condition still holds.
#[derive(Debug)]
struct LateWrite {
    tick: u64,
    write: DutyWrite,
}

#[derive(Debug)]
pub(super) struct World {
    setting: Setting,
    tick: u64,
    row: Option<(u64, DutyRecord)>,
    version: u64,
    late: Vec<LateWrite>,
    pub(super) processes: Vec<Process>,
    pub(super) accepted: Vec<Accepted>,
}

impl World {
    pub(super) fn new(setting: Setting) -> Self {
        let mut world = Self {
            setting,
            tick: 0,
            row: None,
            version: 10,
            late: Vec::new(),
            processes: Vec::new(),
            accepted: Vec::new(),
        };
        let (now, start) = (world.now(), |n| world.unix(n));
        world.processes = (0..2).map(|n| Process::start(n, 0, now, start(n))).collect();
        world
    }

    fn now(&self) -> MonoTime {
        MonoTime::default().after(TICK * self.tick as u32)
    }

    /// The time of day of a gateway.
    fn unix(&self, process: usize) -> Duration {
        let unix = START + TICK * self.tick as u32;
        let skew = Duration::from_millis(self.setting.skew_ms.unsigned_abs());
        match (process, self.setting.skew_ms >= 0) {
            (0, _) => unix,
            (_, true) => unix + skew,
            (_, false) => unix - skew,
        }
    }

    pub(super) fn run(&mut self, choices: &mut impl Choices) {
        while self.tick < TICKS {
            self.apply_late_writes();
            let order = if self.setting.is_second_first { [1, 0] } else { [0, 1] };
            order.into_iter().for_each(|process| self.turn(process, choices));
            if self.setting.exchanges {
                self.exchange();
            }
            self.tick += 1;
        }
    }

    fn apply_late_writes(&mut self) {
        let (due, late) = self.late.drain(..).partition(|late| late.tick <= self.tick);
        self.late = late;
        let due: Vec<LateWrite> = due;
        for late in due {
            // Its sender has given it up.
            let _ = self.transact(&late.write);
        }
    }

    fn exchange(&mut self) {
        let is_up = |process: &Process| process.stopped_until <= self.tick;
        if !self.processes.iter().all(is_up) {
            return;
        }
        let now = self.now();
        let updates = [0, 1].map(|n| self.processes[n].counts.changes(0, &[]).0);
        let summaries = [0, 1].map(|n| self.processes[n].duty.summary().cloned());
        for (n, other) in [(0, 1), (1, 0)] {
            let (unix, other_unix) = (self.unix(n), self.unix(other));
            let sender = self.processes[other].host.clone();
            let receiver = [self.processes[n].host.clone()];
            let mark = self.processes[other].counts.complete_through(now, other_unix, &receiver);
            let Process { duty, counts, .. } = &mut self.processes[n];
            updates[other].iter().for_each(|update| counts.merge(&sender, update.clone()));
            counts.record_mark(now, sender, mark);
            if let Some(summary) = &summaries[other] {
                duty.on_summary(now, unix, summary);
            }
        }
    }

    /// One turn of a process: a fault, the answer of its call, or its next step.
    fn turn(&mut self, n: usize, choices: &mut impl Choices) {
        let (tick, now, unix) = (self.tick, self.now(), self.unix(n));
        let process = &mut self.processes[n];
        if tick < process.stopped_until {
            return;
        }
        if std::mem::take(&mut process.is_killed) {
            *process = Process::start(n, process.starts + 1, now, unix);
        }
        let workspace = workspace();
        let window = UsageWindow::containing(unix, WINDOW);
        (0..=n).for_each(|_| process.counts.record(window, &workspace));
        if let Some(call) = process.held_back.take() {
            self.accept(call, true);
            return;
        }
        match choices.choose(3) {
            1 => return process.stopped_until = tick + FREEZE_TICKS,
            2 => {
                process.stopped_until = tick + RESTART_TICKS;
                process.is_killed = true;
                return;
            }
            _ => {}
        }
        if let Some(pending) = process.pending.take() {
            self.finish(n, pending);
            if self.processes[n].pending.is_some() {
                return;
            }
        }
        let process = &mut self.processes[n];
        let context = DutyContext {
            now,
            unix,
            rank: n,
            is_alone: false,
            is_leaving: false,
            counts: &process.counts,
        };
        match process.duty.step(context) {
            DutyStep::Wait(_) => {}
            DutyStep::Read => self.read(n, choices),
            DutyStep::Write(write) => self.write(n, write, choices),
            DutyStep::Send { call, .. } => self.send(n, call, choices),
        }
    }

    fn read(&mut self, n: usize, choices: &mut impl Choices) {
        let is_answer_lost = choices.choose(2) == 1;
        self.set_pending(n, Operation::Read, None, is_answer_lost);
    }

    fn write(&mut self, n: usize, write: DutyWrite, choices: &mut impl Choices) {
        let began = self.now();
        // Answered, done without an answer, never done, done late.
        let fate = choices.choose(4);
        let result = (fate < 2).then(|| self.transact(&write));
        if fate == 3 {
            let tick = self.tick + LATE_TICKS;
            self.late.push(LateWrite { tick, write: write.clone() });
        }
        self.set_pending(n, Operation::Write { write, began }, result, fate > 0);
    }

    fn send(&mut self, n: usize, call: UsageCall, choices: &mut impl Choices) {
        // Answered, accepted without an answer, lost, the process is frozen right before.
        let fate = choices.choose(4);
        match fate {
            0 | 1 => self.accept(call.clone(), false),
            2 => {}
            _ => {
                let process = &mut self.processes[n];
                process.stopped_until = self.tick + FREEZE_TICKS;
                process.held_back = Some(call.clone());
            }
        }
        self.set_pending(n, Operation::Send { call }, None, fate > 0);
    }

    fn set_pending(
        &mut self,
        n: usize,
        operation: Operation,
        result: Option<Result<StoreVersion, WriteFailure>>,
        is_answer_lost: bool,
    ) {
        let pending = Pending { operation, issued: self.tick, result, is_answer_lost };
        self.processes[n].pending = Some(pending);
    }

    /// Handles the answer of a call, or gives the call up.
    fn finish(&mut self, n: usize, pending: Pending) {
        let is_over = self.tick >= pending.issued + CALL_TICKS;
        if pending.is_answer_lost && !is_over {
            self.processes[n].pending = Some(pending);
            return;
        }
        let (now, unix) = (self.now(), self.unix(n));
        let is_answered = !pending.is_answer_lost;
        let row = self.read_row();
        let duty = &mut self.processes[n].duty;
        match pending.operation {
            Operation::Read => duty.on_read(now, unix, is_answered.then_some(row)),
            Operation::Write { write, began } => {
                let result = pending.result.filter(|_| is_answered);
                let result = result.unwrap_or(Err(WriteFailure::Unknown));
                duty.on_written(now, began, write, result);
            }
            Operation::Send { call } => {
                let delivery = if is_answered { Delivery::Delivered } else { Delivery::Failed };
                duty.on_sent(now, call.report.window, delivery);
            }
        }
    }

    fn read_row(&self) -> (StoreVersion, Option<DutyRecord>) {
        match &self.row {
            Some((version, record)) => (StoreVersion::of(*version), Some(record.clone())),
            None => (StoreVersion::of(self.version), None),
        }
    }

    fn transact(&mut self, write: &DutyWrite) -> Result<StoreVersion, WriteFailure> {
        let version = self.row.as_ref().map(|(version, _)| StoreVersion::of(*version));
        if version != write.expected {
            return Err(WriteFailure::Conflict);
        }
        self.version += 1;
        self.row = Some((self.version, write.record.clone()));
        Ok(StoreVersion::of(self.version))
    }

    fn accept(&mut self, call: UsageCall, is_after_thaw: bool) {
        self.accepted.push(Accepted { tick: self.tick, call, is_after_thaw });
    }

    /// The windows whose reports were accepted in time.
    pub(super) fn reported_in_time(&self) -> Vec<UsageWindow> {
        let is_in_time = |accepted: &&Accepted| {
            let due = accepted.call.report.window.end(WINDOW) + DUE_AFTER;
            START + TICK * accepted.tick as u32 <= due
        };
        let accepted = self.accepted.iter().filter(is_in_time);
        accepted.map(|accepted| accepted.call.report.window).collect()
    }
}

impl Process {
    fn start(n: usize, starts: u128, now: MonoTime, unix: Duration) -> Self {
        let host: HostId = format!("host-{n}").parse().expect("a name");
        let incarnation = IncarnationId::from_u128(n as u128 * 1_000 + starts);
        let holder = Holder { host: host.clone(), incarnation };
        let schedule = UsageSchedule { window_length: WINDOW, due_after: DUE_AFTER };
        Self {
            host,
            duty: UsageDuty::new(holder, schedule, LEASE, unix),
            counts: UsageCounts::new(UsageSource(n as u64), now, unix),
            pending: None,
            stopped_until: 0,
            is_killed: false,
            held_back: None,
            starts,
        }
    }
}

fn workspace() -> WorkspaceName {
    "workspace".parse().expect("a name")
}
