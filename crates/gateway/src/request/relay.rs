//! Forwards an event stream to the caller, event by event, and resumes it where it breaks.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::HeaderMap;
use http::StatusCode;
use stallhoist_core::MonoTime;
use stallhoist_policy::balance::Evidence;
use stallhoist_policy::fatal::ResponsePhase;

use super::AbandonReason;
use super::BrokenResponse;
use super::Execution;
use super::attempt::OpenStream;
use super::event_monitor::EventMonitor;
use super::token_interval::MonitoredStream;
use super::token_interval::TokenIntervalMonitor;
use crate::event_frames::EventFrames;
use crate::metrics::RequestOutcome;

/// A resumable stream is resumed on another upstream once it is silent for this many times the route's target
/// interval between tokens, and at least for `MIN_SILENCE_LIMIT`.
const SILENCE_LIMIT_PAUSES: u32 = 2;
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// Why no event was read.
enum ReadFailure {
    /// Nothing has arrived for the silence limit. The stream is still open.
    Silent,
    /// The stream broke, or the deadline has passed.
    Broken(BrokenResponse),
}

/// the stream broke and could not be resumed
#[derive(Debug, Display, thiserror::Error)]
pub(crate) struct RelayError;

fn monitors_for(
    execution: &Execution,
    stream: &OpenStream,
) -> (TokenIntervalMonitor, EventMonitor) {
    let subject = MonitoredStream {
        service: execution.call().service_name.clone(),
        model: execution.model().cloned(),
        version: stream.version.clone(),
        incarnation: stream.incarnation.clone(),
    };
    let state = execution.state();
    let token_interval = TokenIntervalMonitor::new(Arc::clone(state), subject.clone());
    (token_interval, EventMonitor::new(Arc::clone(state), subject))
}

/// A stream that is forwarded to the caller. Dropping it closes the connection to the upstream.
#[derive(Debug)]
pub(crate) struct Relay {
    execution: Execution,
    stream: OpenStream,
    status: StatusCode,
    headers: HeaderMap,
    last_event: Option<u64>,
    is_ended: bool,
    /// Since when the next event is awaited.
    awaited_since: Option<MonoTime>,
    /// Whether the upstream has been silent for the silence limit since then.
    is_silent: bool,
    token_interval: TokenIntervalMonitor,
    event_monitor: EventMonitor,
}

impl Relay {
    pub(crate) fn new(execution: Execution, stream: OpenStream) -> Self {
        let head = &stream.reply.head;
        let headers = execution.state().dialect.caller_headers(&head.headers);
        let status = head.status;
        let (token_interval, event_monitor) = monitors_for(&execution, &stream);
        Self {
            execution,
            stream,
            status,
            headers,
            last_event: None,
            is_ended: false,
            awaited_since: None,
            is_silent: false,
            token_interval,
            event_monitor,
        }
    }

    /// Status and headers of the response: those of the first upstream, also after the stream was resumed.
    pub(crate) fn head(&self) -> (StatusCode, HeaderMap) {
        (self.status, self.headers.clone())
    }

