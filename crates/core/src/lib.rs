//! Identifiers, sizes, rates and outcomes shared by all other crates.
//!
//! A host, a workspace or a token count has the same type everywhere. Values are
//! validated once, where they enter the system, so that no function has to interpret
//! a bare string or number. The crate uses no sockets and no clocks other than for the
//! timestamps in generated identifiers, and depends on no other crate of this repository.

mod attempt;
mod bill_record;
mod byte_size;
mod cost;
mod crash_subject;
mod engine_time;
mod instant;
mod key_digest;
mod link_rate;
mod model_version;
mod names;
mod not_run_reason;
mod numbers;
mod outcome;
mod prefix;
mod prompt;
mod request_fingerprint;
mod request_id;
mod request_rate;
mod response_digest;
mod store_version;
mod target;
mod upstream_incarnation;
mod usage;

pub use attempt::AttemptId;
pub use bill_record::BillRecord;
pub use byte_size::ByteSize;
pub use byte_size::ByteSizeError;
pub use cost::CostMicros;
pub use crash_subject::CrashSubject;
pub use crash_subject::CrashSubjectError;
pub use crash_subject::PartFingerprint;
pub use engine_time::EngineTime;
pub use instant::MonoTime;
pub use key_digest::KeyDigest;
pub use link_rate::LinkRate;
pub use link_rate::LinkRateError;
pub use model_version::ModelVersion;
pub use model_version::ModelVersionError;
pub use names::HostId;
pub use names::IdempotencyKey;
pub use names::InstanceId;
pub use names::ModelName;
pub use names::NameError;
pub use names::RegionName;
pub use names::RouteName;
pub use names::ServiceName;
pub use names::TaskName;
pub use names::VersionName;
pub use names::WorkspaceName;
pub use names::ZoneName;
pub use not_run_reason::NotRunReason;
pub use numbers::AttemptNumber;
pub use numbers::ConfigVersion;
pub use numbers::FencingToken;
pub use numbers::NumberError;
pub use numbers::Revision;
pub use numbers::StartTime;
pub use numbers::StoreEra;
pub use numbers::TokenCount;
pub use outcome::Outcome;
pub use prefix::estimate_tokens;
pub use prefix::prefix_hashes;
pub use prefix::prefix_marks;
pub use prompt::Prompt;
pub use prompt::PromptPart;
pub use request_fingerprint::RequestFingerprint;
pub use request_fingerprint::RequestFingerprintError;
pub use request_id::EditId;
pub use request_id::IdError;
pub use request_id::IncarnationId;
pub use request_id::RequestId;
pub use request_rate::RequestRate;
pub use request_rate::RequestRateError;
pub use response_digest::ResponseDigest;
pub use store_version::StoreVersion;
pub use target::Target;
pub use target::TargetError;
pub use upstream_incarnation::UpstreamIncarnation;
pub use upstream_incarnation::UpstreamIncarnationError;
pub use usage::Usage;
