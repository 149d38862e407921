//! The state machine of one request: attempts, lost connections, resumes, retries, and exactly one
//! result.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use stallhoist_core::AttemptId;
use stallhoist_core::AttemptNumber;
use stallhoist_core::BillRecord;
use stallhoist_core::HostId;
use stallhoist_core::NotRunReason;
use stallhoist_core::ResponseDigest;
use stallhoist_policy::placement::Choice;
use stallhoist_policy::retry::RequestProgress;
use stallhoist_policy::retry::RequestRules;
use stallhoist_wire::attempt_to_wire;
use stallhoist_wire::bill_from_wire;
use stallhoist_wire::messages::AttemptFate;
use stallhoist_wire::messages::Attest;
use stallhoist_wire::messages::Chunk;
use stallhoist_wire::messages::Final;
use stallhoist_wire::messages::FinalKind;
use stallhoist_wire::messages::ResponseHead;
use stallhoist_wire::messages::Resume;
use stallhoist_wire::messages::frame::Body;

use super::EndKind;
use super::Order;
use super::RequestEnd;
use super::attempt::Attempt;
use super::attempt_end::AttemptEnd;
use super::place::place;
use crate::billing;
use crate::limits;
use crate::limits::LimitPermit;
use crate::mesh::AttemptEvent;
use crate::shared::Shared;

/// The retry delay given to the caller when no upstream is available.
const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_secs(1);

/// The next event of a request, as seen by the caller's side.
#[derive(Debug)]
pub(crate) enum Step {
    /// The response starts. Comes before the first chunk, and again after a retry.
    Head(ResponseHead),
    /// The next chunk of the response.
    Chunk(Bytes),
    /// The request has ended; nothing follows.
    End(RequestEnd),
}

/// A complete response that is held in memory, or the reason why there is none.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) ending: RequestEnd,
    pub(crate) head: Option<ResponseHead>,
    pub(crate) chunks: Vec<Bytes>,
}

/// The execution of one request. Dropping it cancels the attempt in progress.
pub(crate) struct Execution {
    shared: Arc<Shared>,
    pub(crate) order: Order,
    attempt: Option<Attempt>,
    progress: RequestProgress,
    /// Counts the request against the limits of its table row; `None` if the row has no limits.
    permit: Option<LimitPermit>,
    avoid: BTreeSet<HostId>,
    served_by: Option<HostId>,
    bill: Option<BillRecord>,
}

impl Execution {
    pub(crate) fn new(shared: Arc<Shared>, order: Order) -> Self {
        shared.retries.lock().request();
        let progress = RequestProgress::new(RequestRules {
            is_repeatable: order.is_repeatable,
            // A sidecar can resume a response only within the same attempt; a new attempt starts over.
            is_resumable: false,
            max_attempts: shared.settings.retries.max_attempts,
            // Only connected sidecars are chosen.
            max_connect_failures: 0,
        });
        Self {
            shared,
            order,
            attempt: None,
            progress,
            permit: None,
            avoid: BTreeSet::new(),
            served_by: None,
            bill: None,
        }
    }

    /// The upstream host that sent the complete response, for the session token.
    pub(crate) fn served_by(&self) -> Option<&HostId> {
        self.served_by.as_ref()
    }

    /// The bill record of the complete response.
    pub(crate) fn bill(&self) -> Option<&BillRecord> {
        self.bill.as_ref()
    }

    /// Runs the request to its end and returns the response. Chunks of an attempt that was retried are
    /// discarded.
    pub(crate) async fn run_buffered(&mut self) -> BufferedResponse {
        let mut head = None;
        let mut chunks: Vec<Bytes> = Vec::new();
        loop {
            match self.step().await {
                Step::Head(new) => {
                    head = Some(new);
                    chunks.clear();
                }
                Step::Chunk(chunk) => chunks.push(chunk),
                Step::End(ending) => return BufferedResponse { ending, head, chunks },
            }
        }
    }

    /// Returns the next step of a streamed response. Once a chunk was returned, the request is no
    /// longer retried.
    pub(crate) async fn next(&mut self) -> Step {
        let step = self.step().await;
        if matches!(step, Step::Chunk(_)) {
            self.progress.delivered();
        }
        step
    }

    /// The upstream host that the attempt in progress runs on.
    pub(crate) fn upstream_host(&self) -> Option<&HostId> {
        self.attempt.as_ref().map(|attempt| &attempt.host)
    }

    async fn step(&mut self) -> Step {
        let deadline = self.shared.clock.instant(self.order.deadline).into();
        match tokio::time::timeout_at(deadline, self.step_before_deadline()).await {
            Ok(step) => step,
            Err(_) => self.end_at_deadline(),
        }
    }

