//! Parses chat completion requests and chooses the model versions that serve them.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use stallhoist_core::ModelName;
use stallhoist_core::ModelVersion;
use stallhoist_core::MonoTime;
use stallhoist_core::NotRunReason;
use stallhoist_core::RequestId;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;
use stallhoist_core::estimate_tokens;
use stallhoist_core::prefix_hashes;
use stallhoist_core::prefix_marks;
use stallhoist_policy::cascade::Plan;
use stallhoist_policy::version::VersionRefusal;
use stallhoist_policy::version::split;
use stallhoist_table::Table;
use stallhoist_table::VersionState;
use stallhoist_wire::messages::Prefix;

use super::auth::Caller;
use super::call;
use super::headers::CallHeaders;
use super::problem::Problem;
use crate::holds;
use crate::learners;
use crate::learners::WorkKind;
use crate::request::Order;
use crate::request::PriorUsage;
use crate::session::SessionToken;
use crate::shared::Shared;

/// The model name with which the caller leaves the choice of the model to the entry.
pub(crate) const AUTO: &str = "auto";
const PATH: &str = "/v1/chat/completions";
/// The assumed length of a response if the caller sets no limit.
const DEFAULT_COMPLETION_TOKENS: u64 = 512;

/// The body of a chat completion request. Unknown members are passed on unchanged.
#[derive(Debug, Deserialize, Serialize)]
struct ChatBody {
    model: String,
    #[serde(default)]
    stream: bool,
    messages: Vec<Message>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    max_tokens: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    max_completion_tokens: Option<u64>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Message {
    #[serde(default)]
    content: Value,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

/// The orders that a chat request results in.
#[derive(Debug)]
pub(crate) enum ChatOrder {
    /// A request to one model.
    Single(Box<Order>),
    /// Requests to two models, of which the second is used if the first's response is poor.
    Cascade(Box<[Order; 2]>),
}

/// Parses and checks a request, and chooses the model versions.
///
/// # Errors
/// Fails if the body or a header is invalid, or if no version may be used.
pub(crate) fn order(
    shared: &Arc<Shared>,
    caller: &Caller,
    headers: CallHeaders,
    body: &[u8],
) -> Result<ChatOrder, Problem> {
    let arrived = shared.now();
    let deadline = call::deadline(shared, arrived, &headers)?;
    let table = call::table(shared)?;
    let mut chat: ChatBody = serde_json::from_slice(body).map_err(|error| {
        Problem::not_routed(
            400,
            "malformed-body",
            format!("the body is not a chat request: {error}"),
        )
    })?;
    let session = call::session(shared, &headers, &caller.workspace)?;
    if chat.stream {
        // Billing needs the usage, which engines include in streams only on request.
        chat.rest.insert("stream_options".to_owned(), json!({ "include_usage": true }));
    }
    let requested = chat.model.clone();
    let draft = Draft { shared, caller, headers, table, arrived, deadline, body };
    if requested != AUTO || session.is_some() {
        let version =
            choose_version(shared, &draft.table, &caller.workspace, &requested, session.as_ref())?;
        return Ok(ChatOrder::Single(Box::new(draft.order(&mut chat, version, session))));
    }
    let version_of = |model: &ModelName| {
        choose_version(shared, &draft.table, &caller.workspace, model.as_str(), None)
    };
    match draft.plan()? {
        Plan::Direct(model) => {
            Ok(ChatOrder::Single(Box::new(draft.order(&mut chat, version_of(&model)?, None))))
        }
        Plan::Cascade(first, second) => {
            let first = draft.order(&mut chat, version_of(&first)?, None);
            let second = Order {
                request: first.request,
                ..draft.order(&mut chat, version_of(&second)?, None)
            };
            Ok(ChatOrder::Cascade(Box::new([first, second])))
        }
    }
}

/// The data that all orders of one request share.
struct Draft<'a> {
    shared: &'a Shared,
    caller: &'a Caller,
    headers: CallHeaders,
    table: Arc<Table>,
    arrived: MonoTime,
    deadline: MonoTime,
    body: &'a [u8],
}

impl Draft<'_> {
    /// Chooses a single model or a cascade by the statistics of the models.
    ///
    /// # Errors
    /// Fails if the workspace has no usable model in its cascade.
    fn plan(&self) -> Result<Plan, Problem> {
        let workspace = &self.caller.workspace;
        let models = learners::models(&self.table, workspace, &self.shared.guard.lock());
        let target = self.table.workspace(workspace).map_or(0, |row| row.quality_target_percent);
        let kind = WorkKind { workspace: workspace.clone(), task: self.headers.task.clone() };
        let time_left = self.deadline.since(self.arrived);
        let mut learners = self.shared.learners.lock();
        let has_rater = learners.has_rater(self.arrived);
        let target = f64::from(target) / 100.0;
        let learner = learners.learner(&kind);
        let plan = learner.choose(&models, target, time_left, has_rater, &mut rand::rng());
        plan.ok_or_else(|| unknown(AUTO))
    }

