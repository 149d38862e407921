//! HTTP client of the platform's services.

use std::time::Duration;

use reqwest::Response;
use reqwest::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ConflictReply;
use crate::HostList;
use crate::Rating;
use crate::RatingRequest;
use crate::Record;
use crate::RecordPage;
use crate::StoreError;
use crate::Transaction;

/// HTTP client of the platform's services.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    http: reqwest::Client,
    base_url: String,
}

impl PlatformClient {
    /// Creates a client of the platform at `base_url`. A call times out if no data arrives for `call_timeout`. The
    /// timeout doesn't cover the complete reply, as a long list takes longer over a slow link and would take as long
    /// again when retried.
    ///
    /// # Panics
    /// Panics if the HTTP library can't be initialized, as with a broken installation.
    pub fn new(base_url: &str, call_timeout: Duration) -> Self {
        let http = reqwest::Client::builder()
            .read_timeout(call_timeout)
            .connect_timeout(call_timeout)
            .no_proxy()
            .build()
            .expect("HTTP client settings are valid");
        Self { http, base_url: base_url.trim_end_matches('/').to_owned() }
    }

    /// Reads a record; `None` if it doesn't exist.
    ///
    /// # Errors
    /// Fails if the platform isn't reached, doesn't reply or rejects the call.
    pub async fn read(&self, key: &str) -> Result<Option<Record>, StoreError> {
        let request = self.http.get(self.url("/v1/record")).query(&[("key", key)]);
        let response = request.send().await.map_err(StoreError::from)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(response).await.map(Some)
    }

    /// Reads up to `limit` records whose keys begin with `prefix` and follow `after`, in the order of their keys.
    ///
    /// # Errors
    /// Fails if the platform isn't reached, doesn't reply or rejects the call.
    pub async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<RecordPage, StoreError> {
        let limit = limit.to_string();
        let query = [("prefix", prefix), ("after", after), ("limit", &limit)];
        self.get("/v1/records", &query).await
    }

    /// Commits a transaction.
    ///
    /// # Errors
    /// Fails with [`StoreError::Conflict`] if a condition doesn't hold, with [`StoreError::Unsettled`] if the
    /// transaction may have been written, and otherwise if the platform isn't reached or rejects the call.
    pub async fn commit(&self, transaction: &Transaction) -> Result<(), StoreError> {
        let response = self.post("/v1/transactions", transaction).await?;
        if response.status() == StatusCode::CONFLICT {
            let reply: ConflictReply = response.json().await?;
            return Err(StoreError::Conflict(reply.conflicts));
        }
        check_status(response).await.map(|_| ())
    }

    /// Reads the list of hosts.
    ///
    /// # Errors
    /// Fails if the platform isn't reached, doesn't reply or rejects the call.
    pub async fn hosts(&self) -> Result<HostList, StoreError> {
        self.get("/v1/hosts", &[]).await
    }

    /// Requests the rating of a response.
    ///
    /// # Errors
    /// Fails if the platform isn't reached, doesn't reply or rejects the call.
    pub async fn rate(&self, request: &RatingRequest) -> Result<Rating, StoreError> {
        let response = self.post("/v1/ratings", request).await?;
        decode(response).await
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<T, StoreError> {
        let request = self.http.get(self.url(path)).query(query);
        let response = request.send().await.map_err(StoreError::from)?;
        decode(response).await
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<Response, StoreError> {
        let request = self.http.post(self.url(path)).json(body);
        request.send().await.map_err(StoreError::from)
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }
}

impl From<reqwest::Error> for StoreError {
    fn from(error: reqwest::Error) -> Self {
        if error.is_connect() {
            return Self::NotReached(error);
        }
        Self::Unsettled(error.to_string())
    }
}

async fn decode<T: DeserializeOwned>(response: Response) -> Result<T, StoreError> {
    let response = check_status(response).await?;
    Ok(response.json().await?)
}

async fn check_status(response: Response) -> Result<Response, StoreError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    // The server may have executed the call before it failed.
    if status.is_server_error() {
        return Err(StoreError::Unsettled(format!("status {status}")));
    }
    let detail = response.text().await.unwrap_or_default();
    Err(StoreError::Refused(format!("status {status}: {detail}")))
}
