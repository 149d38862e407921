//! Injects a fault into the fleet and schedules its end.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use stallhoist_standins::Direction;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::StoreFault;
use tokio::time::sleep_until;

use super::fleet::Fleet;
use super::fragile;
use super::period::Period;
use super::plan::Fault;
use super::plan::LinkFault;
use super::plan::StoreFaultKind;
use super::plan::UpstreamFault;
use super::supervisor::Signal;
use super::upstream::Upstream;
use super::upstream::faulty_behaviour;
use super::upstream::list_all;

const LINK_DELAY: Duration = Duration::from_millis(250);
/// At this rate a configuration that has grown once takes half a second to transfer.
const SLOW_BYTES_PER_S: u32 = 200_000;

/// The time between an upstream's announcement that it leaves and its removal.
const REMOVAL_DELAY: Duration = Duration::from_millis(2_200);
/// The time from an upstream's restart to a late row of its previous incarnation, and from there to
/// its own next row.
const LATE_ROW_DELAY: Duration = Duration::from_millis(700);
const NEXT_ROW_DELAY: Duration = Duration::from_millis(1_200);
/// By then an upstream has received all requests that it handles with the fault, including those of
/// streams that are resumed there.
const UPSTREAM_FAULT_DURATION: Duration = Duration::from_secs(8);
/// The time from the end of a store fault until expired rows are written again.
const RELISTING_DELAY: Duration = Duration::from_millis(1_500);

