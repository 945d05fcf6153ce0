//! The load of a gate, by which other nodes choose among upstreams.

use std::time::Duration;

/// Load of a gate, as it reports it to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateLoad {
    /// Requests that run or wait.
    pub load: u32,
    /// Typical latency of the upstream.
    pub service_time: Duration,
    /// Requests that the upstream processes at a time; fewer while it names a limit
    /// that cannot keep its slots busy.
    pub concurrency: u32,
}

impl GateLoad {
    /// Formats the load as a header's value.
    pub fn to_header(self) -> String {
        let micros = self.service_time.as_micros();
        format!("{},{micros},{}", self.load, self.concurrency)
    }

    /// Parses a header's value.
    pub fn from_header(text: &str) -> Option<Self> {
        let mut numbers = text.split(',');
        let load = Self {
            load: numbers.next()?.parse().ok()?,
            service_time: Duration::from_micros(numbers.next()?.parse().ok()?),
            concurrency: numbers.next()?.parse().ok()?,
        };
        numbers.next().is_none().then_some(load)
    }
}
