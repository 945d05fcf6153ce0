//! Sources that are relayed up to a deadline, and a little beyond it.

use smol::Timer;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

/// Time for which a source may be waited for in all after its deadline.
const MAX_LATE_WAIT: Duration = Duration::from_millis(200);
/// Bytes that are relayed after the deadline at the most: what waits in buffers for a
/// receiver that reads slowly.
const MAX_LATE_BYTES: usize = 1 << 20;

/// The deadline of a body that is relayed as it comes.
///
/// A body that its source has sent in time is relayed although its receiver reads late,
/// so the deadline itself ends nothing. It ends a source that is waited for, and one that
/// goes on and on.
#[derive(Debug)]
pub struct LateSource {
    deadline: Instant,
    waits_since: Option<Instant>,
    timer: Option<Timer>,
    late_wait: Duration,
    late_bytes: usize,
}

/// The source was not complete at its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the rest did not come before the deadline")]
pub struct DeadlinePassed;

impl LateSource {
    /// Starts to relay a source.
    pub fn new(deadline: Instant) -> Self {
        Self {
            deadline,
            waits_since: None,
            timer: None,
            late_wait: Duration::ZERO,
            late_bytes: 0,
        }
    }

    /// Applies the deadline to the result of polling the source, which transfers `len`
    /// bytes of an item.
    pub fn apply<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<T>,
        len: impl FnOnce(&T) -> usize,
    ) -> Poll<Result<T, DeadlinePassed>> {
        let now = Instant::now();
        let late_since = |since: Instant| since.max(self.deadline);
        let Poll::Ready(item) = polled else {
            let since = *self.waits_since.get_or_insert(now);
            let limit = late_since(since) + MAX_LATE_WAIT.saturating_sub(self.late_wait);
            let timer = self.timer.get_or_insert_with(|| Timer::at(limit));
            ready!(Pin::new(timer).poll(cx));
            return Poll::Ready(Err(DeadlinePassed));
        };
        self.timer = None;
        if let Some(since) = self.waits_since.take() {
            self.late_wait += now.saturating_duration_since(late_since(since));
        }
        if now > self.deadline {
            self.late_bytes = self.late_bytes.saturating_add(len(&item));
            if self.late_bytes > MAX_LATE_BYTES {
                return Poll::Ready(Err(DeadlinePassed));
            }
        }
        Poll::Ready(Ok(item))
    }
}
