//! One generation: it runs on its own, and any number of readers follow it.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// After how long without a reader a generation is cancelled.
pub(crate) const UNREAD_GRACE: Duration = Duration::from_secs(3);

/// How far a generation is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GenerationState {
    /// It waits or runs.
    Running,
    /// All tokens are there.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// It broke off.
    Broken,
}

/// What the engine executed, for checks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineExecution {
    /// The request's identity, as the sidecar gave it.
    pub request_id: String,
    /// The model version that was asked for.
    pub model: String,
    /// How it ended or where it is.
    pub state: GenerationState,
    /// Tokens made.
    pub tokens: usize,
}

/// Progress that readers wait for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    pub(crate) tokens: usize,
    pub(crate) state: GenerationState,
}

/// One generation.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) prompt_tokens: u64,
    pub(crate) words: Vec<String>,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) readers: AtomicUsize,
}

impl Generation {
    pub(crate) fn new(
        request_id: String,
        model: String,
        prompt_tokens: u64,
        words: Vec<String>,
    ) -> Self {
        let start = Progress { tokens: 0, state: GenerationState::Running };
        Self {
            request_id,
            model,
            prompt_tokens,
            words,
            progress: watch::Sender::new(start),
            readers: AtomicUsize::new(0),
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.progress.borrow().state == GenerationState::Running
    }

    pub(crate) fn end(&self, state: GenerationState) {
        self.progress.send_if_modified(|progress| {
            let was_running = progress.state == GenerationState::Running;
            if was_running {
                progress.state = state;
            }
            was_running
        });
    }

    pub(crate) fn execution(&self) -> EngineExecution {
        let progress = *self.progress.borrow();
        EngineExecution {
            request_id: self.request_id.clone(),
            model: self.model.clone(),
            state: progress.state,
            tokens: progress.tokens,
        }
    }

    pub(crate) fn has_readers(&self) -> bool {
        self.readers.load(Ordering::SeqCst) > 0
    }
}
