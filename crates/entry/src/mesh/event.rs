//! Events of an attempt, from its connection to its request.

use stallhoist_wire::messages::AttemptFate;
use stallhoist_wire::messages::Chunk;
use stallhoist_wire::messages::Final;
use stallhoist_wire::messages::Refusal;
use stallhoist_wire::messages::ResponseHead;

/// An event of an attempt: a message of its sidecar, or the loss of the connection.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    Head(ResponseHead),
    Chunk(Chunk),
    Final(Box<Final>),
    Refusal(Refusal),
    Attestation(AttemptFate),
    /// The connection broke; the state of the attempt is unknown.
    LinkLost,
}
