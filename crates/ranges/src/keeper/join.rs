//! Runs several futures of one kind side by side.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;

/// Completes when all of them have.
pub(super) async fn join_all<F: Future<Output = ()>>(futures: impl IntoIterator<Item = F>) {
    let mut left: Vec<Pin<Box<F>>> = futures.into_iter().map(Box::pin).collect();
    poll_fn(|cx| {
        left.retain_mut(|future| future.as_mut().poll(cx).is_pending());
        match left.is_empty() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    })
    .await;
}
