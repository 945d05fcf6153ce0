//! Estimates how long a request waited on its way between two nodes.
//!
//! A request between nodes carries the time that its caller has left, because clocks
//! differ. On a link with a long queue that time is over before the request arrives, and
//! the receiver would run work that nobody waits for. The sender therefore adds its own
//! clock's reading. The difference between the receiver's reading and the sender's is the
//! smallest when nothing queues; what it exceeds that smallest difference by is the wait.

use ibiscove_types::SinceBoot;
use std::time::Duration;

/// Time over which the smallest difference is taken, at least; twice that at most. Clocks
/// drift by far less in it, and a link has moments without a queue.
const WINDOW: Duration = Duration::from_secs(15);

/// Waits of the requests of one process. Both clocks must count suspended time.
#[derive(Clone, Copy, Debug)]
pub struct TransitTimes {
    /// Smallest difference in microseconds, of this window and of the one before.
    smallest: [Option<i64>; 2],
    window_start: SinceBoot,
}

impl TransitTimes {
    /// Creates the estimate before any request.
    pub fn new(now: SinceBoot) -> Self {
        Self {
            smallest: [None; 2],
            window_start: now,
        }
    }

    /// Records a request that was sent at `sent` by the sender's clock and received at
    /// `now` by this one's. Returns how long it waited; zero for the first.
    pub fn record(&mut self, sent: SinceBoot, now: SinceBoot) -> Duration {
        if now.saturating_sub(self.window_start) >= WINDOW {
            self.smallest = [None, self.smallest[0]];
            self.window_start = now;
        }
        let difference = micros(now) - micros(sent);
        let current = self.smallest[0].map_or(difference, |known| known.min(difference));
        self.smallest[0] = Some(current);
        let smallest = self.smallest[1].map_or(current, |known| known.min(current));
        Duration::from_micros(u64::try_from(difference - smallest).unwrap_or(0))
    }
}

fn micros(reading: SinceBoot) -> i64 {
    // Half of the range, so that differences do not overflow.
    i64::try_from(reading.as_micros()).map_or(i64::MAX / 2, |micros| micros.min(i64::MAX / 2))
}
