//! Names chosen by people, validated when they enter the system.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

/// Why a name is invalid.
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
            /// Returns the name as a string slice.
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
    /// A host, by its name in the platform's host list.
    HostId
);
name_type!(
    /// An availability zone.
    ZoneName
);
name_type!(
    /// A region: a group of nearby availability zones, and the unit in which data residency is
    /// configured.
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
    /// A plain service, which is not a model engine.
    ServiceName
);
name_type!(
    /// The kind of task that a caller declares for a request.
    TaskName
);
name_type!(
    /// A key that the caller chooses for a request, by which a repeated request is recognised.
    IdempotencyKey
);
name_type!(
    /// One instance of an upstream: a restart at the same address has another id.
    InstanceId
);
name_type!(
    /// A route of the routing configuration.
    RouteName
);
