//! Stand-ins for what the product meets outside: upstreams and the platform.
//!
//! Tests, measurements and the demonstration use them; a real deployment does
//! not. [`FaultyPlatform`] puts faults in front of any platform, and
//! [`platform::serve`] speaks the platform's HTTP from memory.

pub mod faults;
pub mod platform;
pub mod upstream;

pub use faults::{FaultyPlatform, PlatformFaults};
pub use upstream::{Execution, Fault, Upstream, UpstreamSettings};