    /// The next events; none at the end of the stream.
    ///
    /// # Errors
    /// Fails when the stream broke and could not be resumed.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            if let Some(first_events) = self.stream.first_events.take() {
                return Ok(Some(self.forward(first_events)));
            }
            match self.read_until_resumed().await {
                Ok(Some(events)) => return Ok(Some(self.forward(events))),
                Ok(None) => {
                    self.token_interval.stream_ended();
                    if let Some(meter) = self.stream.meter.take() {
                        meter.answered();
                    }
                    self.event_monitor.stream_ended();
                    self.record_length();
                    self.execution.record_response();
                    if self.stream.progress.phase() < ResponsePhase::Written {
                        self.execution.record_survival();
                    }
                    self.ended(RequestOutcome::Answered, "complete");
                    return Ok(None);
                }
                Err(ReadFailure::Silent) => self.leave_silent_upstream().await?,
                Err(ReadFailure::Broken(cause)) => self.resume(cause).await?,
            }
        }
    }

    fn forward(&mut self, events: EventFrames) -> Bytes {
        self.last_event = events.last_id.or(self.last_event);
        events.bytes
    }

    /// Like [`read`](Self::read), and fails when the host resumes from suspension past the deadline, as the caller has
    /// left by then.
    async fn read_until_resumed(&mut self) -> Result<Option<EventFrames>, ReadFailure> {
        let state = Arc::clone(self.execution.state());
        let deadline = self.execution.call().deadline;
        tokio::select! {
            events = self.read() => events,
            () = state.resumed_past(deadline) => {
                Err(ReadFailure::Broken(BrokenResponse::IdleTimeout))
            }
        }
    }

    /// Reads from the upstream until an event is complete. The intervals between events are recorded; a long one
    /// is recorded before it has ended.
    async fn read(&mut self) -> Result<Option<EventFrames>, ReadFailure> {
        let state = Arc::clone(self.execution.state());
        let remaining = self.execution.call().deadline.since(state.now());
        // A time-out does not end a read that always finds something.
        if remaining.is_zero() {
            return Err(ReadFailure::Broken(BrokenResponse::IdleTimeout));
        }
        let silence_limit = self.silence_limit().unwrap_or(remaining).min(remaining);
        let began = *self.awaited_since.get_or_insert_with(|| state.now());
        let next = self.stream.reply.next_events(&mut self.stream.events);
        let mut next = pin!(tokio::time::timeout(silence_limit, next));
        let read = match self.token_interval.time_left() {
            Some(left) => match tokio::time::timeout(left, next.as_mut()).await {
                Ok(read) => read,
                Err(_) => {
                    self.token_interval.record_interval(state.now().since(began));
                    next.await
                }
            },
            None => next.await,
        };
        let events = read.map_err(|_| {
            if silence_limit < remaining {
                ReadFailure::Silent
            } else {
                ReadFailure::Broken(BrokenResponse::IdleTimeout)
            }
        })?;
        self.awaited_since = None;
        self.is_silent = false;
        if let Ok(Some(events)) = &events {
            if self.stream.progress.record_part(state.now()) {
                self.execution.record_survival();
            }
            state.attempt_times.record_sign(state.now(), &self.stream.incarnation);
            self.token_interval.record_interval(state.now().since(began));
            if let Some(last_id) = events.last_id {
                let count = self.event_monitor.events_read(began, last_id);
                if let Some(work) = &mut self.stream.work {
                    work.events_received(count);
                }
            }
        }
        events.map_err(|error| ReadFailure::Broken(error.into()))
    }

    /// How long the stream may be silent before another upstream is tried; none if it may not be resumed.
    fn silence_limit(&self) -> Option<Duration> {
        let route = &self.execution.call().route;
        let pause = route.target_pause.filter(|_| route.is_resumable)?;
        Some((pause * SILENCE_LIMIT_PAUSES).max(MIN_SILENCE_LIMIT))
    }

    /// Continues a silent stream on another upstream. Where none may or can take it, this one is waited for, as it may
    /// be at work on the stream: silence ends no response.
    ///
    /// # Errors
    /// Fails when another upstream was given the stream and did not continue it.
    async fn leave_silent_upstream(&mut self) -> Result<(), RelayError> {
        let state = self.execution.state().clone();
        let is_first_time = !std::mem::replace(&mut self.is_silent, true);
        if is_first_time {
            state.upstreams.observe(state.now(), &self.stream.incarnation, Evidence::Failed);
        }
        let resumed = self.execution.resume_elsewhere(self.last_event, &mut self.stream).await;
        if resumed.is_ok() || !self.stream.is_open() {
            self.log_left(&BrokenResponse::IdleTimeout);
            return self.continue_with(resumed);
        }
        if let (Err(reason), true) = (resumed, is_first_time) {
            state.metrics.streams_awaited.inc();
            log::info!(
                request = self.execution.call().head.id,
                instance:% = self.stream.incarnation,
                last_event = self.last_event.unwrap_or(0),
                reason:% = reason;
                "a silent stream is waited for"
            );
        }
        Ok(())
    }

    /// Reads from another upstream's stream from now on, or ends the response if there is none.
    fn continue_with(
        &mut self,
        resumed: Result<Box<OpenStream>, AbandonReason>,
    ) -> Result<(), RelayError> {
        let state = self.execution.state().clone();
        match resumed {
            Ok(stream) => {
                state.metrics.streams_resumed.inc();
                self.stream.close();
                self.stream = *stream;
                self.awaited_since = None;
                self.is_silent = false;
                (self.token_interval, self.event_monitor) =
                    monitors_for(&self.execution, &self.stream);
                Ok(())
            }
            Err(reason) => {
                state.metrics.streams_broken.inc();
                self.ended(RequestOutcome::Failed, &reason.to_string());
                Err(RelayError)
            }
        }
    }

    fn log_left(&self, cause: &BrokenResponse) {
        log::info!(
            request = self.execution.call().head.id,
            instance:% = self.stream.incarnation,
            last_event = self.last_event.unwrap_or(0),
            reason:% = cause;
            "stream broke off"
        );
    }

    async fn resume(&mut self, cause: BrokenResponse) -> Result<(), RelayError> {
        let state = self.execution.state().clone();
        state.upstreams.observe(state.now(), &self.stream.incarnation, Evidence::Failed);
        // Some breaks leave the connection open, with the upstream at work.
        self.stream.close();
        self.log_left(&cause);
        let OpenStream { incarnation, addr, progress, .. } = &self.stream;
        let phase = progress.phase();
        if self.execution.after_broken_response(incarnation, *addr, &cause, phase).await {
            self.execution.record_crash();
        }
        let resumed = self.execution.resume(self.last_event).await;
        self.continue_with(resumed)
    }

    /// Learns the length of the route's streams. Events are numbered from 1.
    fn record_length(&self) {
        if let Some(events) = self.last_event {
            let execution = &self.execution;
            execution.state().upstreams.stream_completed(&execution.call().route.name, events);
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
            instance:% = self.stream.incarnation,
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
        // The idle time of a session starts at the end of its last response.
        self.execution.remember_session(&self.stream.version);
        if !self.is_ended {
            self.execution.state().metrics.record_request(RequestOutcome::Abandoned);
            self.log("the caller left");
        }
    }
}
