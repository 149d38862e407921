//! Authentication of operators by a bearer key.

use rocket::Request;
use rocket::http::Status;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

const BEARER: &str = "Bearer ";

/// SHA-256 digest of the operators' key. A server holds it as managed state.
#[derive(Debug)]
pub struct OperatorsKeyDigest([u8; 32]);

impl OperatorsKeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    fn matches(&self, key: &str) -> bool {
        let given: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        self.0.ct_eq(&given).into()
    }
}

/// Request guard: its presence proves that the request carries the operators' key.
#[derive(Debug, Clone, Copy)]
pub struct OperatorsKey(());

/// Returns the bearer key of a request, if it carries one.
pub fn bearer_key<'r>(request: &'r Request<'_>) -> Option<&'r str> {
    request.headers().get_one("Authorization")?.strip_prefix(BEARER)
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for OperatorsKey {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let expected = request.rocket().state::<OperatorsKeyDigest>();
        let is_valid =
            bearer_key(request).zip(expected).is_some_and(|(key, expected)| expected.matches(key));
        if is_valid {
            Outcome::Success(Self(()))
        } else {
            Outcome::Error((Status::Unauthorized, ()))
        }
    }
}
