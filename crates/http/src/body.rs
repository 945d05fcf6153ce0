//! Message bodies, buffered or streamed from another connection.

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// An outgoing body: chunks already read, then optionally the rest of a body
/// that is still being received, with a guard that is dropped at its end.
pub struct Body<G = ()> {
    chunks: VecDeque<Bytes>,
    rest: Option<(Incoming, G)>,
}

impl<G> Body<G> {
    /// Returns a body that is complete in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        let chunks = match bytes.is_empty() {
            true => VecDeque::new(),
            false => VecDeque::from([bytes]),
        };
        Self { chunks, rest: None }
    }

    /// Returns whether all of it is in memory.
    pub fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// Returns a body of chunks already read and the rest that follows them. The
    /// guard is dropped once the rest has been read to its end.
    pub fn streamed(chunks: VecDeque<Bytes>, rest: Option<(Incoming, G)>) -> Self {
        Self { chunks, rest }
    }
}

impl<G: Unpin> HttpBody for Body<G> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        if let Some(chunk) = this.chunks.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let Some((rest, _)) = &mut this.rest else {
            return Poll::Ready(None);
        };
        let frame = Pin::new(rest).poll_frame(cx);
        if matches!(frame, Poll::Ready(None)) {
            this.rest = None;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let read: usize = self.chunks.iter().map(Bytes::len).sum();
        let mut hint = SizeHint::with_exact(read as u64);
        if let Some((rest, _)) = &self.rest {
            let rest = rest.size_hint();
            match rest.exact() {
                Some(rest) => hint.set_exact(read as u64 + rest),
                None => {
                    hint = SizeHint::new();
                    hint.set_lower(read as u64 + rest.lower());
                }
            }
        }
        hint
    }
}

/// Why a body could not be read into memory.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body exceeds the limit.
    #[error("the body exceeds {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The bodies that are kept already use the memory for them.
    #[error("too many bytes of bodies are kept at present")]
    NoMemory,
    /// The connection failed before the body's end.
    #[error("the connection failed within the body: {0}")]
    Broken(#[from] hyper::Error),
}

/// Limits the bytes of bodies that are kept at a time, whatever their number.
/// Clones share the budget.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    available: Arc<AtomicUsize>,
}

impl BodyBudget {
    /// Returns a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self {
            available: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Returns the bytes that are not in use.
    pub fn available(&self) -> usize {
        self.available.load(Ordering::Acquire)
    }

    fn try_take(&self, bytes: usize) -> bool {
        let take = |available: usize| available.checked_sub(bytes);
        self.available
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take)
            .is_ok()
    }
}

/// The part of a [`BodyBudget`] that a body uses, returned when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyReservation {
    fn grow_to(&mut self, bytes: usize) -> Result<(), ReadError> {
        let more = bytes.saturating_sub(self.bytes);
        if !self.budget.try_take(more) {
            metrics::counter!("ibiscove_bodies_without_memory_total").increment(1);
            return Err(ReadError::NoMemory);
        }
        self.bytes += more;
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget
            .available
            .fetch_add(self.bytes, Ordering::AcqRel);
    }
}

/// Reads a complete body into memory, within a budget that all bodies share. The
/// bytes of a body with a stated length are reserved before any is read, so that
/// one that does not fit fails at once.
pub async fn read_within_budget(
    mut body: Incoming,
    limit: usize,
    budget: &BodyBudget,
) -> Result<(Bytes, BodyReservation), ReadError> {
    let mut reservation = BodyReservation {
        budget: budget.clone(),
        bytes: 0,
    };
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > limit {
        return Err(ReadError::TooLong { limit });
    }
    reservation.grow_to(stated)?;
    let mut chunks = VecDeque::new();
    let reserve = |read| reservation.grow_to(read);
    if !read_frames(&mut body, limit, &mut chunks, reserve).await? {
        return Err(ReadError::TooLong { limit });
    }
    Ok((concat(chunks), reservation))
}

/// Reads a complete body into memory.
pub async fn read_whole(mut body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
    let mut chunks = VecDeque::new();
    match read_up_to(&mut body, limit, &mut chunks).await? {
        true => Ok(concat(chunks)),
        false => Err(ReadError::TooLong { limit }),
    }
}

/// Reads a body until its end or until more than `limit` bytes were read.
/// Returns whether the end was reached.
pub async fn read_up_to(
    body: &mut Incoming,
    limit: usize,
    chunks: &mut VecDeque<Bytes>,
) -> Result<bool, hyper::Error> {
    read_frames(body, limit, chunks, |_| Ok(())).await
}

/// Does the same, and passes the bytes read so far to `on_read`, whose error ends
/// the reading. It is not called for the bytes beyond `limit`.
async fn read_frames<E: From<hyper::Error>>(
    body: &mut Incoming,
    limit: usize,
    chunks: &mut VecDeque<Bytes>,
    mut on_read: impl FnMut(usize) -> Result<(), E>,
) -> Result<bool, E> {
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            // Trailers are not forwarded.
            continue;
        };
        read += data.len();
        if read <= limit {
            on_read(read)?;
        }
        chunks.push_back(data);
        if read > limit {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Concatenates chunks into one buffer; a single chunk is not copied.
pub fn concat(mut chunks: VecDeque<Bytes>) -> Bytes {
    match chunks.len() {
        0 => Bytes::new(),
        1 => chunks.pop_front().unwrap_or_default(),
        _ => chunks
            .iter()
            .flat_map(|chunk| chunk.iter().copied())
            .collect(),
    }
}