impl Fleet {
    /// Begins a fault and schedules its end.
    pub(super) async fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { gateway } => self.signal(gateway, Signal::Kill),
            Fault::Terminate { gateway } => self.signal(gateway, Signal::Terminate),
            Fault::Freeze { gateway, duration } => self.signal(gateway, Signal::Freeze(duration)),
            Fault::HangUp { gateway } => self.signal(gateway, Signal::HangUp),
            Fault::KillMany { gateways } => {
                (0..gateways).for_each(|gateway| self.signal(gateway, Signal::Kill));
            }
            Fault::StoreLink { gateway, kind, duration } => {
                self.fail_store_link(gateway, kind, duration)
            }
            Fault::Store { kind, duration } => self.fail_store(kind, duration),
            Fault::StoreRestore { duration } => self.restore_store(duration),
            Fault::UpstreamLink { upstream, kind, duration } => {
                self.fail_upstream_link(upstream, kind, duration);
            }
            Fault::Upstream { upstream, kind, requests } => {
                self.fail_upstream(upstream, kind, requests);
            }
            Fault::Leave { upstream, is_announced } => self.leave(upstream, is_announced).await,
            Fault::Restart { upstream } => self.restart(upstream),
            Fault::ForeignRow { upstream, duration } => self.write_foreign_row(upstream, duration),
            Fault::Reconfigure => self.reconfigure(),
            Fault::EmptyZone { duration } => self.empty_zone(duration),
            Fault::WarmUp { upstream, duration } => self.begin_warm_up(upstream, duration),
            Fault::SelfReport { upstream, report, duration } => {
                self.begin_report(upstream, report, duration).await
            }
            Fault::Duty { kind, duration } => self.fail_duty(kind, duration),
            Fault::FatalSeries => self.begin_series(),
            Fault::Grow => {
                self.config.grow();
                self.reconfigure();
            }
            Fault::ReplaceKey => {
                self.config.replace_key();
                self.reconfigure();
            }
        }
    }

    fn begin_series(&mut self) {
        self.upstream_faults.push(Period::from_now(fragile::series_duration()));
        let series = fragile::send_series(self.gateways.clone(), self.series);
        self.active_series.push(tokio::spawn(series));
        self.series += 1;
    }

    pub(super) fn fail_store_link(&mut self, gateway: usize, kind: LinkFault, duration: Duration) {
        let period = Period::from_now(duration);
        self.store_faults.push(period);
        self.store_link_faults.push((gateway, period));
        let links = Arc::clone(&self.store_links);
        fail_link(&links[gateway], kind);
        self.recover_after(duration, async move { links[gateway].heal() });
    }

    fn fail_upstream_link(&mut self, upstream: usize, kind: LinkFault, duration: Duration) {
        let period = Period::from_now(duration);
        self.upstream_faults.push(period);
        self.upstream_link_faults.push((upstream, period));
        let upstreams = Arc::clone(&self.upstreams);
        fail_link(&upstreams.lock()[upstream].proxy, kind);
        self.recover_after(duration, async move { upstreams.lock()[upstream].proxy.heal() });
    }

    fn fail_upstream(&mut self, upstream: usize, kind: UpstreamFault, requests: usize) {
        self.upstream_faults.push(Period::from_now(UPSTREAM_FAULT_DURATION));
        let upstreams = self.upstreams.lock();
        upstreams[upstream].standin.then(vec![faulty_behaviour(kind); requests]);
    }

    /// Restarts an upstream. A late row of its previous incarnation is in the list until its next
    /// row.
    fn restart(&mut self, number: usize) {
        self.upstream_faults.push(Period::from_now(LATE_ROW_DELAY + NEXT_ROW_DELAY));
        let mut upstreams = self.upstreams.lock();
        // Its reports apply to its current incarnation only, so it must not restart meanwhile.
        if upstreams[number].left.is_some() || upstreams[number].reports.is_reporting() {
            return;
        }
        upstreams[number].restart(&self.store);
        drop(upstreams);
        for (after, is_earlier) in
            [(LATE_ROW_DELAY, true), (LATE_ROW_DELAY + NEXT_ROW_DELAY, false)]
        {
            let (upstreams, store) = (Arc::clone(&self.upstreams), Arc::clone(&self.store));
            self.recover_after(after, async move {
                let upstreams = upstreams.lock();
                let upstream = &upstreams[number];
                match (upstream.left, is_earlier) {
                    (Some(_), _) => {}
                    (None, true) => upstream.list_earlier_incarnation(&store),
                    (None, false) => upstream.list(&store, "ready"),
                }
            });
        }
    }

    /// Writes a row of another writer, which describes no upstream. The other rows stay valid.
    fn write_foreign_row(&mut self, upstream: Option<usize>, duration: Duration) {
        let Some(number) = upstream else {
            return self.store.put_raw("servers", "i-of-another-writer", "{}");
        };
        self.upstream_faults.push(Period::from_now(duration));
        let upstreams = Arc::clone(&self.upstreams);
        let store = Arc::clone(&self.store);
        if upstreams.lock()[number].left.is_none() {
            upstreams.lock()[number].replace_row(&store);
        }
        self.recover_after(duration, async move {
            let upstreams = upstreams.lock();
            if upstreams[number].left.is_none() {
                upstreams[number].list(&store, "ready");
            }
        });
    }

    fn fail_store(&mut self, kind: StoreFaultKind, duration: Duration) {
        let fault = match kind {
            StoreFaultKind::Unavailable => StoreFault::Status(503),
            StoreFaultKind::TooManyCalls => StoreFault::Status(429),
            StoreFaultKind::Silent => StoreFault::Silent,
            StoreFaultKind::LostAnswers => StoreFault::LoseWriteAnswers,
            StoreFaultKind::Lapse => return self.lapse(duration),
            StoreFaultKind::HistoryGone => return self.store.clear_history(),
        };
        self.store_faults.push(Period::from_now(duration + RELISTING_DELAY));
        self.store.set_fault(Some(fault));
        let store = Arc::clone(&self.store);
        self.recover_after(duration, async move { store.set_fault(None) });
    }

    /// Restores the store from a copy of age `duration`. All later writes of operators and upstreams
    /// are repeated at once: if they came later, a gateway that starts in between could not know of
    /// them.
    fn restore_store(&mut self, duration: Duration) {
        self.store_faults.push(Period::from_now(duration + RELISTING_DELAY));
        let copy = self.store.copy();
        let store = Arc::clone(&self.store);
        self.recover_after(duration, async move {
            let lost = store.restore_from(copy);
            store.replay_writes(lost);
        });
    }

    /// Makes the store unavailable, with all rows of upstreams expired until after its recovery.
    fn lapse(&mut self, duration: Duration) {
        self.store_faults.push(Period::from_now(duration + RELISTING_DELAY));
        self.store.set_fault(Some(StoreFault::Status(503)));
        for upstream in self.upstreams.lock().iter() {
            self.store.remove("servers", upstream.standin.instance());
        }
        let store = Arc::clone(&self.store);
        let upstreams = Arc::clone(&self.upstreams);
        self.recover_after(duration, async move {
            store.set_fault(None);
            sleep_until(tokio::time::Instant::now() + RELISTING_DELAY).await;
            list_all(&store, &upstreams.lock());
        });
    }

    /// Removes an upstream permanently, after a replacement for its service has started.
    async fn leave(&mut self, number: usize, is_announced: bool) {
        if !self.replace(number).await {
            return;
        }
        let mut upstreams = self.upstreams.lock();
        let leaving = &mut upstreams[number];
        leaving.left = Some(Instant::now());
        let instance = leaving.standin.instance().to_owned();
        if !is_announced {
            self.store.remove("servers", &instance);
            return;
        }
        leaving.list(&self.store, "draining");
        drop(upstreams);
        let store = Arc::clone(&self.store);
        self.recover_after(REMOVAL_DELAY, async move { store.remove("servers", &instance) });
    }

    /// Starts a replacement for an upstream in the same service. Returns false, without starting
    /// one, when the upstream has left or has an active report.
    pub(super) async fn replace(&self, number: usize) -> bool {
        let (service, next) = {
            let upstreams = self.upstreams.lock();
            if upstreams[number].left.is_some() || upstreams[number].reports.is_reporting() {
                return false;
            }
            (upstreams[number].service, upstreams.len())
        };
        let replacement = Upstream::start(next, service).await;
        replacement.list(&self.store, "ready");
        self.upstreams.lock().push(replacement);
        true
    }

    pub(super) fn recover_after(
        &mut self,
        duration: Duration,
        recovery: impl Future<Output = ()> + Send + 'static,
    ) {
        let at = tokio::time::Instant::now() + duration;
        self.recoveries.push(tokio::spawn(async move {
            sleep_until(at).await;
            recovery.await;
        }));
    }
}

pub(super) fn fail_link(link: &FaultProxy, kind: LinkFault) {
    match kind {
        LinkFault::Reset => link.cut(),
        LinkFault::Severed => link.sever(),
        LinkFault::SilentToServer => link.hold(Direction::ToListener),
        LinkFault::SilentToClient => link.hold(Direction::ToOpener),
        LinkFault::Delayed => link.delay(LINK_DELAY),
        LinkFault::Silenced => link.silence(),
        LinkFault::Slow => link.throttle(SLOW_BYTES_PER_S),
    }
}
