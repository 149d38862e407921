//! Crowds of callers that do not behave: a real gateway stays within the memory and the descriptors of its host, and
//! answers an ordinary request.
//!
//! A binary of its own: the tests of one binary run beside each other, and here one crowd plays at a time.

#[path = "../all/case.rs"]
mod case;
mod crowd;
mod descriptors;
mod entry;
mod gateway;
#[allow(dead_code, unused_imports, reason = "the crowds need a part of it")]
#[path = "../all/harness/mod.rs"]
mod harness;
mod heads;
mod large_bodies;
mod process;
mod responses;
mod small_chunks;
