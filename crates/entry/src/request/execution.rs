//! The run of one request: attempts, cuts, resumes, retries, and its one ending.

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
use super::Ending;
use super::Order;
use super::attempt::Attempt;
use super::attempt_end::AttemptEnd;
use super::place::place;
use crate::billing;
use crate::limits;
use crate::limits::LimitPermit;
use crate::mesh::AttemptEvent;
use crate::shared::Shared;

/// When to come back after there was nobody to ask.
const RETRY_AFTER_NOBODY: Duration = Duration::from_secs(1);

/// What a request hears next.
#[derive(Debug)]
pub(crate) enum Step {
    /// The answer begins; only before the first part, and anew after a retry.
    Head(ResponseHead),
    /// The next part of the answer.
    Part(Bytes),
    /// The end. Nothing follows.
    End(Ending),
}

/// A whole answer, or why there is none.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) ending: Ending,
    pub(crate) head: Option<ResponseHead>,
    pub(crate) parts: Vec<Bytes>,
}

/// The run of one request. Dropping it cancels what runs.
pub(crate) struct Execution {
    shared: Arc<Shared>,
    pub(crate) order: Order,
    attempt: Option<Attempt>,
    progress: RequestProgress,
    /// Counts the request under the limits of its row; none where it has none.
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
            // The sidecar resumes an answer within its attempt; another one starts anew.
            is_resumable: false,
            max_attempts: shared.settings.retries.max_attempts,
            // A sidecar that cannot be reached is not chosen in the first place.
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

    /// The upstream host whose answer is whole, for the session's token.
    pub(crate) fn served_by(&self) -> Option<&HostId> {
        self.served_by.as_ref()
    }

    /// What the whole answer is billed.
    pub(crate) fn bill(&self) -> Option<&BillRecord> {
        self.bill.as_ref()
    }

    /// Runs to the end and gives the whole answer. A part is never given as a whole.
    pub(crate) async fn run_whole(&mut self) -> WholeAnswer {
        let mut head = None;
        let mut parts: Vec<Bytes> = Vec::new();
        loop {
            match self.step().await {
                Step::Head(new) => {
                    head = Some(new);
                    parts.clear();
                }
                Step::Part(part) => parts.push(part),
                Step::End(ending) => return WholeAnswer { ending, head, parts },
            }
        }
    }

    /// The next step of an answer whose parts go out as they come.
    pub(crate) async fn next(&mut self) -> Step {
        let step = self.step().await;
        if matches!(step, Step::Part(_)) {
            self.progress.delivered();
        }
        step
    }

    /// The upstream host that the attempt in progress runs on.
    pub(crate) fn runs_on(&self) -> Option<&HostId> {
        self.attempt.as_ref().map(|attempt| &attempt.host)
    }

    async fn step(&mut self) -> Step {
        let deadline = self.shared.clock.instant(self.order.deadline).into();
        match tokio::time::timeout_at(deadline, self.step_in_time()).await {
            Ok(step) => step,
            Err(_) => self.give_up(),
        }
    }

    /// The deadline has passed: the caller gets its answer now, whatever still runs.
    fn give_up(&mut self) -> Step {
        let has_begun = self.attempt.as_ref().is_some_and(|attempt| attempt.head.is_some());
        self.attempt = None;
        let kind = if self.progress.may_have_run() {
            EndKind::DeadlinePassed { has_begun: has_begun || self.progress.is_delivered() }
        } else {
            let reason = NotRunReason::DeadlinePassed;
            EndKind::NotRun { reason, retry_after: RETRY_AFTER_NOBODY }
        };
        self.end(kind)
    }

