//! Message bodies, buffered or streamed from another connection.

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ibiscove_io::{DeadlinePassed, LateSource, Transfer, TransferLimits};
use smol::future::FutureExt;
use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Instant;

/// An outgoing body: bytes already read, then optionally the rest of a body that is
/// still being received, with a guard that is dropped at its end.
pub struct Body<G = ()> {
    read: VecDeque<Bytes>,
    /// Dropped once the bytes already read have been passed on.
    reservation: Option<BodyReservation>,
    rest: Option<Rest<G>>,
}

/// The rest of a body that is still being received.
struct Rest<G> {
    body: Incoming,
    deadline: LateSource,
    _guard: G,
}

/// Why an outgoing body broke off.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection that it is received from failed.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
    /// The rest came too late, or had no end.
    #[error(transparent)]
    Late(#[from] DeadlinePassed),
}

impl<G> Body<G> {
    /// Returns a body that is complete in memory.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        let read = match bytes.is_empty() {
            true => VecDeque::new(),
            false => VecDeque::from([bytes]),
        };
        Self {
            read,
            reservation: None,
            rest: None,
        }
    }

    /// Returns whether all of it is in memory.
    pub fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// Returns a body of bytes already read, with the memory that they use, and the
    /// rest that follows them, which is to come before `deadline`. The guard is dropped
    /// once the rest has been read to its end.
    pub fn relayed(
        read: ReadBytes,
        reservation: BodyReservation,
        rest: Option<(Incoming, G)>,
        deadline: Instant,
    ) -> Self {
        Self {
            read: read.into_blocks(),
            reservation: Some(reservation),
            rest: rest.map(|(body, guard)| Rest {
                body,
                deadline: LateSource::new(deadline),
                _guard: guard,
            }),
        }
    }
}

impl<G: Unpin> HttpBody for Body<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if let Some(block) = this.read.pop_front() {
            if this.read.is_empty() {
                this.reservation = None;
            }
            return Poll::Ready(Some(Ok(Frame::data(block))));
        }
        let Some(rest) = &mut this.rest else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(&mut rest.body).poll_frame(cx);
        let frame = match ready!(rest.deadline.apply(cx, polled, data_len)) {
            Ok(frame) => frame,
            Err(err) => {
                metrics::counter!("ibiscove_late_bodies_total").increment(1);
                return Poll::Ready(Some(Err(err.into())));
            }
        };
        if frame.is_none() {
            this.rest = None;
        }
        Poll::Ready(frame.map(|frame| Ok(frame?)))
    }

    fn is_end_stream(&self) -> bool {
        self.read.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let read: usize = self.read.iter().map(Bytes::len).sum();
        let read = read as u64;
        let mut hint = SizeHint::with_exact(read);
        if let Some(rest) = &self.rest {
            let rest = rest.body.size_hint();
            match rest.exact() {
                Some(rest) => hint.set_exact(read + rest),
                None => {
                    hint = SizeHint::new();
                    hint.set_lower(read + rest.lower());
                }
            }
        }
        hint
    }
}

/// Returns the bytes of a body's next frame.
fn data_len(frame: &Option<Result<Frame<Bytes>, hyper::Error>>) -> usize {
    let data = frame
        .as_ref()
        .and_then(|frame| frame.as_ref().ok()?.data_ref());
    data.map_or(0, Bytes::len)
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

/// Why a body that must make progress could not be read into memory.
#[derive(Debug, thiserror::Error)]
pub enum ProgressError {
    /// It went silent, or came too slowly.
    #[error("the body went silent or came too slowly after {received} bytes")]
    Stalled {
        /// The bytes that had arrived.
        received: usize,
    },
    /// It could not be read.
    #[error(transparent)]
    Read(#[from] ReadError),
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

    /// Returns a reservation of no bytes, which grows with a body.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            bytes: 0,
        }
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
    pub(crate) fn try_grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let fits = self.budget.try_take(more);
        if fits {
            self.bytes += more;
        }
        fits
    }

    fn grow_to(&mut self, bytes: usize) -> Result<(), ReadError> {
        if self.try_grow_to(bytes) {
            return Ok(());
        }
        metrics::counter!("ibiscove_bodies_without_memory_total").increment(1);
        Err(ReadError::NoMemory)
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget
            .available
            .fetch_add(self.bytes, Ordering::AcqRel);
    }
}

/// Size of the blocks in which the bytes of a body are kept.
const BLOCK_BYTES: usize = 16 << 10;

