//! A model together with its version.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ModelName;
use crate::NameError;
use crate::VersionName;

const SEPARATOR: char = '@';

/// Why a text is not a valid model version.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub enum ModelVersionError {
    /// '{0}' lacks the '@' between model and version, as in summary@v3
    NoSeparator(String),
    /// a part of the model version is not a name
    Name(#[from] NameError),
}

/// A version of a model, written `model@version`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ModelVersion {
    /// The model family.
    pub model: ModelName,
    /// The version within it.
    pub version: VersionName,
}

impl fmt::Display for ModelVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SEPARATOR}{}", self.model, self.version)
    }
}

impl FromStr for ModelVersion {
    type Err = ModelVersionError;

    fn from_str(text: &str) -> Result<Self, ModelVersionError> {
        let no_separator = || ModelVersionError::NoSeparator(text.to_owned());
        let (model, version) = text.split_once(SEPARATOR).ok_or_else(no_separator)?;
        Ok(Self { model: model.parse()?, version: version.parse()? })
    }
}

impl TryFrom<String> for ModelVersion {
    type Error = ModelVersionError;

    fn try_from(text: String) -> Result<Self, ModelVersionError> {
        text.parse()
    }
}

impl From<ModelVersion> for String {
    fn from(version: ModelVersion) -> Self {
        version.to_string()
    }
}
