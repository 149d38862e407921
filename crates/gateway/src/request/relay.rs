//! Passing an event stream on, event by event.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::HeaderMap;
use http::StatusCode;
use stallhoist_policy::balance::Evidence;

use super::Break;
use super::Execution;
use super::attempt::OpenStream;
use super::pace_watch::PaceSubject;
use super::pace_watch::PaceWatch;
use crate::event_frames::EventFrames;
use crate::metrics::RequestOutcome;

/// A stream that is silent for so many times its longest good pause, and at least for the
/// time below, is continued elsewhere if it may be.
const SILENT_PAUSES: u32 = 2;
const MIN_SILENCE: Duration = Duration::from_millis(2_000);

/// the stream broke off and could not be continued
#[derive(Debug, Display, thiserror::Error)]
pub(crate) struct RelayError;

fn watch_of(execution: &Execution, stream: &OpenStream) -> PaceWatch {
    let subject = PaceSubject {
        service: execution.call().service_name.clone(),
        model: execution.model().cloned(),
        version: stream.version.clone(),
        start: stream.start.clone(),
    };
    PaceWatch::new(Arc::clone(execution.state()), subject)
}

/// A stream on its way to the caller. Dropping it closes the connection to the upstream.
#[derive(Debug)]
pub(crate) struct Relay {
    execution: Execution,
    stream: OpenStream,
    status: StatusCode,
    headers: HeaderMap,
    last_event: Option<u64>,
    is_ended: bool,
    pace: PaceWatch,
}

impl Relay {
    pub(crate) fn new(execution: Execution, stream: OpenStream) -> Self {
        let head = &stream.reply.head;
        let headers = execution.state().dialect.caller_headers(&head.headers);
        let status = head.status;
        let pace = watch_of(&execution, &stream);
        Self { execution, stream, status, headers, last_event: None, is_ended: false, pace }
    }

    /// The head of the answer: that of the first upstream, whichever continues it.
    pub(crate) fn head(&self) -> (StatusCode, HeaderMap) {
        (self.status, self.headers.clone())
    }

    /// The next events; none at the end.
    ///
    /// # Errors
    /// Fails when the stream broke and cannot be continued.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            if let Some(first) = self.stream.first.take() {
                return Ok(Some(self.passed_on(first)));
            }
            match self.read().await {
                Ok(Some(events)) => return Ok(Some(self.passed_on(events))),
                Ok(None) => {
                    self.pace.ended();
                    self.execution.was_answered();
                    self.ended(RequestOutcome::Answered, "complete");
                    return Ok(None);
                }
                Err(cause) => self.resume(cause).await?,
            }
        }
    }

    fn passed_on(&mut self, events: EventFrames) -> Bytes {
        self.last_event = events.last_id.or(self.last_event);
        events.bytes
    }

    /// Reads from the upstream until an event is whole. How long it pauses shows how fast it
    /// generates; a pause that lasts is told of before it has ended.
    async fn read(&mut self) -> Result<Option<EventFrames>, Break> {
        let silence = self.allowed_silence();
        let state = Arc::clone(self.execution.state());
        let began = state.now();
        let next = self.stream.reply.next_events(&mut self.stream.events);
        let mut next = pin!(tokio::time::timeout(silence, next));
        let read = match self.pace.time_left() {
            Some(left) => match tokio::time::timeout(left, next.as_mut()).await {
                Ok(read) => read,
                Err(_) => {
                    self.pace.paused(state.now().since(began));
                    next.await
                }
            },
            None => next.await,
        };
        let events = read.map_err(|_| Break::Silent)?;
        if matches!(events, Ok(Some(_))) {
            self.pace.paused(state.now().since(began));
        }
        events.map_err(Break::from)
    }

    fn allowed_silence(&self) -> Duration {
        let call = self.execution.call();
        let remaining = call.deadline.since(self.execution.state().now());
        match call.route.target_pause {
            Some(pause) if call.route.is_resumable => {
                remaining.min((pause * SILENT_PAUSES).max(MIN_SILENCE))
            }
            _ => remaining,
        }
    }

    async fn resume(&mut self, cause: Break) -> Result<(), RelayError> {
        let state = self.execution.state().clone();
        state.upstreams.observe(state.now(), &self.stream.start, Evidence::Failed);
        log::info!(
            request = self.execution.call().head.id,
            instance:% = self.stream.start,
            last_event = self.last_event.unwrap_or(0),
            reason:% = cause;
            "stream broke off"
        );
        let (start, addr) = (&self.stream.start, self.stream.addr);
        if self.execution.after_break(start, addr, &cause).await {
            self.execution.upstream_ended();
        }
        match self.execution.resume(self.last_event).await {
            Ok(stream) => {
                state.metrics.streams_resumed.inc();
                self.stream = *stream;
                self.pace = watch_of(&self.execution, &self.stream);
                Ok(())
            }
            Err(give_up) => {
                state.metrics.streams_broken.inc();
                self.ended(RequestOutcome::Failed, &give_up.to_string());
                Err(RelayError)
            }
        }
    }

    fn ended(&mut self, end: RequestOutcome, result: &str) {
        self.is_ended = true;
        self.execution.state().metrics.record_request(end);
        self.log(result);
    }

    fn log(&self, result: &str) {
        let state = self.execution.state();
        let now = state.now();
        if !state.decisions.admits(now) {
            return;
        }
        let call = self.execution.call();
        log::info!(
            request = call.head.id,
            route:% = call.route.name,
            workspace = call.workspace.as_ref().map_or("", |workspace| workspace.as_str()),
            instance:% = self.stream.start,
            version:% = self.stream.version,
            attempts = self.execution.attempts(),
            last_event = self.last_event.unwrap_or(0),
            elapsed_ms = now.since(call.arrived).as_millis() as u64,
            result;
            "stream ended"
        );
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // A session lasts from the end of its last answer.
        self.execution.remember_session(&self.stream.version);
        if !self.is_ended {
            self.execution.state().metrics.record_request(RequestOutcome::Abandoned);
            self.log("the caller left");
        }
    }
}
