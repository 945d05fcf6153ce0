//! The clock, as an interface.
//!
//! Lease safety rests on how clocks are read, so nothing in the product calls
//! [`Instant::now`] directly: tests pass a clock that drifts, jumps and stops.

use std::future::Future;
use std::time::{Duration, Instant, SystemTime};

/// A source of time and of timers.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Monotonic time, for leases, timeouts and ages.
    fn now(&self) -> Instant;

    /// Wall time, for log lines and records that people read. No decision
    /// rests on it.
    fn wall(&self) -> SystemTime;

    /// Completes once `duration` has passed on this clock.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send;
}

/// A steady clock that goes on while the machine is suspended.
///
/// Leases are measured on it: [`Instant`] stands still while a machine is
/// suspended, and a holder that wakes would believe a lease that has run out.
pub trait BootClock: Clone + Send + Sync + 'static {
    /// Time since the machine started, suspensions included.
    fn since_boot(&self) -> SinceBoot;
}

/// A reading of a [`BootClock`]. Readings of two machines cannot be compared.
pub type SinceBoot = Duration;

/// The machine's own clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    async fn sleep(&self, duration: Duration) {
        smol::Timer::after(duration).await;
    }
}

impl BootClock for SystemClock {
    fn since_boot(&self) -> SinceBoot {
        let reading = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(reading.tv_sec as u64, reading.tv_nsec as u32)
    }
}
