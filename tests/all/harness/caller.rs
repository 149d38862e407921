//! An HTTP client that sends requests to one entry and collects the complete response.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use reqwest::Method;
use reqwest::RequestBuilder;
use serde_json::Value;
use serde_json::json;

use super::settings::WORKSPACE_KEY;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The status, headers and body that a caller received.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) session: Option<String>,
    pub(crate) target: String,
    pub(crate) request: String,
    pub(crate) retry_after: Option<String>,
    pub(crate) body: String,
}

impl Answer {
    /// The text of a non-streaming chat response.
    pub(crate) fn text(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
    }

    /// The error code: the title of a problem document.
    pub(crate) fn code(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["title"].as_str().unwrap_or_default().to_owned()
    }

    /// The data fields of the server-sent events in the body.
    pub(crate) fn events(&self) -> Vec<String> {
        let data = self.body.lines().filter_map(|line| line.strip_prefix("data:"));
        data.map(|data| data.trim_start().to_owned()).collect()
    }

    /// The text of a streamed chat response.
    pub(crate) fn streamed_text(&self) -> String {
        let events = self.events();
        let chunks = events.iter().filter_map(|event| {
            let event: Value = serde_json::from_str(event).ok()?;
            Some(event["choices"][0]["delta"]["content"].as_str()?.to_owned())
        });
        chunks.collect()
    }
}

/// An HTTP client for one entry, which authenticates with a workspace key.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    http: reqwest::Client,
    base_url: String,
    key: String,
}

impl Caller {
    pub(crate) fn new(entry: SocketAddr) -> Self {
        let http = reqwest::Client::builder().no_proxy().timeout(REQUEST_TIMEOUT).build();
        Self {
            http: http.expect("the HTTP client can be built"),
            base_url: format!("http://{entry}"),
            key: WORKSPACE_KEY.to_owned(),
        }
    }

    pub(crate) fn with_key(mut self, key: &str) -> Self {
        key.clone_into(&mut self.key);
        self
    }

    /// An authenticated request, to which the test may add headers and a body.
    pub(crate) fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http.request(method, format!("{}{path}", self.base_url)).bearer_auth(&self.key)
    }

    /// A chat request for at most `tokens` completion tokens.
    pub(crate) fn chat(
        &self,
        model: &str,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> RequestBuilder {
        self.request(Method::POST, "/v1/chat/completions").json(&json!({
            "model": model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": tokens,
            "stream": stream,
        }))
    }

    /// A call to a non-engine service, with an idempotency key unless `key` is empty.
    pub(crate) fn call(&self, service: &str, path: &str, key: &str, body: &str) -> RequestBuilder {
        let path = format!("/v1/services/{service}/{path}");
        let call = self.request(Method::POST, &path).body(body.to_owned());
        if key.is_empty() { call } else { call.header("Idempotency-Key", key) }
    }
}

/// Sends a request and reads the body to its end, or up to the point where the connection broke.
/// None when no response headers arrived.
pub(crate) async fn send(request: RequestBuilder) -> Option<Answer> {
    let response = request.send().await.ok()?;
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    let mut answer = Answer {
        status: response.status().as_u16(),
        outcome: header("Stallhoist-Outcome").unwrap_or_default(),
        session: header("Stallhoist-Session"),
        target: header("Stallhoist-Target").unwrap_or_default(),
        request: header("Stallhoist-Request-Id").unwrap_or_default(),
        retry_after: header("Retry-After"),
        body: String::new(),
    };
    let mut chunks = response.bytes_stream();
    while let Some(Ok(part)) = chunks.next().await {
        answer.body.push_str(&String::from_utf8_lossy(&part));
    }
    Some(answer)
}