    fn order(
        &self,
        chat: &mut ChatBody,
        version: ModelVersion,
        session: Option<SessionToken>,
    ) -> Order {
        let workspace = &self.caller.workspace;
        let target = Target::Version(version.clone());
        let is_repeatable = call::is_repeatable(&self.table, &self.headers, workspace, &target);
        let prompt = prompt(&chat.messages);
        chat.model = version.to_string();
        let work_key = call::work_key(workspace, &target, self.body);
        let max_tokens = chat.max_completion_tokens.or(chat.max_tokens);
        Order {
            request: RequestId::generate(),
            workspace: workspace.clone(),
            target,
            session_host: session.map(|session| session.host),
            is_repeatable,
            is_streamed: chat.stream,
            method: "POST".to_owned(),
            path: PATH.to_owned(),
            content_type: "application/json".to_owned(),
            prompt_tokens: estimate_tokens(&prompt).0,
            completion_tokens: max_tokens.unwrap_or(DEFAULT_COMPLETION_TOKENS),
            prefix: prefix(&prompt, self.shared.settings.placement.prefix_block_tokens),
            body: Bytes::from(serde_json::to_vec(&chat).expect("parsed JSON can be serialized")),
            idempotency_key: self.headers.idempotency_key.clone(),
            work_key,
            task: self.headers.task.clone(),
            prior: PriorUsage::default(),
            arrived: self.arrived,
            deadline: self.deadline,
        }
    }
}

/// Chooses the version that serves a request: that of the session, the requested one, or a random one
/// by weight.
///
/// # Errors
/// Fails if the model is unknown or no version may be used.
fn choose_version(
    shared: &Shared,
    table: &Table,
    workspace: &WorkspaceName,
    requested: &str,
    session: Option<&SessionToken>,
) -> Result<ModelVersion, Problem> {
    if let Some(session) = session {
        return session_version(table, workspace, requested, &session.target);
    }
    if let Ok(version) = requested.parse::<ModelVersion>() {
        return requested_version(table, workspace, version);
    }
    let model: ModelName = requested.parse().map_err(|_| unknown(requested))?;
    let mut versions = Vec::new();
    let mut is_known = false;
    for row in table.rows_of(workspace) {
        let Target::Version(version) = &row.target else {
            continue;
        };
        if version.model != model {
            continue;
        }
        is_known = true;
        if row.allowed && row.state == VersionState::Active {
            versions.push(holds::version_candidate(shared, table, row, version));
        }
    }
    if !is_known {
        return Err(unknown(requested));
    }
    split(&versions, &mut rand::rng()).map_err(|refusal| {
        let reason = match refusal {
            VersionRefusal::NoneActive => NotRunReason::NotAllowed,
            VersionRefusal::AllHeld => NotRunReason::Held,
        };
        Problem::not_run(reason, std::time::Duration::from_secs(1))
    })
}

/// The version of a session, which may be used while it is draining, but not once it is withdrawn.
///
/// # Errors
/// Fails if the session is for another model than the requested one, or its version may not be used.
fn session_version(
    table: &Table,
    workspace: &WorkspaceName,
    requested: &str,
    target: &Target,
) -> Result<ModelVersion, Problem> {
    let Target::Version(version) = target else {
        return Err(Problem::bad_header(super::headers::SESSION, "the session is on a service"));
    };
    let matches = requested == AUTO
        || requested == version.model.as_str()
        || requested == version.to_string();
    if !matches {
        let detail = format!("the session is on {version}, the request asks for {requested}");
        return Err(Problem::bad_header(super::headers::SESSION, &detail));
    }
    let row = table.row(workspace, target).filter(|row| row.allowed);
    match row.map(|row| row.state) {
        Some(VersionState::Active | VersionState::Draining) => Ok(version.clone()),
        Some(VersionState::Withdrawn) => Err(refuse(NotRunReason::Withdrawn)),
        None => Err(refuse(NotRunReason::NotAllowed)),
    }
}

/// Checks that a requested version may be used for a new session.
///
/// # Errors
/// Fails if it is unknown, not allowed, draining or withdrawn.
fn requested_version(
    table: &Table,
    workspace: &WorkspaceName,
    version: ModelVersion,
) -> Result<ModelVersion, Problem> {
    let target = Target::Version(version.clone());
    let Some(row) = table.row(workspace, &target) else {
        return Err(unknown(&version.to_string()));
    };
    if !row.allowed {
        return Err(refuse(NotRunReason::NotAllowed));
    }
    match row.state {
        VersionState::Active => Ok(version),
        VersionState::Draining => Err(refuse(NotRunReason::Draining)),
        VersionState::Withdrawn => Err(refuse(NotRunReason::Withdrawn)),
    }
}

fn refuse(reason: NotRunReason) -> Problem {
    Problem::not_run(reason, std::time::Duration::ZERO)
}

fn unknown(requested: &str) -> Problem {
    let detail = format!("the workspace has no model '{requested}'");
    Problem::not_routed(404, "unknown-model", detail)
}

/// The prompt's leading blocks, identified by the hashes of a few prefixes. `None` if the prompt is
/// shorter than a block.
fn prefix(prompt: &str, block_tokens: u64) -> Option<Prefix> {
    let hashes = prefix_hashes(prompt, block_tokens);
    if hashes.is_empty() {
        return None;
    }
    let marks = prefix_marks(hashes.len());
    Some(Prefix {
        blocks: u32::try_from(hashes.len()).unwrap_or(u32::MAX),
        block_tokens: u32::try_from(block_tokens).unwrap_or(u32::MAX),
        mark_hashes: marks.into_iter().map(|blocks| hashes[blocks - 1]).collect(),
    })
}

fn prompt(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        match &message.content {
            Value::String(content) => text.push_str(content),
            other => text.push_str(&other.to_string()),
        }
        text.push('\n');
    }
    text
}