    /// Ends the request at its deadline, even if an attempt is still running.
    fn end_at_deadline(&mut self) -> Step {
        let has_started = self.attempt.as_ref().is_some_and(|attempt| attempt.head.is_some());
        self.attempt = None;
        let kind = if self.progress.may_have_run() {
            EndKind::DeadlinePassed { has_started: has_started || self.progress.is_delivered() }
        } else {
            let reason = NotRunReason::DeadlinePassed;
            EndKind::NotRun { reason, retry_after: RETRY_AFTER_NO_UPSTREAM }
        };
        self.end(kind)
    }

    async fn step_before_deadline(&mut self) -> Step {
        loop {
            if self.attempt.is_none()
                && let Err(kind) = self.begin_attempt().await
            {
                return self.end(kind);
            }
            let Some(attempt) = self.attempt.as_mut() else {
                continue;
            };
            let event = attempt.events.recv().await.unwrap_or(AttemptEvent::LinkLost);
            match self.handle_event(event).await {
                Ok(Some(step)) => return step,
                Ok(None) => {}
                Err(end) => {
                    if let Some(step) = self.attempt_ended(end) {
                        return step;
                    }
                }
            }
        }
    }

    /// Chooses an upstream host and dispatches the request to it.
    async fn begin_attempt(&mut self) -> Result<(), EndKind> {
        if self.permit.is_none() {
            let admitted = limits::admit(&self.shared, &self.order);
            self.permit = admitted
                .map_err(|reached| self.not_run(NotRunReason::LimitReached, reached.retry_after))?;
        }
        let host = match place(&self.shared, &self.order, &self.avoid).await {
            Choice::Send(host) => host,
            Choice::Refuse { reason, retry_after } => {
                return Err(self.not_run(reason, retry_after));
            }
            Choice::NoCandidate => {
                return Err(self.not_run(NotRunReason::NoUpstream, RETRY_AFTER_NO_UPSTREAM));
            }
        };
        let no_upstream = || EndKind::NotRun {
            reason: NotRunReason::NoUpstream,
            retry_after: RETRY_AFTER_NO_UPSTREAM,
        };
        let link = self.shared.links.get(&host).ok_or_else(no_upstream)?;
        // The second model of a cascade continues the numbering, so that its bill record replaces the
        // first.
        let number = self.order.prior.attempts + self.progress.attempts() + 1;
        let id =
            AttemptId { request: self.order.request, number: AttemptNumber(u64::from(number)) };
        let (connected, events) = link.begin_attempt(id).ok_or_else(no_upstream)?;
        self.progress.sent();
        let revision = self.shared.table.revision();
        let dispatch = self.order.dispatch(id, revision, self.shared.now());
        self.shared.metrics.attempts.inc();
        self.shared.ejection.lock().sent(&host);
        self.attempt = Some(Attempt {
            id,
            host,
            link,
            incarnation: connected.identity.incarnation,
            events,
            head: None,
            next_sequence: 0,
            digest: ResponseDigest::default(),
            error_body: Vec::new(),
        });
        // If the connection breaks here, the attempt receives `LinkLost`.
        let _ = connected.sender.send(Body::Dispatch(dispatch)).await;
        Ok(())
    }

    /// Handles an event of the attempt. Returns a step for the caller if there is one.
    ///
    /// # Errors
    /// Fails when the attempt has ended without a complete response.
    async fn handle_event(&mut self, event: AttemptEvent) -> Result<Option<Step>, AttemptEnd> {
        match event {
            AttemptEvent::Head(head) => Ok(self.handle_head(head)),
            AttemptEvent::Chunk(chunk) => self.handle_chunk(chunk),
            AttemptEvent::Final(last) => self.handle_final(*last).await.map(Some),
            AttemptEvent::Refusal(refusal) => Err(AttemptEnd::refused(&refusal)),
            AttemptEvent::LinkLost => self.recover().await.map(|()| None),
            AttemptEvent::Attestation(fate) => self.handle_fate(fate).map(|()| None),
        }
    }

    fn handle_head(&mut self, head: ResponseHead) -> Option<Step> {
        let attempt = self.attempt.as_mut()?;
        // After a resume the sidecar sends the head again.
        if attempt.head.is_some() {
            return None;
        }
        attempt.head = Some(head.clone());
        (!attempt.is_error()).then_some(Step::Head(head))
    }

    fn handle_chunk(&mut self, chunk: Chunk) -> Result<Option<Step>, AttemptEnd> {
        let Some(attempt) = self.attempt.as_mut() else {
            return Ok(None);
        };
        // After a resume, chunks that were in transit may arrive twice.
        if chunk.sequence < attempt.next_sequence {
            return Ok(None);
        }
        if chunk.sequence > attempt.next_sequence {
            let detail = format!("part {} is missing", attempt.next_sequence);
            return Err(AttemptEnd::Truncated { detail });
        }
        attempt.next_sequence += 1;
        attempt.digest.update(&chunk.payload);
        if attempt.is_error() {
            attempt.error_body.extend_from_slice(&chunk.payload);
            return Ok(None);
        }
        Ok(Some(Step::Chunk(chunk.payload)))
    }

