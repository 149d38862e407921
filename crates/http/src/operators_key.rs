//! The key that operators' endpoints ask for.

use rocket::Request;
use rocket::http::Status;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

const BEARER: &str = "Bearer ";

/// The digest of the operators' key. A server manages one.
#[derive(Debug)]
pub struct OperatorsKeyDigest([u8; 32]);

impl OperatorsKeyDigest {
    /// The digest of `key`.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    fn fits(&self, key: &str) -> bool {
        let given: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        self.0.ct_eq(&given).into()
    }
}

/// Proof that a request carries the operators' key.
#[derive(Debug, Clone, Copy)]
pub struct OperatorsKey(());

/// The bearer key of a request, if it carries one.
pub fn bearer_key<'r>(request: &'r Request<'_>) -> Option<&'r str> {
    request.headers().get_one("Authorization")?.strip_prefix(BEARER)
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for OperatorsKey {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let expected = request.rocket().state::<OperatorsKeyDigest>();
        let is_right =
            bearer_key(request).zip(expected).is_some_and(|(key, expected)| expected.fits(key));
        if is_right {
            Outcome::Success(Self(()))
        } else {
            Outcome::Error((Status::Unauthorized, ()))
        }
    }
}
