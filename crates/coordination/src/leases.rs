//! Leases with fencing tokens.
//!
//! A lease is a record `leases/<name>` with its holder, a fencing token and its duration.
//! Clocks of hosts are not compared. A process that finds the lease held by another observes
//! it for its whole duration on its own clock, and takes it over only if it was not renewed
//! meanwhile. The token increases with each holder, so that commands of a process that was
//! paused past the end of its lease are rejected by receivers that know a higher token.

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

const KEY_PREFIX: &str = "leases/";

/// Why a lease is not held.
#[derive(Debug, Display, thiserror::Error)]
pub enum LeaseError {
    /// another process holds the lease
    HeldByAnother,
    /// the store does not respond
    Store(#[from] StoreError),
    /// the record is not a valid lease
    Malformed,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseValue {
    holder: IncarnationId,
    token: FencingToken,
    lasts_ms: u64,
}

/// A lease at its holder.
#[derive(Debug, Clone)]
pub struct Lease {
    /// The name of the lease.
    pub name: String,
    /// The fencing token, to be sent with each command.
    pub token: FencingToken,
    /// The end of the lease, by the holder's clock.
    pub until: MonoTime,
}

impl Lease {
    /// Whether the holder may still act. A paused holder detects the end of its lease here;
    /// receivers of its commands detect it by the token.
    pub fn is_valid(&self, now: MonoTime) -> bool {
        now < self.until
    }
}

/// A lease of another process, under observation.
#[derive(Debug, Clone)]
struct ObservedLease {
    version: RecordVersion,
    since: MonoTime,
}

/// Acquires and renews one lease for one process.
#[derive(Debug)]
pub struct LeaseClient {
    platform: PlatformClient,
    me: IncarnationId,
    name: String,
    duration: Duration,
    observed: Option<ObservedLease>,
}

impl LeaseClient {
    /// Creates a client of the lease `name`, which is valid for `duration` after each renewal.
    pub fn new(
        platform: PlatformClient,
        me: IncarnationId,
        name: &str,
        duration: Duration,
    ) -> Self {
        Self { platform, me, name: name.to_owned(), duration, observed: None }
    }

    /// Acquires or renews the lease, or observes its holder. `now` must be read before the call,
    /// so that the duration of the call counts against the lease.
    ///
    /// # Errors
    /// Fails while another process holds the lease and if the store does not respond. After a write
    /// with an unknown outcome the lease counts as not held; the next call determines the holder.
    pub async fn acquire(&mut self, now: MonoTime) -> Result<Lease, LeaseError> {
        let key = format!("{KEY_PREFIX}{}", self.name);
        let record = self.platform.read(&key).await?;
        let (expect, token) = match &record {
            None => (Expectation::Absent, FencingToken(1)),
            Some(record) => {
                let value: LeaseValue = serde_json::from_value(record.value.clone())
                    .map_err(|_| LeaseError::Malformed)?;
                let is_mine = value.holder == self.me;
                if !is_mine && !self.has_expired(now, record.version, value.lasts_ms) {
                    return Err(LeaseError::HeldByAnother);
                }
                let token = if is_mine { value.token } else { value.token.next() };
                (Expectation::Version(record.version), token)
            }
        };
        self.write(key, expect, token).await?;
        self.observed = None;
        let until = now.after(self.duration);
        Ok(Lease { name: self.name.clone(), token, until })
    }

    fn has_expired(&mut self, now: MonoTime, version: RecordVersion, lasts_ms: u64) -> bool {
        match &self.observed {
            Some(observed) if observed.version == version => {
                now.since(observed.since) > Duration::from_millis(lasts_ms)
            }
            _ => {
                self.observed = Some(ObservedLease { version, since: now });
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
        let lasts_ms = u64::try_from(self.duration.as_millis()).unwrap_or(u64::MAX);
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
