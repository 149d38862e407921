//! The life cycle of attempts: admission, run, end, and lookups of their fate.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_coordination::AttemptFate;
use stallhoist_coordination::RegisterOutcome;
use stallhoist_core::AttemptId;
use stallhoist_core::NotRunReason;
use stallhoist_policy::admission::AdmissionDecision;
use stallhoist_policy::admission::AdmissionRequest;
use stallhoist_policy::admission::QueueDecision;
use stallhoist_wire::FrameSender;
use stallhoist_wire::WireError;
use stallhoist_wire::attempt_from_wire;
use stallhoist_wire::attempt_to_wire;
use stallhoist_wire::messages;
use stallhoist_wire::messages::Attestation;
use stallhoist_wire::messages::Dispatch;
use stallhoist_wire::messages::Prefix;
use stallhoist_wire::messages::Probe;
use stallhoist_wire::messages::ProbeReply;
use stallhoist_wire::messages::Refusal;
use stallhoist_wire::messages::frame::Body;

use crate::answer::Answer;
use crate::answer::AttemptEnd;
use crate::dispatch_check::DispatchContext;
use crate::dispatch_check::check_dispatch;
use crate::shared::Shared;
use crate::upstream;

/// The retry time after a rejection that only a change of table, version or sidecar state
/// can lift.
const RETRY_AFTER_STATE_CHANGE: Duration = Duration::from_millis(100);

/// Replies to a probe with the prediction for the request.
pub(crate) fn probe(shared: &Shared, probe: &Probe) -> Result<ProbeReply, WireError> {
    shared.metrics.probes.inc();
    let now = shared.now();
    let target: stallhoist_core::Target =
        probe.target.parse().map_err(|_| WireError::BadField("target"))?;
    let uncached_tokens = uncached_tokens(shared, probe.prompt_tokens, probe.prefix.as_ref());
    let admission = shared.admission.lock();
    let prediction = admission.predict(
        now,
        AdmissionRequest {
            id: placeholder_id(),
            key: probe.work_key,
            arrived: now,
            deadline: now.after(Duration::from_millis(probe.deadline_ms)),
            uncached_tokens,
            completion_tokens: probe.expected_completion_tokens,
        },
    );
    let in_flight_requests = u32::try_from(admission.in_flight()).unwrap_or(u32::MAX);
    let queue_len_requests = u32::try_from(admission.queue_len()).unwrap_or(u32::MAX);
    drop(admission);
    let own_refusal = if shared.is_leaving() {
        Some(NotRunReason::Leaving)
    } else if !shared.settings.upstream.serves.contains(&target) {
        Some(NotRunReason::NotServed)
    } else {
        None
    };
    let refusal =
        own_refusal.map(|reason| (reason, RETRY_AFTER_STATE_CHANGE)).or(prediction.refusal);
    Ok(ProbeReply {
        probe_id: probe.probe_id,
        predicted_first_token_us: micros(prediction.first_token),
        in_flight_requests,
        queue_len_requests,
        revision: shared.table.revision().0,
        refusal_reason: refusal.map_or(0, |(reason, _)| reason.code()),
        retry_after_ms: refusal.map_or(0, |(_, after)| micros(after).div_ceil(1_000)),
    })
}

/// Registers a dispatched attempt and starts, queues or rejects it.
pub(crate) fn dispatch(
    shared: &Arc<Shared>,
    from: &FrameSender,
    dispatch: Dispatch,
) -> Result<(), WireError> {
    shared.metrics.dispatches.inc();
    let now = shared.now();
    let id = attempt_from_wire(dispatch.attempt.as_ref())?;
    let workspace = dispatch.workspace.parse().map_err(|_| WireError::BadField("workspace"))?;
    let target = dispatch.target.parse().map_err(|_| WireError::BadField("target"))?;
    match shared.registry.lock().register(now, id) {
        RegisterOutcome::New => {}
        // The attempt is held already, and its response is being sent.
        RegisterOutcome::Seen => return Ok(()),
        RegisterOutcome::Barred => {
            reject_unregistered(from, id, NotRunReason::Barred);
            return Ok(());
        }
    }
    if dispatch.revision > shared.table.revision().0 {
        shared.table.sync_with_peer(from, stallhoist_core::Revision(dispatch.revision));
    }
    let deadline = now.after(Duration::from_millis(dispatch.deadline_ms));
    let uncached_tokens = uncached_tokens(shared, dispatch.prompt_tokens, dispatch.prefix.as_ref());
    let answer = Answer::new(id, workspace, target, dispatch, deadline, uncached_tokens);
    let answer = Arc::new(answer);
    shared.answers.lock().insert(id, Arc::clone(&answer));
    forward(&answer, from, 0);
    offer(shared, &answer);
    Ok(())
}

