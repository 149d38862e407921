//! The gateway's choice of an upstream, from the local state of one gateway.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::PromptPart;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_measure::FakeRequest;
use stallhoist_policy::balance::BalanceConfig;
use stallhoist_policy::balance::CandidateFacts;
use stallhoist_policy::balance::PrefillTime;
use stallhoist_policy::balance::PrefillWork;
use stallhoist_policy::balance::PrefixCaches;
use stallhoist_policy::balance::RequestFacts;
use stallhoist_policy::balance::UpstreamLoad;
use stallhoist_policy::balance::expected_cost_ms;

/// Prefill time of the fake engines: 100 us for each prompt token.
const MS_PER_TOKEN: f64 = 0.1;
const BLOCK_TOKENS: u64 = 64;
const SLOTS: u32 = 256;

/// Local state of one gateway: load and prompt caches of the upstreams, from its own requests.
pub(crate) struct OwnKnowledge {
    config: BalanceConfig,
    model: ModelName,
    instances: Vec<UpstreamIncarnation>,
    load: UpstreamLoad,
    prefixes: PrefixCaches,
    /// Breaks ties; the gateway uses a hash of the request instead.
    rng: StdRng,
}

impl OwnKnowledge {
    /// State in which nothing is known of the upstreams.
    pub(crate) fn new(upstreams: usize, seed: u64) -> Self {
        let instance = |n| format!("instance-{n}").parse().expect("a name");
        Self {
            config: BalanceConfig::default(),
            model: "model".parse().expect("a name"),
            instances: (0..upstreams).map(instance).collect(),
            load: UpstreamLoad::default(),
            prefixes: PrefixCaches::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Chooses the upstream with the lowest expected cost and records the request there. Returns its index and
    /// the prefill work.
    pub(crate) fn send(&mut self, now: MonoTime, request: &FakeRequest) -> (usize, PrefillWork) {
        let request_facts = RequestFacts {
            prompt_tokens: request.prompt_tokens,
            prefill_time: PrefillTime { base_ms: 0.0, ms_per_token: MS_PER_TOKEN },
            body_bytes: 0,
            generation: None,
        };
        let parts = parts(request);
        let ties: Vec<u64> = self.instances.iter().map(|_| self.rng.random()).collect();
        let cost = |at: usize| {
            let candidate = self.candidate(now, at, &parts);
            (expected_cost_ms(&self.config, &request_facts, &candidate), ties[at], at)
        };
        let costs = (0..self.instances.len()).map(cost);
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let best = best.map_or(0, |(.., at)| at);
        let instance = &self.instances[best];
        let cached_tokens = self.prefixes.cached_tokens(now, instance, &self.model, &parts);
        let remaining_tokens = request.prompt_tokens.saturating_sub(cached_tokens);
        let work = PrefillWork { remaining_prefill_ms: remaining_tokens as f64 * MS_PER_TOKEN };
        self.load.request_started(instance, work);
        self.prefixes.record_prefill(now, instance, &self.model, &parts);
        (best, work)
    }

    /// Records the first token: the prefill has finished.
    pub(crate) fn first_token(&mut self, at: usize, work: PrefillWork) {
        self.load.prefill_finished(&self.instances[at], work);
    }

    /// Records a complete response.
    pub(crate) fn request_finished(&mut self, at: usize) {
        self.load.request_ended(&self.instances[at], PrefillWork::default());
    }

    fn candidate(&self, now: MonoTime, at: usize, parts: &[PromptPart]) -> CandidateFacts {
        let instance = &self.instances[at];
        CandidateFacts {
            in_progress: self.load.in_progress(now, instance, 0),
            slots: SLOTS,
            remaining_prefill_ms: self.load.remaining_prefill_ms(instance),
            cached_tokens: self.prefixes.cached_tokens(now, instance, &self.model, parts),
            is_same_zone: true,
            failure_rate: 0.0,
            slowdown: 1.0,
        }
    }
}

fn parts(request: &FakeRequest) -> Vec<PromptPart> {
    request.blocks.iter().map(|id| PromptPart { id: *id, tokens: BLOCK_TOKENS }).collect()
}
