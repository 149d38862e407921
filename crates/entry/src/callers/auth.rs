//! Authentication of callers: the bearer key identifies the workspace.

use std::sync::Arc;

use rocket::Request;
use rocket::http::Status;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use stallhoist_core::KeyDigest;
use stallhoist_core::WorkspaceName;
use stallhoist_http::bearer_key;

use crate::shared::Shared;

/// A caller whose bearer key is in the table.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) workspace: WorkspaceName,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Caller {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let Some(shared) = request.rocket().state::<Arc<Shared>>() else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        let Some(table) = shared.table.current() else {
            // Without a table no key can be checked, so the key must not be reported as wrong.
            return Outcome::Error((Status::ServiceUnavailable, ()));
        };
        let digest = bearer_key(request).map(KeyDigest::of);
        let workspace =
            digest.and_then(|d| table.workspace_of_key(&d).map(|w| w.workspace.clone()));
        match workspace {
            Some(workspace) => Outcome::Success(Self { workspace }),
            None => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}
