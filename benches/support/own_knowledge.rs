//! The choice that a gateway makes: from what one entry knows itself.

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

/// The fake engines take in a prompt token in 100 us.
const MS_PER_TOKEN: f64 = 0.1;
const BLOCK_TOKENS: u64 = 64;
const SLOTS: u32 = 256;

/// What one entry knows.
pub(crate) struct OwnKnowledge {
    config: BalanceConfig,
    model: ModelName,
    instances: Vec<UpstreamIncarnation>,
    load: UpstreamLoad,
    prefixes: PrefixCaches,
    /// Breaks ties, as the gateway does by a hash of the request.
    rng: StdRng,
}

impl OwnKnowledge {
    /// Of so many upstreams nothing is known yet.
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

    /// Chooses the upstream that is expected to cost least, and sends the request there.
    pub(crate) fn send(&mut self, now: MonoTime, request: &FakeRequest) -> (usize, PrefillWork) {
        let facts = RequestFacts {
            prompt_tokens: request.prompt_tokens,
            prefill_time: PrefillTime { base_ms: 0.0, ms_per_token: MS_PER_TOKEN },
            body_bytes: 0,
        };
        let parts = parts(request);
        let ties: Vec<u64> = self.instances.iter().map(|_| self.rng.random()).collect();
        let cost = |at: usize| {
            let candidate = self.candidate(now, at, &parts);
            (expected_cost_ms(&self.config, &facts, &candidate), ties[at], at)
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

    /// The first token came: the prompt has been read.
    pub(crate) fn first_token(&mut self, at: usize, work: PrefillWork) {
        self.load.prefill_finished(&self.instances[at], work);
    }

    /// The answer is whole.
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
        }
    }
}

fn parts(request: &FakeRequest) -> Vec<PromptPart> {
    request.blocks.iter().map(|id| PromptPart { id: *id, tokens: BLOCK_TOKENS }).collect()
}
