//! Errors of the command-line tool.

use displaydoc::Display;
use stallhoist_entry::EntryError;
use stallhoist_http::ServerError;
use stallhoist_settings::SettingsError;
use stallhoist_sidecar::SidecarError;
use stallhoist_table::CellError;
use stallhoist_table::SheetError;

/// An error that ends a command; its text goes to standard error.
#[derive(Debug, Display, thiserror::Error)]
pub(crate) enum CliError {
    /// the log says nothing of a request '{0}'
    NotInLog(String),
    /// {0}
    Settings(#[from] SettingsError),
    /// cannot reach the operators' endpoint: {0}
    Unreachable(#[from] reqwest::Error),
    /// the operators' endpoint answered with status {status}: {detail}
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Error text of the response, with one line for each conflicting cell.
        detail: String,
    },
    /// {0}
    Cell(#[from] CellError),
    /// {0}
    Sheet(#[from] SheetError),
    /// '{0}' is not WORKSPACE/TARGET/COLUMN=VALUE
    Assignment(String),
    /// the table has no row of '{0}'
    UnknownVersion(String),
    /// '{0}' is not an edit's identity
    EditId(String),
    /// {file}: {cause}
    File {
        /// Path of the file.
        file: String,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// a stand-in or an endpoint did not start: {0}
    Server(#[from] ServerError),
    /// the entry did not start: {0}
    Entry(#[from] EntryError),
    /// a sidecar did not start: {0}
    Sidecar(#[from] SidecarError),
    /// the local system was not ready in time
    NotReady,
    /// signals cannot be listened for: {0}
    Signal(std::io::Error),
}
