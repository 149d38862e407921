//! Stateless sessions: a signed token holds the version that a session is pinned to.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use displaydoc::Display;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;
use stallhoist_core::HostId;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;
use stallhoist_settings::Secret;

const SEPARATOR: char = '.';
const KEY_ID_LEN: usize = 8;

/// Why a session token was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub enum SessionTokenError {
    /// the session token is malformed
    Malformed,
    /// the session token is signed with a key that is not in use
    UnknownKey,
    /// the session token's signature is wrong
    WrongSignature,
    /// the session belongs to another workspace
    OtherWorkspace,
}

/// The contents of a session token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionToken {
    /// The workspace that the session belongs to.
    pub workspace: WorkspaceName,
    /// The version or service that the session is pinned to.
    pub target: Target,
    /// The upstream host that served the last response.
    pub host: HostId,
}

/// The keys for signing and verifying session tokens.
#[derive(Clone)]
pub struct SessionKeys {
    keys: Vec<(String, Hmac<Sha256>)>,
}

impl SessionKeys {
    /// Creates the keys from their secrets. The first key signs, and all keys are accepted.
    ///
    /// # Panics
    /// Panics if there are no secrets, which the validation of the settings rules out.
    pub fn new(secrets: &[Secret]) -> Self {
        assert!(!secrets.is_empty(), "the settings contain at least one session key");
        let key = |secret: &Secret| {
            let bytes = secret.reveal().as_bytes();
            let mac =
                Hmac::<Sha256>::new_from_slice(bytes).expect("HMAC accepts keys of any length");
            (key_id(&mac), mac)
        };
        Self { keys: secrets.iter().map(key).collect() }
    }

    /// Signs a token.
    pub fn sign(&self, token: &SessionToken) -> String {
        let payload = serde_json::to_vec(token).expect("a session token can be serialized");
        let payload = URL_SAFE_NO_PAD.encode(payload);
        let (id, mac) = &self.keys[0];
        let signature = URL_SAFE_NO_PAD.encode(signature(mac, &payload));
        format!("{id}{SEPARATOR}{payload}{SEPARATOR}{signature}")
    }

    /// Verifies and decodes a token.
    ///
    /// # Errors
    /// Fails unless the token was signed with one of the keys and for this workspace.
    pub fn check(
        &self,
        text: &str,
        workspace: &WorkspaceName,
    ) -> Result<SessionToken, SessionTokenError> {
        let parts: Vec<_> = text.split(SEPARATOR).collect();
        let [id, payload, signature] = parts[..] else {
            return Err(SessionTokenError::Malformed);
        };
        let key = self.keys.iter().find(|(known, _)| known == id);
        let (_, mac) = key.ok_or(SessionTokenError::UnknownKey)?;
        let signature =
            URL_SAFE_NO_PAD.decode(signature).map_err(|_| SessionTokenError::Malformed)?;
        let mut mac = mac.clone();
        mac.update(payload.as_bytes());
        mac.verify_slice(&signature).map_err(|_| SessionTokenError::WrongSignature)?;
        let payload = URL_SAFE_NO_PAD.decode(payload).map_err(|_| SessionTokenError::Malformed)?;
        let token: SessionToken =
            serde_json::from_slice(&payload).map_err(|_| SessionTokenError::Malformed)?;
        if &token.workspace != workspace {
            return Err(SessionTokenError::OtherWorkspace);
        }
        Ok(token)
    }
}

impl fmt::Debug for SessionKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ids: Vec<_> = self.keys.iter().map(|(id, _)| id).collect();
        f.debug_struct("SessionKeys").field("ids", &ids).finish()
    }
}

fn signature(mac: &Hmac<Sha256>, payload: &str) -> Vec<u8> {
    let mut mac = mac.clone();
    mac.update(payload.as_bytes());
    mac.finalize().into_bytes().to_vec()
}

/// An id of a key that does not reveal the key.
fn key_id(mac: &Hmac<Sha256>) -> String {
    let mut id = URL_SAFE_NO_PAD.encode(signature(mac, "key id"));
    id.truncate(KEY_ID_LEN);
    id
}