/// Spawns a task that sends a response to a connection.
pub(crate) fn forward(answer: &Arc<Answer>, to: &FrameSender, next_sequence: u64) {
    let answer = Arc::clone(answer);
    let to = to.clone();
    tokio::spawn(async move { answer.forward(&to, next_sequence).await });
}

fn offer(shared: &Arc<Shared>, answer: &Arc<Answer>) {
    if let Err(reason) = check_against_table(shared, answer) {
        return reject(shared, answer, reason, RETRY_AFTER_STATE_CHANGE);
    }
    let now = shared.now();
    let request = AdmissionRequest {
        id: answer.id,
        key: answer.dispatch.work_key,
        arrived: now,
        deadline: answer.deadline,
        uncached_tokens: answer.uncached_tokens,
        completion_tokens: answer.dispatch.expected_completion_tokens,
    };
    let offered = shared.admission.lock().offer(now, request);
    match offered {
        AdmissionDecision::Start => start(shared, answer),
        AdmissionDecision::Queued => shared.admission_changed.notify_one(),
        AdmissionDecision::Refused { reason, retry_after } => {
            reject(shared, answer, reason, retry_after)
        }
    }
}

fn check_against_table(shared: &Shared, answer: &Answer) -> Result<(), NotRunReason> {
    let is_full = shared.bills.lock().len() >= shared.settings.bill.max_held;
    if is_full {
        return Err(NotRunReason::StoreUnavailable);
    }
    let table = shared.table.current();
    if answer.dispatch.revision > shared.table.revision().0 {
        return Err(NotRunReason::NoTable);
    }
    let context = DispatchContext {
        workspace: &answer.workspace,
        target: &answer.target,
        is_in_session: answer.dispatch.in_session,
        serves: &shared.settings.upstream.serves,
        is_leaving: shared.is_leaving(),
    };
    check_dispatch(table.as_deref(), &context)
}

/// Starts queued attempts that have a slot and rejects overdue ones.
pub(crate) fn process_queue(shared: &Arc<Shared>) {
    let decisions = shared.admission.lock().next(shared.now());
    for decision in decisions {
        match decision {
            QueueDecision::Start(id) => {
                let Some(answer) = shared.answers.lock().get(&id).cloned() else {
                    shared.admission.lock().abandoned(&id);
                    continue;
                };
                match check_against_table(shared, &answer) {
                    Ok(()) => start(shared, &answer),
                    Err(reason) => {
                        shared.admission.lock().abandoned(&id);
                        reject(shared, &answer, reason, RETRY_AFTER_STATE_CHANGE);
                    }
                }
            }
            QueueDecision::Refused { id, retry_after } => {
                let answer = shared.answers.lock().get(&id).cloned();
                if let Some(answer) = answer {
                    reject(shared, &answer, NotRunReason::Overloaded, retry_after);
                }
            }
        }
    }
}

fn start(shared: &Arc<Shared>, answer: &Arc<Answer>) {
    answer.set_started();
    if let Some(prefix) = &answer.dispatch.prefix {
        shared.cache_view.lock().assume_cached(&prefix.mark_hashes);
    }
    tokio::spawn(run(Arc::clone(shared), Arc::clone(answer)));
}

async fn run(shared: Arc<Shared>, answer: Arc<Answer>) {
    let time_left = answer.deadline.since(shared.now());
    let call = upstream::call(&shared, &answer);
    let outcome = tokio::select! {
        outcome = call => outcome,
        () = answer.cancelled.cancelled() => upstream::CallOutcome::cancelled("cancelled"),
        () = tokio::time::sleep(time_left) => upstream::CallOutcome::cancelled("the deadline has passed"),
    };
    if outcome.is_cancelled() {
        upstream::cancel(&shared, &answer).await;
    }
    let now = shared.now();
    let mut admission = shared.admission.lock();
    match outcome.completion_tokens() {
        Some(tokens) => admission.finished(now, &answer.id, tokens),
        None => admission.abandoned(&answer.id),
    }
    drop(admission);
    complete(&shared, &answer, outcome);
    shared.admission_changed.notify_one();
}