    async fn handle_final(&mut self, last: Final) -> Result<Step, AttemptEnd> {
        let Some(attempt) = self.attempt.as_mut() else {
            return Err(AttemptEnd::Unknown);
        };
        let is_whole =
            last.chunk_count == attempt.next_sequence && last.digest == attempt.digest.value();
        match last.kind() {
            FinalKind::Whole if is_whole => {}
            FinalKind::Whole => {
                let detail = "the parts do not make the whole answer".to_owned();
                return Err(AttemptEnd::Truncated { detail });
            }
            FinalKind::UpstreamError => {
                let head = attempt.head.clone().unwrap_or_default();
                let detail = EndKind::UpstreamError {
                    http_status: u16::try_from(head.http_status).unwrap_or(502),
                    content_type: head.content_type,
                    body: std::mem::take(&mut attempt.error_body),
                };
                return Err(AttemptEnd::UpstreamError { detail });
            }
            _ => return Err(AttemptEnd::Truncated { detail: last.detail }),
        }
        let host = attempt.host.clone();
        self.shared.ejection.lock().succeeded(&host);
        if let Some(record) = last.bill.as_ref().and_then(|bill| bill_from_wire(bill).ok()) {
            self.bill = Some(record.clone());
            billing::hold_record(&self.shared, record, &host).await;
        }
        self.served_by = Some(host);
        self.attempt = None;
        Ok(self.end(EndKind::Whole))
    }

    /// Asks the sidecar for the attempt's state after the connection broke. Only the same incarnation
    /// of the same sidecar knows it.
    async fn recover(&mut self) -> Result<(), AttemptEnd> {
        let Some(attempt) = self.attempt.as_mut() else {
            return Err(AttemptEnd::Unknown);
        };
        let window = Duration::from_millis(self.shared.settings.timing.resume_window_ms);
        let connected = tokio::time::timeout(window, attempt.link.wait_connected()).await;
        if !matches!(connected, Ok(Some(incarnation)) if incarnation == attempt.incarnation) {
            return Err(AttemptEnd::Unknown);
        }
        // If the attempt never arrived, this message makes the sidecar reject it from now on.
        let attest = Attest { attempt: attempt_to_wire(attempt.id) };
        // If the connection broke again, the send fails and the attempt receives another `LinkLost`.
        let _ = attempt.link.try_send(Body::Attest(attest));
        Ok(())
    }

    fn handle_fate(&mut self, fate: AttemptFate) -> Result<(), AttemptEnd> {
        let Some(attempt) = self.attempt.as_mut() else {
            return Err(AttemptEnd::Unknown);
        };
        match fate {
            AttemptFate::Held | AttemptFate::Finished => {
                self.shared.metrics.resumes.inc();
                let resume = Resume {
                    attempt: attempt_to_wire(attempt.id),
                    next_sequence: attempt.next_sequence,
                };
                let _ = attempt.link.try_send(Body::Resume(resume));
                Ok(())
            }
            AttemptFate::Barred | AttemptFate::NotRun => Err(AttemptEnd::Refused {
                reason: NotRunReason::NoUpstream,
                retry_after: RETRY_AFTER_NO_UPSTREAM,
            }),
            AttemptFate::Forgotten | AttemptFate::Unspecified => Err(AttemptEnd::Unknown),
        }
    }

    /// Handles the end of an attempt: returns `None` if the request is to be retried, else its end.
    fn attempt_ended(&mut self, end: AttemptEnd) -> Option<Step> {
        if let Some(attempt) = self.attempt.take() {
            self.record_health(&attempt.host, &end);
            self.avoid.insert(attempt.host.clone());
        }
        if end.is_proved_not_run() {
            self.progress.proved_not_run();
        }
        let take_budget = || self.shared.retries.lock().take();
        if !end.is_final() && self.progress.may_retry(end.has_cost(), take_budget) {
            self.shared.metrics.retries.inc();
            return None;
        }
        let kind = match end {
            AttemptEnd::Refused { reason, retry_after } => self.not_run(reason, retry_after),
            AttemptEnd::UpstreamError { detail } => detail,
            AttemptEnd::Truncated { detail } => EndKind::Truncated { detail },
            AttemptEnd::Unknown => EndKind::Unknown,
        };
        Some(self.end(kind))
    }

    /// Reports "not run" only if no attempt can have run, else "unknown".
    fn not_run(&self, reason: NotRunReason, retry_after: Duration) -> EndKind {
        if self.progress.may_have_run() {
            return EndKind::Unknown;
        }
        EndKind::NotRun { reason, retry_after }
    }

    fn record_health(&self, host: &HostId, end: &AttemptEnd) {
        let mut ejection = self.shared.ejection.lock();
        if end.has_cost() {
            ejection.failed(self.shared.now(), host, &mut rand::rng());
        } else {
            ejection.released(host);
        }
    }

    fn end(&mut self, kind: EndKind) -> Step {
        Step::End(RequestEnd { kind, attempts: self.progress.attempts() })
    }
}
