//! What may be the cause when an upstream crashes.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use sha2::Digest;
use sha2::Sha256;

use crate::RequestFingerprint;
use crate::ServiceName;

/// Prefix of the text form of a part, which no fingerprint of a request has.
const PART_PREFIX: &str = "part-";

/// a crash subject is a request's fingerprint, or 'part-' and two hexadecimal numbers
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub struct CrashSubjectError;

/// A part of prompts, at one service: another service may well bear what crashes the upstreams of this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartFingerprint {
    /// The first 8 bytes of the SHA-256 of the service's name.
    pub service: u64,
    /// The id of the part, as callers give it.
    pub part: u64,
}

impl PartFingerprint {
    /// The parts with these ids, at a service.
    pub fn of_all<'a>(
        service: &ServiceName,
        parts: impl IntoIterator<Item = u64> + 'a,
    ) -> impl Iterator<Item = Self> + 'a {
        let digest = Sha256::digest(service.as_str());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest[..8]);
        let service = u64::from_be_bytes(bytes);
        parts.into_iter().map(move |part| Self { service, part })
    }
}

/// What may be the cause when an upstream crashes: a request that it ran, or a part of that request's prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CrashSubject {
    /// A whole request, whatever else it has in common with others.
    Request(RequestFingerprint),
    /// All requests whose prompt has this part.
    Part(PartFingerprint),
}

impl CrashSubject {
    /// Whether this is a part of prompts.
    pub fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }
}

impl From<RequestFingerprint> for CrashSubject {
    fn from(request: RequestFingerprint) -> Self {
        Self::Request(request)
    }
}

impl From<PartFingerprint> for CrashSubject {
    fn from(part: PartFingerprint) -> Self {
        Self::Part(part)
    }
}

impl fmt::Display for CrashSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => request.fmt(f),
            Self::Part(PartFingerprint { service, part }) => {
                write!(f, "{PART_PREFIX}{part:x}-{service:x}")
            }
        }
    }
}

impl FromStr for CrashSubject {
    type Err = CrashSubjectError;

    fn from_str(text: &str) -> Result<Self, CrashSubjectError> {
        let Some(part) = text.strip_prefix(PART_PREFIX) else {
            return text.parse().map(Self::Request).map_err(|_| CrashSubjectError);
        };
        let (part, service) = part.split_once('-').ok_or(CrashSubjectError)?;
        let number = |text| u64::from_str_radix(text, 16).map_err(|_| CrashSubjectError);
        Ok(Self::Part(PartFingerprint { service: number(service)?, part: number(part)? }))
    }
}
