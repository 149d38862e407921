//! State of a generation. It runs independently of its readers, of which there can be any number.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// Time without a reader after which a generation is cancelled.
pub(crate) const NO_READER_TIMEOUT: Duration = Duration::from_secs(3);

/// State of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GenerationState {
    /// Queued or running.
    Running,
    /// All tokens were generated.
    Finished,
    /// Cancelled by a call, or for lack of readers.
    Cancelled,
    /// Stopped early by a fault.
    Broken,
}

/// Record of an executed generation, for tests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineExecution {
    /// Request ID that the sidecar sent.
    pub request_id: String,
    /// Requested model version.
    pub model: String,
    /// Current or final state.
    pub state: GenerationState,
    /// Tokens generated so far.
    pub tokens: usize,
}

/// Progress of a generation, on which readers wait.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    pub(crate) tokens: usize,
    pub(crate) state: GenerationState,
}

/// A generation and its progress.
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
