//! Statistics of models, per workspace and task, for the choice between a single model and a cascade.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::Target;
use stallhoist_core::TaskName;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::cascade::CascadeLearner;
use stallhoist_policy::cascade::CascadeModel;
use stallhoist_policy::guard::Guard;
use stallhoist_table::Table;
use stallhoist_table::VersionState;

/// The time after a failed call of the rating service during which it counts as unavailable.
const RATER_RETRY_DELAY: Duration = Duration::from_secs(5);
/// The maximum number of kinds of work with statistics. When it is exceeded, all statistics are
/// dropped.
const MAX_KINDS: usize = 1_000;

/// The workspace and task of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct WorkKind {
    pub(crate) workspace: WorkspaceName,
    pub(crate) task: Option<TaskName>,
}

/// Statistics of models by kind of work.
#[derive(Debug, Default)]
pub(crate) struct Learners {
    learners: HashMap<WorkKind, CascadeLearner>,
    rater_failed: Option<MonoTime>,
}

impl Learners {
    pub(crate) fn learner(&mut self, kind: &WorkKind) -> &mut CascadeLearner {
        if self.learners.len() >= MAX_KINDS && !self.learners.contains_key(kind) {
            self.learners.clear();
        }
        self.learners.entry(kind.clone()).or_default()
    }

    pub(crate) fn rater_failed(&mut self, now: MonoTime) {
        self.rater_failed = Some(now);
    }

    pub(crate) fn has_rater(&self, now: MonoTime) -> bool {
        self.rater_failed.is_none_or(|failed| now.since(failed) > RATER_RETRY_DELAY)
    }
}

/// The models of a workspace's cascade, cheapest first. Models without an available version are left
/// out.
pub(crate) fn models(table: &Table, workspace: &WorkspaceName, guard: &Guard) -> Vec<CascadeModel> {
    let mut models: Vec<(u32, CascadeModel)> = Vec::new();
    for row in table.rows_of(workspace) {
        let Target::Version(version) = &row.target else {
            continue;
        };
        let is_open = row.allowed && row.state == VersionState::Active && row.weight > 0;
        let is_open = is_open && !guard.is_held(version);
        let is_known = models.iter().any(|(_, candidate)| candidate.model == version.model);
        if row.cascade_place == 0 || !is_open || is_known {
            continue;
        }
        let price = row.cost_micros_per_1k_tokens.0 as f64;
        let candidate = CascadeModel { model: version.model.clone(), price };
        models.push((row.cascade_place, candidate));
    }
    models.sort_by_key(|(position, _)| *position);
    models.into_iter().map(|(_, candidate)| candidate).collect()
}

/// The model of a target, or `None` for a service.
pub(crate) fn model_of(target: &Target) -> Option<&ModelName> {
    match target {
        Target::Version(version) => Some(&version.model),
        Target::Service(_) => None,
    }
}
