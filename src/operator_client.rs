//! HTTP client for an operators' endpoint.

use clap::ArgMatches;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use stallhoist_coordination::BillLine;
use stallhoist_core::Revision;
use stallhoist_table::CellConflict;
use stallhoist_table::Edit;
use stallhoist_table::LogEntry;
use stallhoist_table::Table;

use crate::error::CliError;

/// The hosts on which a revision is active, and those where it isn't yet.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct EditProgress {
    pub(crate) in_force_hosts: usize,
    pub(crate) hosts: usize,
    pub(crate) missing: Vec<String>,
}

/// Response to an edit.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct EditReply {
    pub(crate) status: String,
    pub(crate) revision: u64,
}

/// A version that the guard holds, with the counts behind that decision.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Hold {
    pub(crate) version: String,
    pub(crate) cause: String,
    pub(crate) answers: u64,
    pub(crate) failures: u64,
    pub(crate) ratings: u64,
    pub(crate) poor_ratings: u64,
}

/// The versions that the guard holds, and the upstreams (host and version) that it reports as sick.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Holds {
    pub(crate) holds: Vec<Hold>,
    pub(crate) sick_upstreams: Vec<(String, String)>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Refusal {
    error: String,
    conflicts: Vec<CellConflict>,
}

#[derive(Debug, Deserialize)]
struct Bill {
    lines: Vec<BillLine>,
}

/// HTTP client for an operators' endpoint.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    http: reqwest::Client,
    base_url: String,
    key: String,
}

impl OperatorClient {
    /// Creates a client from the `addr` and `key` arguments.
    ///
    /// # Errors
    /// Fails if the HTTP client can't be built.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, CliError> {
        let text = |name| matches.get_one::<String>(name).cloned().unwrap_or_default();
        let http = reqwest::Client::builder().no_proxy().build()?;
        let given = text("addr");
        let base_url = if given.starts_with("http") { given } else { format!("http://{given}") };
        Ok(Self { http, base_url: base_url.trim_end_matches('/').to_owned(), key: text("key") })
    }

    pub(crate) async fn table(&self) -> Result<Table, CliError> {
        self.get("/v1/table").await
    }

    pub(crate) async fn history(&self, after: Revision) -> Result<Vec<LogEntry>, CliError> {
        self.get(&format!("/v1/table/history?after={after}")).await
    }

    pub(crate) async fn progress(&self, revision: u64) -> Result<EditProgress, CliError> {
        self.get(&format!("/v1/table/progress?revision={revision}")).await
    }

    pub(crate) async fn state(&self) -> Result<serde_json::Value, CliError> {
        self.get("/v1/state").await
    }

    pub(crate) async fn holds(&self) -> Result<Holds, CliError> {
        self.get("/v1/holds").await
    }

    pub(crate) async fn bill(&self, first: u64, last: u64) -> Result<Vec<BillLine>, CliError> {
        let path = format!("/v1/bill?first_hour={first}&last_hour={last}");
        let bill: Bill = self.get(&path).await?;
        Ok(bill.lines)
    }

    pub(crate) async fn edit(&self, edit: &Edit) -> Result<EditReply, CliError> {
        let request = self.http.patch(self.url("/v1/table")).json(edit);
        Ok(self.send(request).await?.json().await?)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let request = self.http.get(self.url(path));
        Ok(self.send(request).await?.json().await?)
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, CliError> {
        let response = request.bearer_auth(&self.key).send().await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let refusal: Refusal = response.json().await.unwrap_or_default();
        let mut detail = refusal.error;
        for conflict in refusal.conflicts {
            detail.push_str(&format!("\n  {conflict}"));
        }
        Err(CliError::Refused { status: status.as_u16(), detail })
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }
}
