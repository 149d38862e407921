//! Admission at many gateways in virtual time: work completed in time at 1, 1.5, 2 and 4 times what the upstreams bear.
//!
//! `cargo bench --bench overload`. Calls of 30 ms on average at upstreams of 6 slots and a queue of 6, due after 150 ms,
//! limited to 1.5 s; four upstreams to 27 gateways. Gateways learn of each other's work every 200 ms. Beside the queue in
//! force (`news`): everything sent at once (`at once`), a limit of each gateway that adapts by gradient (`gradient`),
//! and one queue that sees everything (`oracle`).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::MonoTime;
use stallhoist_policy::overload::AttemptDecision;
use stallhoist_policy::overload::NewsValidity;
use stallhoist_policy::overload::ServiceRoom;
use stallhoist_policy::overload::ShareStatus;
use stallhoist_policy::overload::UpstreamOccupancy;
use stallhoist_policy::overload::WaitLimits;
use stallhoist_policy::overload::Waiter;
use stallhoist_policy::overload::WaiterId;
use stallhoist_policy::overload::WaitingQueue;

const SLOTS: usize = 6;
const UPSTREAM_QUEUE: usize = 6;
const CALL_US: f64 = 30_000.0;
const AIM_US: u64 = 150_000;
const LIMIT_US: u64 = 1_500_000;
const NEWS_EVERY_US: u64 = 200_000;
/// How long a gateway prefers other upstreams after a rejection.
const RESTING: Duration = Duration::from_millis(200);
const RUN_US: u64 = 6_000_000;
const MAX_ATTEMPTS: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    AtOnce,
    Gradient,
    News,
    Oracle,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    News,
    Arrival,
    End { upstream: usize },
    Ask { gateway: usize, id: WaiterId },
}

#[derive(Debug, Clone, Copy)]
struct Request {
    gateway: usize,
    arrived_us: u64,
    started_us: u64,
    attempts: u32,
}

#[derive(Debug, Default)]
struct Upstream {
    running: Vec<(u64, Request)>,
    queued: Vec<Request>,
}

#[derive(Debug)]
struct Gateway {
    queue: WaitingQueue,
    waiting: HashMap<WaiterId, Request>,
    own: Vec<u32>,
    others: Vec<u32>,
    rejected_us: Vec<Option<u64>>,
    limit: f64,
    fastest_us: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    arrived: u64,
    in_time: u64,
    late: u64,
    rejected: u64,
    rejected_with_room: u64,
    rejected_by_upstream: u64,
}

struct World {
    way: Way,
    rng: StdRng,
    now_us: u64,
    load: f64,
    upstreams: Vec<Upstream>,
    gateways: Vec<Gateway>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    counts: Counts,
}

impl World {
    fn new(way: Way, gateways: usize, load: f64) -> Self {
        let upstreams = (gateways * 4).div_ceil(27);
        let gateways = if way == Way::Oracle { 1 } else { gateways };
        let gateway = |_| Gateway {
            queue: WaitingQueue::new(WaitLimits { max_requests: 100_000, ..WaitLimits::default() }),
            waiting: HashMap::new(),
            own: vec![0; upstreams],
            others: vec![0; upstreams],
            rejected_us: vec![None; upstreams],
            limit: 4.0,
            fastest_us: f64::MAX,
        };
        Self {
            way,
            rng: StdRng::seed_from_u64(1),
            now_us: 0,
            load,
            upstreams: (0..upstreams).map(|_| Upstream::default()).collect(),
            gateways: (0..gateways).map(gateway).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            counts: Counts::default(),
        }
    }

