//! What a request hears of its attempt.

use stallhoist_wire::messages::AttemptFate;
use stallhoist_wire::messages::Chunk;
use stallhoist_wire::messages::Final;
use stallhoist_wire::messages::Refusal;
use stallhoist_wire::messages::ResponseHead;

/// What a request hears of its attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    Head(ResponseHead),
    Chunk(Chunk),
    Final(Box<Final>),
    Refusal(Refusal),
    Attestation(AttemptFate),
    /// The connection broke; what became of the attempt is not known.
    LinkLost,
}
