//! Test doubles for the router's external dependencies: upstreams and the platform.
//!
//! Tests, benchmarks and the demo use them; a deployment does not.
//! [`FaultyPlatform`] injects faults into the calls of any platform, and
//! [`platform::serve`] serves the platform's HTTP interface.

pub mod faults;
pub mod platform;
pub mod upstream;

pub use faults::{FaultyPlatform, PlatformFaults};
pub use upstream::{Execution, Fault, Upstream, UpstreamSettings};