    async fn step_in_time(&mut self) -> Step {
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
            match self.take(event).await {
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

    /// Places the request and sends it.
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
                return Err(self.not_run(NotRunReason::NoUpstream, RETRY_AFTER_NOBODY));
            }
        };
        let nobody = || EndKind::NotRun {
            reason: NotRunReason::NoUpstream,
            retry_after: RETRY_AFTER_NOBODY,
        };
        let link = self.shared.links.get(&host).ok_or_else(nobody)?;
        let connected = link.connected().ok_or_else(nobody)?;
        self.progress.sent();
        // A later leg of a cascade goes on counting, so that its record stands.
        let number = AttemptNumber(u64::from(self.order.prior.attempts + self.progress.attempts()));
        let id = AttemptId { request: self.order.request, number };
        let events = link.waiters.lock().add_attempt(id);
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
        // A connection that breaks here is noticed as any other cut.
        let _ = connected.sender.send(Body::Dispatch(dispatch)).await;
        Ok(())
    }

    /// Takes an event; a step for the caller, nothing yet, or the attempt's end.
    async fn take(&mut self, event: AttemptEvent) -> Result<Option<Step>, AttemptEnd> {
        match event {
            AttemptEvent::Head(head) => Ok(self.take_head(head)),
            AttemptEvent::Chunk(chunk) => self.take_chunk(chunk),
            AttemptEvent::Final(last) => self.take_final(*last).await.map(Some),
            AttemptEvent::Refusal(refusal) => Err(AttemptEnd::refused(&refusal)),
            AttemptEvent::LinkLost => self.recover().await.map(|()| None),
            AttemptEvent::Attestation(fate) => self.take_fate(fate).map(|()| None),
        }
    }

    fn take_head(&mut self, head: ResponseHead) -> Option<Step> {
        let attempt = self.attempt.as_mut()?;
        // After a resume the head comes again.
        if attempt.head.is_some() {
            return None;
        }
        attempt.head = Some(head.clone());
        (!attempt.is_error()).then_some(Step::Head(head))
    }

    fn take_chunk(&mut self, chunk: Chunk) -> Result<Option<Step>, AttemptEnd> {
        let Some(attempt) = self.attempt.as_mut() else {
            return Ok(None);
        };
        // After a resume, parts that were on their way may come twice.
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
        Ok(Some(Step::Part(chunk.payload)))
    }

    async fn take_final(&mut self, last: Final) -> Result<Step, AttemptEnd> {
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
            billing::take_in(&self.shared, record, &host).await;
        }
        self.served_by = Some(host);
        self.attempt = None;
        Ok(self.end(EndKind::Whole))
    }

    /// The connection broke. The same life of the same sidecar knows what became of
    /// the attempt; nobody else does.
    async fn recover(&mut self) -> Result<(), AttemptEnd> {
        let Some(attempt) = self.attempt.as_mut() else {
            return Err(AttemptEnd::Unknown);
        };
        let window = Duration::from_millis(self.shared.settings.timing.resume_window_ms);
        let connected = tokio::time::timeout(window, attempt.link.wait_connected()).await;
        if !matches!(connected, Ok(Some(incarnation)) if incarnation == attempt.incarnation) {
            return Err(AttemptEnd::Unknown);
        }
        // Asking bars the attempt if it never arrived.
        let attest = Attest { attempt: attempt_to_wire(attempt.id) };
        // A send that fails means that the connection broke again, which is told anew.
        let _ = attempt.link.try_send(Body::Attest(attest));
        Ok(())
    }

    fn take_fate(&mut self, fate: AttemptFate) -> Result<(), AttemptEnd> {
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
                retry_after: RETRY_AFTER_NOBODY,
            }),
            AttemptFate::Forgotten | AttemptFate::Unspecified => Err(AttemptEnd::Unknown),
        }
    }

    /// An attempt goes no further: the request is tried elsewhere or ends.
    fn attempt_ended(&mut self, end: AttemptEnd) -> Option<Step> {
        if let Some(attempt) = self.attempt.take() {
            self.note_health(&attempt.host, &end);
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

    /// "Not run" is said only when no attempt can have run.
    fn not_run(&self, reason: NotRunReason, retry_after: Duration) -> EndKind {
        if self.progress.may_have_run() {
            return EndKind::Unknown;
        }
        EndKind::NotRun { reason, retry_after }
    }

    fn note_health(&self, host: &HostId, end: &AttemptEnd) {
        let mut ejection = self.shared.ejection.lock();
        if end.has_cost() {
            ejection.failed(self.shared.now(), host, &mut rand::rng());
        } else {
            ejection.released(host);
        }
    }

    fn end(&mut self, kind: EndKind) -> Step {
        Step::End(Ending { kind, attempts: self.progress.attempts() })
    }
}
