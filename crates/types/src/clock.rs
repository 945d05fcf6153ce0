//! Clock abstraction.
//!
//! Lease safety depends on how clocks are read, so the lease protocol never
//! calls [`Instant::now`] directly: tests pass a clock that drifts, jumps or
//! stops.

use std::future::Future;
use std::time::{Duration, Instant, SystemTime};

/// A source of time and timers.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time, for leases, timeouts and ages.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for log lines and records, the age of
    /// time-ordered idempotency keys and the incarnations of routers. No lease
    /// or timeout is measured on it.
    fn wall(&self) -> SystemTime;

    /// Completes once `duration` has passed on this clock.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send;
}

/// A monotonic clock that keeps running while the machine is suspended.
///
/// Leases on key ranges are measured on it: [`Instant`] does not advance during
/// suspension, so a holder that resumes would still trust a lease that has
/// expired.
pub trait BootClock: Clone + Send + Sync + 'static {
    /// Returns the time since boot, including suspensions.
    fn since_boot(&self) -> SinceBoot;
}

/// A reading of a [`BootClock`]. Readings of two machines cannot be compared.
pub type SinceBoot = Duration;

/// The operating system's clocks.
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
