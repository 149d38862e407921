//! The buffered response of an attempt. The task that calls the upstream writes it.
//! Connections read it from any sequence number, so that a new connection can resume it
//! after a connection loss.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use stallhoist_core::AttemptId;
use stallhoist_core::BillRecord;
use stallhoist_core::MonoTime;
use stallhoist_core::NotRunReason;
use stallhoist_core::ResponseDigest;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;
use stallhoist_wire::FrameSender;
use stallhoist_wire::WireError;
use stallhoist_wire::attempt_to_wire;
use stallhoist_wire::bill_to_wire;
use stallhoist_wire::messages::Chunk;
use stallhoist_wire::messages::Dispatch;
use stallhoist_wire::messages::Final;
use stallhoist_wire::messages::FinalKind;
use stallhoist_wire::messages::Refusal;
use stallhoist_wire::messages::ResponseHead;
use stallhoist_wire::messages::frame::Body;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// How an attempt ended.
#[derive(Debug, Clone)]
pub(crate) enum AttemptEnd {
    /// It has not run.
    NotRun { reason: NotRunReason, retry_after: Duration },
    /// It was started.
    Started { kind: FinalKind, detail: String, bill: Option<BillRecord> },
}

/// Status and content type of the upstream's response.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) http_status: u16,
    pub(crate) content_type: String,
}

#[derive(Debug, Default)]
struct Content {
    head: Option<Head>,
    chunks: Vec<Bytes>,
    bytes: usize,
    digest: ResponseDigest,
    end: Option<(AttemptEnd, MonoTime)>,
}

/// An attempt with the response received so far.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) id: AttemptId,
    pub(crate) workspace: WorkspaceName,
    pub(crate) target: Target,
    pub(crate) dispatch: Dispatch,
    pub(crate) deadline: MonoTime,
    pub(crate) uncached_tokens: u64,
    /// Cancelled when the response is no longer needed.
    pub(crate) cancelled: CancellationToken,
    content: Mutex<Content>,
    /// The number of changes of the content, which readers watch.
    changes: watch::Sender<u64>,
    readers: AtomicUsize,
    unread_since: Mutex<Option<MonoTime>>,
    was_started: AtomicBool,
}

impl Answer {
    pub(crate) fn new(
        id: AttemptId,
        workspace: WorkspaceName,
        target: Target,
        dispatch: Dispatch,
        deadline: MonoTime,
        uncached_tokens: u64,
    ) -> Self {
        Self {
            id,
            workspace,
            target,
            dispatch,
            deadline,
            uncached_tokens,
            cancelled: CancellationToken::new(),
            content: Mutex::default(),
            changes: watch::Sender::new(0),
            readers: AtomicUsize::new(0),
            unread_since: Mutex::default(),
            was_started: AtomicBool::new(false),
        }
    }

    pub(crate) fn set_started(&self) {
        self.was_started.store(true, Ordering::SeqCst);
    }

    pub(crate) fn was_started(&self) -> bool {
        self.was_started.load(Ordering::SeqCst)
    }

    pub(crate) fn set_head(&self, head: Head) {
        self.content.lock().head = Some(head);
        self.notify_readers();
    }

    pub(crate) fn push(&self, chunk: Bytes) {
        let mut content = self.content.lock();
        content.digest.update(&chunk);
        content.bytes += chunk.len();
        content.chunks.push(chunk);
        drop(content);
        self.notify_readers();
    }

    /// Ends the response. Only the first end is stored; returns whether this is the first.
    pub(crate) fn end(&self, now: MonoTime, end: AttemptEnd) -> bool {
        let mut content = self.content.lock();
        let is_first = content.end.is_none();
        if is_first {
            content.end = Some((end, now));
        }
        drop(content);
        self.notify_readers();
        is_first
    }

    pub(crate) fn ended_at(&self) -> Option<MonoTime> {
        self.content.lock().end.as_ref().map(|(_, at)| *at)
    }

    pub(crate) fn chunk_count(&self) -> usize {
        self.content.lock().chunks.len()
    }

    pub(crate) fn kept_bytes(&self) -> usize {
        self.content.lock().bytes
    }

    /// How long the response has had no reader; zero while it has one.
    pub(crate) fn unread_duration(&self, now: MonoTime) -> Duration {
        let mut unread_since = self.unread_since.lock();
        if self.readers.load(Ordering::SeqCst) > 0 {
            *unread_since = None;
            return Duration::ZERO;
        }
        now.since(*unread_since.get_or_insert(now))
    }

    /// Whether a connection still sends the response.
    pub(crate) fn is_being_read(&self) -> bool {
        self.readers.load(Ordering::SeqCst) > 0
    }

    /// Sends the response to a connection, from `next_sequence` to its end.
    pub(crate) async fn forward(&self, to: &FrameSender, next_sequence: u64) {
        self.readers.fetch_add(1, Ordering::SeqCst);
        let _ = self.send_from(to, next_sequence).await;
        self.readers.fetch_sub(1, Ordering::SeqCst);
    }

    async fn send_from(&self, to: &FrameSender, next_sequence: u64) -> Result<(), WireError> {
        let mut changes = self.changes.subscribe();
        let mut sequence = next_sequence;
        let mut is_head_sent = false;
        loop {
            changes.borrow_and_update();
            let (head, chunks, end) = self.after(sequence);
            if let Some(head) = head
                && !is_head_sent
            {
                is_head_sent = true;
                to.send(Body::ResponseHead(self.head_message(&head))).await?;
            }
            for payload in chunks {
                let attempt = attempt_to_wire(self.id);
                to.send(Body::Chunk(Chunk { attempt, sequence, payload })).await?;
                sequence += 1;
            }
            if let Some(end) = end {
                return to.send(end).await;
            }
            tokio::select! {
                changed = changes.changed() => changed.map_err(|_| WireError::Closed)?,
                () = to.closed() => return Err(WireError::Closed),
            }
        }
    }

    /// A consistent snapshot of what a reader at `sequence` has not received yet.
    fn after(&self, sequence: u64) -> (Option<Head>, Vec<Bytes>, Option<Body>) {
        let content = self.content.lock();
        let from = usize::try_from(sequence).unwrap_or(usize::MAX).min(content.chunks.len());
        let end = content.end.as_ref().map(|(end, _)| self.end_message(end, &content));
        (content.head.clone(), content.chunks[from..].to_vec(), end)
    }

    fn head_message(&self, head: &Head) -> ResponseHead {
        ResponseHead {
            attempt: attempt_to_wire(self.id),
            http_status: u32::from(head.http_status),
            content_type: head.content_type.clone(),
        }
    }

    fn end_message(&self, end: &AttemptEnd, content: &Content) -> Body {
        let attempt = attempt_to_wire(self.id);
        match end {
            AttemptEnd::NotRun { reason, retry_after } => Body::Refusal(Refusal {
                attempt,
                reason: reason.code(),
                retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
                revision: 0,
            }),
            AttemptEnd::Started { kind, detail, bill } => Body::Final(Final {
                attempt,
                chunk_count: content.chunks.len() as u64,
                digest: content.digest.value(),
                kind: *kind as i32,
                detail: detail.clone(),
                bill: bill.as_ref().map(bill_to_wire),
            }),
        }
    }

    fn notify_readers(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }
}
