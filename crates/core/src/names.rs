//! Names that people choose, checked once when they enter the system.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

/// Why a name was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub enum NameError {
    /// a name must not be empty
    Empty,
    /// a name has at most {0} characters
    TooLong(usize),
    /// '{0}' is not allowed in a name: use letters, digits and - _ . : /
    BadCharacter(char),
}

const MAX_NAME_LEN: usize = 128;

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_LEN {
        return Err(NameError::TooLong(MAX_NAME_LEN));
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    match text.chars().find(|c| !is_allowed(*c)) {
        Some(c) => Err(NameError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type!(
    /// A host, as the platform's host list names it.
    HostId
);
name_type!(
    /// An availability zone.
    ZoneName
);
name_type!(
    /// A region: availability zones that are near each other, and where data may be kept.
    RegionName
);
name_type!(
    /// A workspace: the unit of permission, limits and billing.
    WorkspaceName
);
name_type!(
    /// A model family, without its version.
    ModelName
);
name_type!(
    /// A version of a model.
    VersionName
);
name_type!(
    /// A plain service that stands beside the model engines.
    ServiceName
);
name_type!(
    /// The kind of work a caller says a request is.
    TaskName
);
name_type!(
    /// The caller's own name for a request, by which a repeated one is recognised.
    IdempotencyKey
);
name_type!(
    /// One start of an upstream: a restart at the same address has another.
    InstanceId
);
name_type!(
    /// A route of the routing configuration.
    RouteName
);
