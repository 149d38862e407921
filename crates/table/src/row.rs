//! The settings of one target in one workspace.

use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::CostMicros;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;

use crate::CellError;
use crate::Column;
use crate::VersionState;

const YES: &str = "yes";
const NO: &str = "no";
const MAX_PERCENT: u32 = 100;

/// The permissions and limits of one workspace for one model version or service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The model version or service.
    pub target: Target,
    /// Whether the workspace may use it.
    pub allowed: bool,
    /// Whether the version accepts requests.
    pub state: VersionState,
    /// The version's share of the new requests for its model, relative to the weights of the
    /// model's other versions.
    pub weight: u32,
    /// The maximum share of the new requests for its model that the version gets, in percent.
    pub ramp_percent: u32,
    /// The maximum number of requests in progress, fleet-wide; 0 means no limit.
    pub max_in_flight_requests: u32,
    /// The maximum rate in requests per second, fleet-wide; 0 means no limit.
    pub max_requests_per_s: u32,
    /// The maximum rate in tokens per second, fleet-wide; 0 means no limit.
    pub max_tokens_per_s: u32,
    /// The price of 1,000 tokens.
    pub cost_micros_per_1k_tokens: CostMicros,
    /// Whether calls may be repeated.
    pub repeatable: bool,
    /// The position in the cascade of models, from 1, cheapest first; 0 means not in the cascade.
    pub cascade_place: u32,
    /// How often the guard's hold of the version was cleared.
    #[serde(default)]
    pub guard_resets: u32,
}

impl Row {
    /// Creates the row that an edit of a missing row starts from. It allows nothing.
    pub fn new(workspace: WorkspaceName, target: Target) -> Self {
        Self {
            workspace,
            target,
            allowed: false,
            state: VersionState::default(),
            weight: 1,
            ramp_percent: MAX_PERCENT,
            max_in_flight_requests: 0,
            max_requests_per_s: 0,
            max_tokens_per_s: 0,
            cost_micros_per_1k_tokens: CostMicros::default(),
            repeatable: true,
            cascade_place: 0,
            guard_resets: 0,
        }
    }

    /// The text of a cell; empty for the columns of a whole workspace.
    pub fn cell(&self, column: Column) -> String {
        match column {
            Column::Allowed => yes_or_no(self.allowed),
            Column::State => self.state.to_string(),
            Column::Weight => self.weight.to_string(),
            Column::RampPercent => self.ramp_percent.to_string(),
            Column::MaxInFlightRequests => self.max_in_flight_requests.to_string(),
            Column::MaxRequestsPerS => self.max_requests_per_s.to_string(),
            Column::MaxTokensPerS => self.max_tokens_per_s.to_string(),
            Column::CostMicrosPer1kTokens => self.cost_micros_per_1k_tokens.to_string(),
            Column::Repeatable => yes_or_no(self.repeatable),
            Column::CascadePlace => self.cascade_place.to_string(),
            Column::GuardResets => self.guard_resets.to_string(),
            Column::KeyDigest | Column::QualityTargetPercent => String::new(),
        }
    }

    /// Sets a cell from its text.
    ///
    /// # Errors
    /// Fails when the value is invalid for the column, or the column belongs to a whole workspace.
    pub fn set_cell(&mut self, column: Column, value: &str) -> Result<(), CellError> {
        match column {
            Column::Allowed => self.allowed = parse_yes_or_no(value)?,
            Column::State => self.state = value.parse()?,
            Column::Weight => self.weight = parse_number(value)?,
            Column::RampPercent => self.ramp_percent = parse_percent(value)?,
            Column::MaxInFlightRequests => self.max_in_flight_requests = parse_number(value)?,
            Column::MaxRequestsPerS => self.max_requests_per_s = parse_number(value)?,
            Column::MaxTokensPerS => self.max_tokens_per_s = parse_number(value)?,
            Column::CostMicrosPer1kTokens => {
                self.cost_micros_per_1k_tokens = CostMicros(parse_number(value)?);
            }
            Column::Repeatable => self.repeatable = parse_yes_or_no(value)?,
            Column::CascadePlace => self.cascade_place = parse_number(value)?,
            Column::GuardResets => self.guard_resets = parse_number(value)?,
            Column::KeyDigest | Column::QualityTargetPercent => {
                return Err(CellError::WorkspaceColumn(column.to_string()));
            }
        }
        Ok(())
    }
}

fn yes_or_no(flag: bool) -> String {
    if flag { YES } else { NO }.to_owned()
}

fn parse_yes_or_no(value: &str) -> Result<bool, CellError> {
    match value {
        YES => Ok(true),
        NO => Ok(false),
        _ => Err(bad_value(value, "yes or no")),
    }
}

fn parse_number<T: FromStr>(value: &str) -> Result<T, CellError> {
    value.parse().map_err(|_| bad_value(value, "a whole number from 0"))
}

pub(crate) fn parse_percent(value: &str) -> Result<u32, CellError> {
    let percent = parse_number(value)?;
    if percent > MAX_PERCENT {
        return Err(bad_value(value, "a percentage from 0 to 100"));
    }
    Ok(percent)
}

pub(crate) fn bad_value(value: &str, expected: &'static str) -> CellError {
    CellError::BadValue { value: value.to_owned(), expected }
}
