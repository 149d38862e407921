//! Leases with fencing tokens.
//!
//! A lease is a record `leases/<name>` with its holder, a fencing token and the time
//! it lasts. Clocks of hosts are not compared: who finds a lease held by another
//! watches it for its whole length on its own clock, and takes it over only if it was
//! not renewed meanwhile. The token grows with each holder, so that orders of one that
//! was paused past its lease are refused by whoever has seen a higher token.

use std::time::Duration;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::FencingToken;
use stallhoist_core::IncarnationId;
use stallhoist_core::MonoTime;
use stallhoist_platform::Condition;
use stallhoist_platform::Expectation;
use stallhoist_platform::PlatformClient;
use stallhoist_platform::Put;
use stallhoist_platform::RecordVersion;
use stallhoist_platform::StoreError;
use stallhoist_platform::Transaction;

const PREFIX: &str = "leases/";

/// Why a lease is not held.
#[derive(Debug, Display, thiserror::Error)]
pub enum LeaseError {
    /// another process holds the lease
    HeldByAnother,
    /// the store does not answer
    Store(#[from] StoreError),
    /// the lease's record is not one
    Malformed,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseValue {
    holder: IncarnationId,
    token: FencingToken,
    lasts_ms: u64,
}

/// A lease as its holder knows it.
#[derive(Debug, Clone)]
pub struct Lease {
    /// What is leased.
    pub name: String,
    /// The token that goes with each order.
    pub token: FencingToken,
    /// Until when the holder may act, by its own clock.
    pub until: MonoTime,
}

impl Lease {
    /// Whether the holder may still act. A holder that was paused finds out here, and
    /// whoever receives its orders finds out by the token.
    pub fn is_valid(&self, now: MonoTime) -> bool {
        now < self.until
    }
}

/// A lease of another, being watched.
#[derive(Debug, Clone)]
struct Watched {
    version: RecordVersion,
    since: MonoTime,
}

/// Takes and renews one process's part in one lease.
#[derive(Debug)]
pub struct LeaseClient {
    platform: PlatformClient,
    me: IncarnationId,
    name: String,
    lasts: Duration,
    watched: Option<Watched>,
}

impl LeaseClient {
    /// A part in the lease `name`, which lasts `lasts` after each renewal.
    pub fn new(platform: PlatformClient, me: IncarnationId, name: &str, lasts: Duration) -> Self {
        Self { platform, me, name: name.to_owned(), lasts, watched: None }
    }

    /// Takes the lease, renews it, or watches its holder. `now` must be read before the
    /// call, so that the time it takes counts against the lease.
    ///
    /// # Errors
    /// Fails while another holds it and when the store does not answer. After an
    /// unsettled write the lease counts as not held; the next call finds out.
    pub async fn acquire(&mut self, now: MonoTime) -> Result<Lease, LeaseError> {
        let key = format!("{PREFIX}{}", self.name);
        let record = self.platform.read(&key).await?;
        let (expect, token) = match &record {
            None => (Expectation::Absent, FencingToken(1)),
            Some(record) => {
                let value: LeaseValue = serde_json::from_value(record.value.clone())
                    .map_err(|_| LeaseError::Malformed)?;
                let is_mine = value.holder == self.me;
                if !is_mine && !self.has_lapsed(now, record.version, value.lasts_ms) {
                    return Err(LeaseError::HeldByAnother);
                }
                let token = if is_mine { value.token } else { value.token.next() };
                (Expectation::Version(record.version), token)
            }
        };
        self.write(key, expect, token).await?;
        self.watched = None;
        let until = now.after(self.lasts);
        Ok(Lease { name: self.name.clone(), token, until })
    }

    fn has_lapsed(&mut self, now: MonoTime, version: RecordVersion, lasts_ms: u64) -> bool {
        match &self.watched {
            Some(watched) if watched.version == version => {
                now.since(watched.since) > Duration::from_millis(lasts_ms)
            }
            _ => {
                self.watched = Some(Watched { version, since: now });
                false
            }
        }
    }

    async fn write(
        &self,
        key: String,
        expect: Expectation,
        token: FencingToken,
    ) -> Result<(), LeaseError> {
        let lasts_ms = u64::try_from(self.lasts.as_millis()).unwrap_or(u64::MAX);
        let value = LeaseValue { holder: self.me, token, lasts_ms };
        let value = serde_json::to_value(value).expect("a lease is plain data");
        let transaction = Transaction {
            conditions: vec![Condition { key: key.clone(), expect }],
            puts: vec![Put { key, value }],
            deletes: Vec::new(),
        };
        match self.platform.commit(&transaction).await {
            Ok(()) => Ok(()),
            Err(StoreError::Conflict(_)) => Err(LeaseError::HeldByAnother),
            Err(error) => Err(error.into()),
        }
    }
}
