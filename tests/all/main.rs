//! Integration tests: real processes on loopback, stand-ins in the test's own process,
//! and a fault-injecting proxy before each sidecar.

#[allow(dead_code)]
mod harness;
mod path;