fn complete(shared: &Shared, answer: &Answer, outcome: upstream::CallOutcome) {
    let now = shared.now();
    let is_empty = shared.is_engine() && outcome.completion_tokens() == Some(0);
    let (end, fate) = outcome.into_end(shared, answer);
    if let AttemptEnd::Started { kind, bill, .. } = &end {
        let is_failure = upstream::is_failure(*kind) || is_empty;
        shared.evidence.lock().record_end(&answer.target, is_failure);
        if is_failure { &shared.metrics.failures } else { &shared.metrics.answers }.inc();
        if let Some(record) = bill {
            shared.bills.lock().hold(now, record.clone());
        }
    } else {
        shared.metrics.refusals.inc();
    }
    // The bill record is stored before the final message can be sent.
    shared.registry.lock().end(&answer.id, fate);
    answer.end(now, end);
}

fn reject(shared: &Shared, answer: &Answer, reason: NotRunReason, retry_after: Duration) {
    shared.metrics.refusals.inc();
    shared.registry.lock().end(&answer.id, AttemptFate::NotRun);
    answer.end(shared.now(), AttemptEnd::NotRun { reason, retry_after });
}

fn reject_unregistered(to: &FrameSender, id: AttemptId, reason: NotRunReason) {
    to.send_or_close(Body::Refusal(Refusal {
        attempt: attempt_to_wire(id),
        reason: reason.code(),
        retry_after_ms: 0,
        revision: 0,
    }));
}

/// Cancels an attempt whose response is no longer needed.
pub(crate) fn cancel(shared: &Arc<Shared>, id: AttemptId) {
    // Bars the attempt if its dispatch has not arrived yet.
    let fate = shared.registry.lock().attest(shared.now(), id);
    if fate != AttemptFate::Held {
        // A response that is still buffered was read completely.
        shared.answers.lock().remove(&id);
        return;
    }
    let Some(answer) = shared.answers.lock().get(&id).cloned() else {
        return;
    };
    answer.cancelled.cancel();
    if !answer.was_started() {
        shared.admission.lock().abandoned(&id);
        reject(shared, &answer, NotRunReason::DeadlinePassed, RETRY_AFTER_STATE_CHANGE);
    }
}

/// Returns the fate of an attempt, and bars an unknown one.
pub(crate) fn attest(shared: &Shared, id: AttemptId) -> Attestation {
    let fate = shared.registry.lock().attest(shared.now(), id);
    let has_answer = shared.answers.lock().contains_key(&id);
    let fate = match fate {
        AttemptFate::Barred => messages::AttemptFate::Barred,
        AttemptFate::NotRun => messages::AttemptFate::NotRun,
        AttemptFate::Held => messages::AttemptFate::Held,
        AttemptFate::Finished if has_answer => messages::AttemptFate::Finished,
        AttemptFate::Finished => messages::AttemptFate::Forgotten,
    };
    Attestation { attempt: attempt_to_wire(id), fate: fate as i32 }
}

/// Resumes a response from a sequence number.
pub(crate) fn resume(shared: &Shared, to: &FrameSender, id: AttemptId, next_sequence: u64) {
    let Some(answer) = shared.answers.lock().get(&id).cloned() else {
        let fate = messages::AttemptFate::Forgotten as i32;
        to.send_or_close(Body::Attestation(Attestation { attempt: attempt_to_wire(id), fate }));
        return;
    };
    shared.metrics.resumes.inc();
    forward(&answer, to, next_sequence);
}

fn uncached_tokens(shared: &Shared, prompt_tokens: u64, prefix: Option<&Prefix>) -> u64 {
    let cached = prefix.map(|prefix| shared.cache_view.lock().cached_tokens(prefix));
    prompt_tokens.saturating_sub(cached.unwrap_or_default())
}

fn placeholder_id() -> AttemptId {
    AttemptId {
        request: stallhoist_core::RequestId::from_u128(0),
        number: stallhoist_core::AttemptNumber(0),
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
