//! Targets of requests.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ModelVersion;
use crate::ModelVersionError;
use crate::NameError;
use crate::ServiceName;

const SERVICE_PREFIX: &str = "service:";

/// Why a text is not a valid target.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub enum TargetError {
    /// the name after 'service:' is not a name
    Service(#[from] NameError),
    /// neither 'service:NAME' nor a model version
    Version(#[from] ModelVersionError),
}

/// The target of a request: a model version or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Target {
    /// A version of a model, served by inference engines; written `model@version`.
    Version(ModelVersion),
    /// A plain service; written `service:name`.
    Service(ServiceName),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => version.fmt(f),
            Self::Service(service) => write!(f, "{SERVICE_PREFIX}{service}"),
        }
    }
}

impl FromStr for Target {
    type Err = TargetError;

    fn from_str(text: &str) -> Result<Self, TargetError> {
        match text.strip_prefix(SERVICE_PREFIX) {
            Some(service) => Ok(Self::Service(service.parse()?)),
            None => Ok(Self::Version(text.parse()?)),
        }
    }
}

impl TryFrom<String> for Target {
    type Error = TargetError;

    fn try_from(text: String) -> Result<Self, TargetError> {
        text.parse()
    }
}

impl From<Target> for String {
    fn from(target: Target) -> Self {
        target.to_string()
    }
}
