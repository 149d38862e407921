//! Test harness: starts real processes and stand-ins, sends requests and waits on conditions.
//!
//! Begin with `fleet`. `process` runs one daemon, `caller` and `fake_entry` are its clients.

mod caller;
mod fake_entry;
mod fleet;
mod process;
mod settings;
mod wait;

pub(crate) use caller::Answer;
pub(crate) use caller::Caller;
pub(crate) use caller::send;
pub(crate) use fake_entry::FakeEntry;
pub(crate) use fake_entry::chat_dispatch;
pub(crate) use fake_entry::new_attempt;
pub(crate) use fleet::Fleet;
pub(crate) use fleet::Plan;
pub(crate) use fleet::edit_of;
pub(crate) use process::Process;
pub(crate) use settings::gateway as gateway_settings;
pub(crate) use settings::operators_key;
pub(crate) use wait::wait_until;
