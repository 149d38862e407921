//! The request headers of callers, and the names of request and response headers.

use std::str::FromStr;

use rocket::Request;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use stallhoist_core::IdempotencyKey;
use stallhoist_core::TaskName;

use super::problem::Problem;

pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
pub(crate) const REPEATABLE: &str = "Stallhoist-Repeatable";
pub(crate) const SESSION: &str = "Stallhoist-Session";
pub(crate) const DEADLINE_MS: &str = "Stallhoist-Deadline-Ms";
pub(crate) const TASK: &str = "Stallhoist-Task";
pub(crate) const OUTCOME: &str = "Stallhoist-Outcome";
pub(crate) const REQUEST_ID: &str = "Stallhoist-Request-Id";
pub(crate) const TARGET: &str = "Stallhoist-Target";

/// The headers as received.
#[derive(Debug, Clone, Default)]
pub(crate) struct RawHeaders {
    idempotency_key: Option<String>,
    repeatable: Option<String>,
    session: Option<String>,
    deadline_ms: Option<String>,
    task: Option<String>,
    pub(crate) content_type: String,
}

/// The validated headers.
#[derive(Debug, Clone)]
pub(crate) struct CallHeaders {
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    /// Whether the request may run more than once; `None` if the caller did not specify it.
    pub(crate) repeatable: Option<bool>,
    pub(crate) session: Option<String>,
    pub(crate) deadline_ms: Option<u64>,
    /// The task, for the log and for the choice of the model.
    pub(crate) task: Option<TaskName>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RawHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let header = |name| request.headers().get_one(name).map(str::to_owned);
        Outcome::Success(Self {
            idempotency_key: header(IDEMPOTENCY_KEY),
            repeatable: header(REPEATABLE),
            session: header(SESSION),
            deadline_ms: header(DEADLINE_MS),
            task: header(TASK),
            content_type: header("Content-Type").unwrap_or_default(),
        })
    }
}

impl RawHeaders {
    /// Validates the headers.
    ///
    /// # Errors
    /// Fails if the value of a header is invalid.
    pub(crate) fn check(&self) -> Result<CallHeaders, Problem> {
        Ok(CallHeaders {
            idempotency_key: parse(IDEMPOTENCY_KEY, self.idempotency_key.as_deref())?,
            repeatable: match self.repeatable.as_deref() {
                None => None,
                Some("yes") => Some(true),
                Some("no") => Some(false),
                Some(_) => return Err(Problem::bad_header(REPEATABLE, "must be yes or no")),
            },
            session: self.session.clone(),
            deadline_ms: parse(DEADLINE_MS, self.deadline_ms.as_deref())?,
            task: parse(TASK, self.task.as_deref())?,
        })
    }
}

fn parse<T: FromStr>(name: &str, text: Option<&str>) -> Result<Option<T>, Problem>
where
    T::Err: ToString,
{
    text.map(str::parse)
        .transpose()
        .map_err(|error: T::Err| Problem::bad_header(name, &error.to_string()))
}
