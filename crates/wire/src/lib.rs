//! Messages between entries and sidecars, their framing and the handshake.
//!
//! All encoding and decoding of messages is in this crate. Frames are length-delimited (`tokio-util`), bodies are
//! protocol buffers (`prost`, generated code committed). No message besides the handshake is accepted from a peer
//! before both sides have proved that they hold the fleet key; until then frames are limited to a small size. The
//! connection is authenticated, not encrypted.
//!
//! Read `codec` first, then `handshake` and `connection`; `convert` and `table_messages` convert message types.

mod codec;
mod connection;
mod convert;
mod error;
mod fleet_key;
mod handshake;
mod identity;
mod table_messages;

/// The generated message types. Regenerate them with `cargo run -p stallhoist-wire-codegen`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod messages {
    include!("generated/messages.rs");
}

pub use codec::FrameCodec;
pub use connection::FrameReader;
pub use connection::FrameSender;
pub use connection::start_writer;
pub use convert::attempt_from_wire;
pub use convert::attempt_to_wire;
pub use convert::bill_from_wire;
pub use convert::bill_to_wire;
pub use convert::request_from_wire;
pub use error::HandshakeError;
pub use error::WireError;
pub use fleet_key::FleetKey;
pub use handshake::Side;
pub use handshake::handshake;
pub use identity::Identity;
pub use table_messages::entry_from_wire;
pub use table_messages::entry_to_wire;
pub use table_messages::table_from_wire;
pub use table_messages::table_pull;
pub use table_messages::table_to_wire;