    fn run(mut self) -> Counts {
        self.schedule(0, Event::News);
        self.schedule(0, Event::Arrival);
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > RUN_US {
                break;
            }
            self.now_us = at_us;
            match event {
                Event::News => self.exchange_news(),
                Event::Arrival => self.arrive(),
                Event::End { upstream } => self.end(upstream),
                Event::Ask { gateway, id } => self.ask(gateway, id),
            }
        }
        self.counts
    }

    fn now(&self) -> MonoTime {
        MonoTime(self.now_us)
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn exponential_us(&mut self, mean_us: f64) -> u64 {
        (-self.rng.random::<f64>().max(1e-9).ln() * mean_us) as u64
    }

    fn exchange_news(&mut self) {
        for upstream in 0..self.upstreams.len() {
            let all: u32 = self.gateways.iter().map(|gateway| gateway.own[upstream]).sum();
            for gateway in &mut self.gateways {
                gateway.others[upstream] = all - gateway.own[upstream];
            }
        }
        self.schedule(self.now_us + NEWS_EVERY_US, Event::News);
    }

    fn arrive(&mut self) {
        let per_s = self.load * (self.upstreams.len() * SLOTS) as f64 * 1e6 / CALL_US;
        let pause_us = self.exponential_us(1e6 / per_s);
        self.schedule(self.now_us + pause_us, Event::Arrival);
        let gateway = self.rng.random_range(0..self.gateways.len());
        self.counts.arrived += 1;
        let now_us = self.now_us;
        self.offer(Request { gateway, arrived_us: now_us, started_us: now_us, attempts: 0 });
    }

    fn offer(&mut self, request: Request) {
        if self.way == Way::AtOnce {
            return self.send(request);
        }
        let room = self.room(request.gateway);
        let waiter = Waiter {
            key: self.sequence,
            due: MonoTime(request.arrived_us + AIM_US),
            deadline: MonoTime(request.arrived_us + LIMIT_US),
            first_chunk: Duration::ZERO,
            priority: 1,
            share: ShareStatus::Within,
            pool: 0,
            size_bytes: 0,
        };
        let now = self.now();
        let gateway = &mut self.gateways[request.gateway];
        let (decision, id) = gateway.queue.offer(now, waiter, &room);
        if let Some(id) = id {
            gateway.waiting.insert(id, request);
        }
        self.apply(decision, request, id);
    }

    fn ask(&mut self, gateway: usize, id: WaiterId) {
        let Some(request) = self.gateways[gateway].waiting.get(&id).copied() else {
            return;
        };
        let (now, room) = (self.now(), self.room(gateway));
        let decision = self.gateways[gateway].queue.ask(now, id, MonoTime(u64::MAX), &room);
        if !matches!(decision, AttemptDecision::WaitUntil(_)) {
            self.gateways[gateway].waiting.remove(&id);
            self.gateways[gateway].queue.remove(id);
        }
        let was_sent = decision == AttemptDecision::Send;
        self.apply(decision, request, Some(id));
        if was_sent {
            self.wake(gateway);
        }
    }

    fn wake(&mut self, gateway: usize) {
        let first = self.gateways[gateway].queue.firsts(self.now()).first().copied();
        if let Some(id) = first {
            self.schedule(self.now_us, Event::Ask { gateway, id });
        }
    }

    fn apply(&mut self, decision: AttemptDecision, request: Request, id: Option<WaiterId>) {
        match (decision, id) {
            (AttemptDecision::Send, _) => self.send(request),
            (AttemptDecision::WaitUntil(at), Some(id)) => {
                self.schedule(at.0, Event::Ask { gateway: request.gateway, id });
            }
            _ => self.reject(),
        }
    }

    fn reject(&mut self) {
        self.counts.rejected += 1;
        let running: usize = self.upstreams.iter().map(|upstream| upstream.running.len()).sum();
        let is_half_free = running * 2 < self.upstreams.len() * SLOTS;
        self.counts.rejected_with_room += u64::from(is_half_free);
    }

    fn known(&self, gateway: usize, upstream: usize) -> u32 {
        let gateway = &self.gateways[gateway];
        gateway.own[upstream] + gateway.others[upstream]
    }

    fn has_rejected(&self, gateway: usize, upstream: usize, within: Duration) -> bool {
        let rejected_us = self.gateways[gateway].rejected_us[upstream];
        let within_us = within.as_micros() as u64;
        rejected_us.is_some_and(|at_us| self.now_us < at_us + within_us)
    }

    fn room(&self, gateway: usize) -> ServiceRoom {
        let mut room = ServiceRoom::default();
        if self.way == Way::Gradient {
            let own: u32 = self.gateways[gateway].own.iter().sum();
            let slots = self.gateways[gateway].limit as u32;
            let occupancy =
                UpstreamOccupancy { slots, counted_requests: own, ..Default::default() };
            room.add(&UpstreamOccupancy { requests: own, ..occupancy });
            return room;
        }
        let validity = NewsValidity::of(self.gateways[gateway].queue.request_time());
        for upstream in 0..self.upstreams.len() {
            let known = if validity.believes_others() {
                self.known(gateway, upstream)
            } else {
                self.gateways[gateway].own[upstream]
            };
            room.add(&UpstreamOccupancy {
                slots: SLOTS as u32,
                counted_requests: known,
                requests: known,
                prefill_ms: 0.0,
                is_rejecting: self.has_rejected(gateway, upstream, validity.rejection_time()),
            });
        }
        room
    }

    fn send(&mut self, mut request: Request) {
        let gateway = request.gateway;
        let start = self.rng.random_range(0..self.upstreams.len());
        let all = self.upstreams.len();
        let order = (0..all).map(|n| (start + n) % all);
        let cost = |n: &usize| (self.has_rejected(gateway, *n, RESTING), self.known(gateway, *n));
        let Some(chosen) = order.min_by_key(cost) else {
            return;
        };
        request.attempts += 1;
        request.started_us = self.now_us;
        if self.upstreams[chosen].running.len() < SLOTS {
            self.gateways[gateway].own[chosen] += 1;
            self.start(chosen, request);
        } else if self.upstreams[chosen].queued.len() < UPSTREAM_QUEUE {
            self.gateways[gateway].own[chosen] += 1;
            self.upstreams[chosen].queued.push(request);
        } else {
            self.counts.rejected_by_upstream += 1;
            self.gateways[gateway].rejected_us[chosen] = Some(self.now_us);
            self.gateways[gateway].limit = (self.gateways[gateway].limit * 0.9).max(1.0);
            if request.attempts < MAX_ATTEMPTS { self.offer(request) } else { self.reject() }
        }
    }

    fn start(&mut self, upstream: usize, request: Request) {
        let end_us = self.now_us + self.exponential_us(CALL_US);
        self.upstreams[upstream].running.push((end_us, request));
        self.schedule(end_us, Event::End { upstream });
    }

    fn end(&mut self, upstream: usize) {
        let now_us = self.now_us;
        let running = &mut self.upstreams[upstream].running;
        let Some(at) = running.iter().position(|(end_us, _)| *end_us == now_us) else {
            return;
        };
        let (_, request) = running.swap_remove(at);
        if !self.upstreams[upstream].queued.is_empty() {
            let next = self.upstreams[upstream].queued.remove(0);
            self.start(upstream, next);
        }
        let took_us = now_us - request.arrived_us;
        if took_us <= AIM_US {
            self.counts.in_time += 1;
        } else if took_us <= LIMIT_US {
            self.counts.late += 1;
        }
        let now = self.now();
        let gateway = &mut self.gateways[request.gateway];
        gateway.own[upstream] -= 1;
        let call_us = now_us - request.started_us;
        gateway.queue.record_end(now, Duration::from_micros(call_us), false);
        gateway.fastest_us = gateway.fastest_us.min(call_us as f64).max(CALL_US / 2.0);
        let gradient = (2.0 * gateway.fastest_us / call_us.max(1) as f64).clamp(0.5, 1.0);
        let target = gateway.limit * gradient + gateway.limit.sqrt();
        gateway.limit = (gateway.limit * 0.95 + target * 0.05).max(1.0);
        self.wake(request.gateway);
    }
}

fn main() {
    println!(
        "gateways load way       in_time  late rejected with_room by_upstream (per 1,000 that are borne)"
    );
    for gateways in [1, 27, 103, 385] {
        for load in [0.7, 1.0, 1.5, 2.0, 4.0] {
            for way in [Way::AtOnce, Way::Gradient, Way::News, Way::Oracle] {
                let counts = World::new(way, gateways, load).run();
                let borne = counts.arrived as f64 / load;
                let share = |count: u64| count as f64 * 1e3 / borne;
                println!(
                    "{gateways:8} {load:4} {:9} {:8.0} {:5.0} {:8.0} {:9} {:11.0}",
                    format!("{way:?}"),
                    share(counts.in_time),
                    share(counts.late),
                    share(counts.rejected),
                    counts.rejected_with_room,
                    share(counts.rejected_by_upstream),
                );
            }
        }
    }
}
