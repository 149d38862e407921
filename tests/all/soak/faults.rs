//! What a fault does to the fleet, and how it ends.

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
/// A configuration that has grown once takes half a second over a slow link.
const SLOW_BYTES_PER_S: u32 = 200_000;

/// The time between an upstream's announcement that it leaves and its removal.
const ANNOUNCED: Duration = Duration::from_millis(2_200);
/// How long after an upstream has started again a report of its earlier start comes, and its own
/// next one after that.
const LATE_REPORT: Duration = Duration::from_millis(700);
const NEXT_REPORT: Duration = Duration::from_millis(1_200);
/// By then an upstream has used up the requests that it was to treat badly, or a caller's
/// stream has met another one of them.
const UPSTREAM_FAULT_LASTS: Duration = Duration::from_secs(8);
/// How long after the store the entries that lapsed are back.
const LISTED_AFTER: Duration = Duration::from_millis(1_500);

impl Fleet {
    /// Begins a fault; it ends by itself.
    pub(super) async fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { gateway } => self.signal(gateway, Signal::Kill),
            Fault::Terminate { gateway } => self.signal(gateway, Signal::Terminate),
            Fault::Freeze { gateway, lasts } => self.signal(gateway, Signal::Freeze(lasts)),
            Fault::HangUp { gateway } => self.signal(gateway, Signal::HangUp),
            Fault::KillMany { gateways } => {
                (0..gateways).for_each(|gateway| self.signal(gateway, Signal::Kill));
            }
            Fault::StoreLink { gateway, kind, lasts } => self.fail_store_link(gateway, kind, lasts),
            Fault::Store { kind, lasts } => self.fail_store(kind, lasts),
            Fault::StoreReturn { lasts } => self.return_store(lasts),
            Fault::UpstreamLink { upstream, kind, lasts } => {
                self.fail_upstream_link(upstream, kind, lasts);
            }
            Fault::Upstream { upstream, kind, requests } => {
                self.fail_upstream(upstream, kind, requests);
            }
            Fault::Leave { upstream, is_announced } => self.leave(upstream, is_announced).await,
            Fault::StartAgain { upstream } => self.start_again(upstream),
            Fault::AnotherWriter { upstream, lasts } => self.another_writer(upstream, lasts),
            Fault::Reconfigure => self.reconfigure(),
            Fault::EmptyZone { lasts } => self.empty_zone(lasts),
            Fault::TurnCold { upstream, lasts } => self.turn_cold(upstream, lasts),
            Fault::Says { upstream, word, lasts } => self.say(upstream, word, lasts).await,
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
        self.upstream_faults.push(Period::from_now(fragile::series_lasts()));
        let series = fragile::send_series(self.gateways.clone(), self.series);
        self.series_under_way.push(tokio::spawn(series));
        self.series += 1;
    }

    fn fail_store_link(&mut self, gateway: usize, kind: LinkFault, lasts: Duration) {
        let period = Period::from_now(lasts);
        self.store_faults.push(period);
        self.store_link_faults.push((gateway, period));
        let links = Arc::clone(&self.store_links);
        fail_link(&links[gateway], kind);
        self.recover_after(lasts, async move { links[gateway].heal() });
    }

    fn fail_upstream_link(&mut self, upstream: usize, kind: LinkFault, lasts: Duration) {
        let period = Period::from_now(lasts);
        self.upstream_faults.push(period);
        self.upstream_link_faults.push((upstream, period));
        let upstreams = Arc::clone(&self.upstreams);
        fail_link(&upstreams.lock()[upstream].proxy, kind);
        self.recover_after(lasts, async move { upstreams.lock()[upstream].proxy.heal() });
    }

    fn fail_upstream(&mut self, upstream: usize, kind: UpstreamFault, requests: usize) {
        self.upstream_faults.push(Period::from_now(UPSTREAM_FAULT_LASTS));
        let upstreams = self.upstreams.lock();
        upstreams[upstream].standin.then(vec![faulty_behaviour(kind); requests]);
    }

    /// An upstream starts again; a report of its earlier start comes late, and is in the list until
    /// its next one.
    fn start_again(&mut self, number: usize) {
        self.upstream_faults.push(Period::from_now(LATE_REPORT + NEXT_REPORT));
        let mut upstreams = self.upstreams.lock();
        // What it says belongs to its present start.
        if upstreams[number].left.is_some() || upstreams[number].said.is_bound() {
            return;
        }
        upstreams[number].start_again(&self.store);
        drop(upstreams);
        for (after, is_earlier) in [(LATE_REPORT, true), (LATE_REPORT + NEXT_REPORT, false)] {
            let (upstreams, store) = (Arc::clone(&self.upstreams), Arc::clone(&self.store));
            self.recover_after(after, async move {
                let upstreams = upstreams.lock();
                let upstream = &upstreams[number];
                match (upstream.left, is_earlier) {
                    (Some(_), _) => {}
                    (None, true) => upstream.list_earlier_start(&store),
                    (None, false) => upstream.list(&store, "ready"),
                }
            });
        }
    }

    /// Another writer's entry names no upstream, and the others hold.
    fn another_writer(&mut self, upstream: Option<usize>, lasts: Duration) {
        let Some(number) = upstream else {
            return self.store.put_raw("servers", "i-of-another-writer", "{}");
        };
        self.upstream_faults.push(Period::from_now(lasts));
        let upstreams = Arc::clone(&self.upstreams);
        let store = Arc::clone(&self.store);
        if upstreams.lock()[number].left.is_none() {
            upstreams.lock()[number].overwrite(&store);
        }
        self.recover_after(lasts, async move {
            let upstreams = upstreams.lock();
            if upstreams[number].left.is_none() {
                upstreams[number].list(&store, "ready");
            }
        });
    }

    fn fail_store(&mut self, kind: StoreFaultKind, lasts: Duration) {
        let fault = match kind {
            StoreFaultKind::Unavailable => StoreFault::Status(503),
            StoreFaultKind::TooManyCalls => StoreFault::Status(429),
            StoreFaultKind::Silent => StoreFault::Silent,
            StoreFaultKind::LostAnswers => StoreFault::LoseWriteAnswers,
            StoreFaultKind::Lapse => return self.lapse(lasts),
            StoreFaultKind::HistoryGone => return self.store.clear_history(),
        };
        self.store_faults.push(Period::from_now(lasts + LISTED_AFTER));
        self.store.set_fault(Some(fault));
        let store = Arc::clone(&self.store);
        self.recover_after(lasts, async move { store.set_fault(None) });
    }

    /// The store comes back from a copy that is so old. What operators and upstreams had written since is
    /// there again at once: of what is late, entries that start then cannot know.
    fn return_store(&mut self, lasts: Duration) {
        self.store_faults.push(Period::from_now(lasts + LISTED_AFTER));
        let copy = self.store.copy();
        let store = Arc::clone(&self.store);
        self.recover_after(lasts, async move {
            let lost = store.restore_from(copy);
            store.replay_writes(lost);
        });
    }

    /// The store is away, and meanwhile all entries of upstreams lapse.
    fn lapse(&mut self, lasts: Duration) {
        self.store_faults.push(Period::from_now(lasts + LISTED_AFTER));
        self.store.set_fault(Some(StoreFault::Status(503)));
        for upstream in self.upstreams.lock().iter() {
            self.store.remove("servers", upstream.standin.instance());
        }
        let store = Arc::clone(&self.store);
        let upstreams = Arc::clone(&self.upstreams);
        self.recover_after(lasts, async move {
            store.set_fault(None);
            sleep_until(tokio::time::Instant::now() + LISTED_AFTER).await;
            list_all(&store, &upstreams.lock());
        });
    }

    /// An upstream leaves for good; another one of its service comes first.
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
        self.recover_after(ANNOUNCED, async move { store.remove("servers", &instance) });
    }

    /// Another upstream of its service comes, unless it has left or says something that it has to
    /// go on saying. Says whether it came.
    pub(super) async fn replace(&self, number: usize) -> bool {
        let (service, next) = {
            let upstreams = self.upstreams.lock();
            if upstreams[number].left.is_some() || upstreams[number].said.is_bound() {
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
        lasts: Duration,
        recovery: impl Future<Output = ()> + Send + 'static,
    ) {
        let at = tokio::time::Instant::now() + lasts;
        self.recoveries.push(tokio::spawn(async move {
            sleep_until(at).await;
            recovery.await;
        }));
    }
}

fn fail_link(link: &FaultProxy, kind: LinkFault) {
    match kind {
        LinkFault::Reset => link.cut(),
        LinkFault::Severed => link.sever(),
        LinkFault::SilentForth => link.hold(Direction::ToListener),
        LinkFault::SilentBack => link.hold(Direction::ToOpener),
        LinkFault::Delayed => link.delay(LINK_DELAY),
        LinkFault::Silenced => link.silence(),
        LinkFault::Slow => link.throttle(SLOW_BYTES_PER_S),
    }
}