/// The bytes of a body that have been read so far.
///
/// The frames of a body are copied into blocks, except for the first one, often the
/// only one. A frame refers to the whole buffer that it was received in, so that short
/// ones would keep much more memory than their own bytes.
#[derive(Debug, Default)]
pub struct ReadBytes {
    blocks: VecDeque<Bytes>,
    /// The block that is being filled.
    last: BytesMut,
    len: usize,
}

impl ReadBytes {
    /// Appends a frame.
    pub fn push(&mut self, mut data: Bytes) {
        let is_first = self.len == 0;
        self.len += data.len();
        if is_first {
            self.blocks.push_back(data);
            return;
        }
        while !data.is_empty() {
            let room = BLOCK_BYTES - self.last.len();
            let part = data.split_to(room.min(data.len()));
            self.last.extend_from_slice(&part);
            if self.last.len() == BLOCK_BYTES {
                self.blocks
                    .push_back(std::mem::take(&mut self.last).freeze());
            }
        }
    }

    /// Returns how many bytes have been read.
    #[expect(
        clippy::len_without_is_empty,
        reason = "whether a body is empty is known at its end only"
    )]
    pub fn len(&self) -> usize {
        self.len
    }

    fn into_blocks(mut self) -> VecDeque<Bytes> {
        if !self.last.is_empty() {
            self.blocks.push_back(self.last.freeze());
        }
        self.blocks
    }

    /// Returns the bytes in one buffer. Those of a single frame are not copied.
    pub fn into_bytes(self) -> Bytes {
        let len = self.len;
        let mut blocks = self.into_blocks();
        if blocks.len() <= 1 {
            return blocks.pop_front().unwrap_or_default();
        }
        let mut joined = BytesMut::with_capacity(len);
        for block in blocks {
            joined.extend_from_slice(&block);
        }
        joined.freeze()
    }
}

/// Reads a complete body into memory, within a budget that all bodies share. The
/// bytes of a body with a stated length are reserved before any is read, so that
/// one that does not fit fails at once.
pub async fn read_within_budget(
    mut body: impl HttpBody<Data = Bytes, Error = hyper::Error> + Unpin,
    limit: usize,
    budget: &BodyBudget,
) -> Result<(Bytes, BodyReservation), ReadError> {
    let mut reservation = budget.reserve();
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > limit {
        return Err(ReadError::TooLong { limit });
    }
    reservation.grow_to(stated)?;
    let mut read = ReadBytes::default();
    while let Some(data) = next_data(&mut body).await? {
        read.push(data);
        if read.len() > limit {
            return Err(ReadError::TooLong { limit });
        }
        reservation.grow_to(read.len())?;
    }
    Ok((read.into_bytes(), reservation))
}

/// Reads a complete body into memory.
pub async fn read_whole(mut body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
    let mut read = ReadBytes::default();
    match read_up_to(&mut body, limit, &mut read).await? {
        true => Ok(read.into_bytes()),
        false => Err(ReadError::TooLong { limit }),
    }
}

/// Reads a complete body into memory for as long as it makes progress.
pub async fn read_whole_in_progress(
    mut body: Incoming,
    limit: usize,
    limits: TransferLimits,
) -> Result<Bytes, ProgressError> {
    let mut read = ReadBytes::default();
    let mut transfer = Transfer::new(limits, Instant::now());
    loop {
        let next = async { Ok(next_data(&mut body).await.map_err(ReadError::from)?) };
        let stalled = async {
            smol::Timer::at(transfer.deadline()).await;
            let received = read.len();
            Err(ProgressError::Stalled { received })
        };
        let Some(data) = next.or(stalled).await? else {
            return Ok(read.into_bytes());
        };
        transfer.record(data.len(), Instant::now());
        read.push(data);
        if read.len() > limit {
            return Err(ReadError::TooLong { limit }.into());
        }
    }
}

/// Reads a body until its end or until more than `limit` bytes were read.
/// Returns whether the end was reached.
pub async fn read_up_to(
    body: &mut Incoming,
    limit: usize,
    read: &mut ReadBytes,
) -> Result<bool, hyper::Error> {
    while let Some(data) = next_data(body).await? {
        read.push(data);
        if read.len() > limit {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Reads a body until its end, until more than `limit` bytes were read, or until the
/// budget of the reservation has no room for more. Returns whether the end was reached.
pub async fn read_ahead(
    body: &mut Incoming,
    limit: usize,
    reservation: &mut BodyReservation,
    read: &mut ReadBytes,
) -> Result<bool, hyper::Error> {
    while let Some(data) = next_data(body).await? {
        read.push(data);
        if read.len() > limit || !reservation.try_grow_to(read.len()) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Returns the next bytes of a body; none at its end. Trailers are not forwarded.
pub async fn next_data(
    body: &mut (impl HttpBody<Data = Bytes, Error = hyper::Error> + Unpin),
) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
