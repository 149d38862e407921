//! The client of all the platform's services.

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

/// The client of all the platform's services.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    http: reqwest::Client,
    base_url: String,
}

impl PlatformClient {
    /// A client of the platform at `base_url`. Each call ends when nothing has come for
    /// `call_timeout`: an answer is judged by its progress, as a long list takes longer over a slow
    /// link, and would take as long again at the next try.
    ///
    /// # Panics
    /// Panics when the HTTP library cannot start, which is a broken installation.
    pub fn new(base_url: &str, call_timeout: Duration) -> Self {
        let http = reqwest::Client::builder()
            .read_timeout(call_timeout)
            .connect_timeout(call_timeout)
            .no_proxy()
            .build()
            .expect("the HTTP client has no settings that can fail");
        Self { http, base_url: base_url.trim_end_matches('/').to_owned() }
    }

    /// Reads a record; none when it is not there.
    ///
    /// # Errors
    /// Fails when the platform does not answer.
    pub async fn read(&self, key: &str) -> Result<Option<Record>, StoreError> {
        let request = self.http.get(self.url("/v1/record")).query(&[("key", key)]);
        let response = request.send().await.map_err(StoreError::from)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(response).await.map(Some)
    }

    /// Reads records under a prefix, in the order of their keys, after a key.
    ///
    /// # Errors
    /// Fails when the platform does not answer.
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

    /// Writes a transaction.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when a condition does not hold, and
    /// [`StoreError::Unsettled`] when it may have been written.
    pub async fn commit(&self, transaction: &Transaction) -> Result<(), StoreError> {
        let response = self.post("/v1/transactions", transaction).await?;
        if response.status() == StatusCode::CONFLICT {
            let reply: ConflictReply = response.json().await?;
            return Err(StoreError::Conflict(reply.conflicts));
        }
        check(response).await.map(|_| ())
    }

    /// Reads the list of hosts.
    ///
    /// # Errors
    /// Fails when the platform does not answer.
    pub async fn hosts(&self) -> Result<HostList, StoreError> {
        self.get("/v1/hosts", &[]).await
    }

    /// Has an answer rated.
    ///
    /// # Errors
    /// Fails when the platform does not answer.
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
    let response = check(response).await?;
    Ok(response.json().await?)
}

async fn check(response: Response) -> Result<Response, StoreError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    // A server that fails may have done the work before it failed.
    if status.is_server_error() {
        return Err(StoreError::Unsettled(format!("status {status}")));
    }
    let detail = response.text().await.unwrap_or_default();
    Err(StoreError::Refused(format!("status {status}: {detail}")))
}
