//! One exchange: a request sent to the next hop and its response sent back.
//!
//! Short request bodies are read whole before anything is sent, so that a
//! refused attempt can be repeated and a caller whose body breaks off has
//! certainly started nothing. Longer ones stream through a pipe of fixed size.
//! If the caller disconnects, the deadline passes or a body breaks off, the
//! exchange ends and the connection to the next hop is closed, which ends the
//! exchange there too.

use crate::connector::connection_never_opened;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt, FutureExt, future, io};
use ibiscove_http::status::require_final;
use std::future::{Future, IntoFuture};
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use trillium::{Body, Conn, KnownHeaderName, Method, Status};
use trillium_client::Conn as ClientConn;
use trillium_http::{ReceivedBody, transport::BoxedTransport};

/// Memory for a streamed request body between two hops, in bytes.
const PIPE_BYTES: usize = 64 << 10;
/// Longest request body that is read whole, in bytes.
const MAX_WHOLE_BODY_BYTES: u64 = 64 << 10;

/// Why an exchange returned no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// The connection to the next hop could not be opened, so it has received
    /// nothing.
    Unreachable,
    /// The connection broke after the request may have been received.
    Lost,
    /// The deadline passed.
    TimedOut,
    /// The caller disconnected.
    CallerGone,
    /// The caller's body broke off.
    CallerBodyBroken,
}

/// A caller's request body.
pub(crate) enum ReqBody {
    /// There is none, or it was short enough to be read.
    Whole(Vec<u8>),
    /// It is yet to be read, and has this length if the caller stated one.
    Stream(Option<u64>),
}

impl ReqBody {
    /// Returns whether the request can be sent more than once.
    pub(crate) fn is_whole(&self) -> bool {
        matches!(self, ReqBody::Whole(_))
    }

    /// Returns the bytes of a whole body; empty for a streamed one.
    pub(crate) fn bytes(&self) -> &[u8] {
        match self {
            ReqBody::Whole(bytes) => bytes,
            ReqBody::Stream(_) => &[],
        }
    }

    /// Returns the length in bytes, if known.
    pub(crate) fn len(&self) -> Option<u64> {
        match self {
            ReqBody::Whole(bytes) => Some(bytes.len() as u64),
            ReqBody::Stream(len) => *len,
        }
    }
}

/// Reads the caller's body if it is short.
pub(crate) async fn read_body(
    conn: &mut Conn,
    timeout: impl Future<Output = ()> + Send,
) -> Result<ReqBody, ExchangeError> {
    let headers = conn.request_headers();
    if headers.has_header(KnownHeaderName::TransferEncoding) {
        return Ok(ReqBody::Stream(None));
    }
    let len = headers.get_str(KnownHeaderName::ContentLength);
    let len = len.and_then(|len| len.parse().ok()).unwrap_or(0);
    if len == 0 {
        return Ok(ReqBody::Whole(Vec::new()));
    }
    if len > MAX_WHOLE_BODY_BYTES {
        return Ok(ReqBody::Stream(Some(len)));
    }
    let body = conn.request_body().await;
    let reading = async {
        let bytes = body.read_bytes().await;
        bytes.map_err(|_| ExchangeError::CallerBodyBroken)
    };
    let timeout = async {
        timeout.await;
        Err(ExchangeError::CallerBodyBroken)
    };
    reading.or(timeout).await.map(ReqBody::Whole)
}

pub(crate) type ExchangeResult = Result<ClientConn, ExchangeError>;

/// Sends the caller's request over `outbound` and waits for the head of the
/// response.
pub(crate) async fn exchange(
    conn: &mut Conn,
    mut outbound: ClientConn,
    body: &ReqBody,
    timeout: impl Future<Output = ()> + Send,
) -> ExchangeResult {
    let timeout = async {
        timeout.await;
        Err(ExchangeError::TimedOut)
    };
    let response = match body {
        ReqBody::Whole(bytes) => {
            if !bytes.is_empty() {
                outbound.set_request_body(bytes.clone());
            }
            send_whole(conn, outbound).or(timeout).await
        }
        ReqBody::Stream(len) => send_streaming(conn, outbound, *len).or(timeout).await,
    };
    response.and_then(check_head)
}

/// Sends a request whose body is whole, without watching for the caller to
/// disconnect.
pub(crate) async fn exchange_whole(
    mut outbound: ClientConn,
    body: &[u8],
    timeout: impl Future<Output = ()> + Send,
) -> ExchangeResult {
    if !body.is_empty() {
        outbound.set_request_body(body.to_vec());
    }
    let timeout = async {
        timeout.await;
        Err(ExchangeError::TimedOut)
    };
    let sending = async { outbound.await.map_err(exchange_error) };
    sending.or(timeout).await.and_then(check_head)
}

async fn send_whole(conn: &mut Conn, outbound: ClientConn) -> ExchangeResult {
    let response = conn.cancel_on_disconnect(outbound.into_future()).await;
    response
        .ok_or(ExchangeError::CallerGone)?
        .map_err(exchange_error)
}

async fn send_streaming(
    conn: &mut Conn,
    mut outbound: ClientConn,
    len: Option<u64>,
) -> ExchangeResult {
    let (rx, mut tx) = piper::pipe(PIPE_BYTES);
    outbound.set_request_body(Body::new_streaming(rx, len));
    let mut response = pin!(outbound.into_future());
    let early = {
        let body = conn.request_body().await;
        let copying = pin!(copy_body(body, &mut tx));
        first_done(response.as_mut(), copying).await
    };
    match early {
        FirstDone::Response(response) => response.map_err(exchange_error),
        FirstDone::Body(Ok(())) => {
            drop(tx);
            let response = conn.cancel_on_disconnect(response).await;
            response
                .ok_or(ExchangeError::CallerGone)?
                .map_err(exchange_error)
        }
        // Returning drops the response's future before the pipe's writer, so the
        // next hop sees a broken body, never a short one that looks whole.
        FirstDone::Body(Err(CopyError::ReadFromCaller)) => Err(ExchangeError::CallerBodyBroken),
        FirstDone::Body(Err(CopyError::WriteToNextHop)) => response.await.map_err(exchange_error),
    }
}

/// Rejects a response that is not final, or whose length the HTTP library cannot count.
///
/// What follows it on the connection cannot be told apart, so the connection is closed
/// lest the next request reads it.
fn check_head(response: ClientConn) -> ExchangeResult {
    let status = response.status().map_or(0, |status| status as u16);
    let length = response
        .response_headers()
        .get_str(KnownHeaderName::ContentLength);
    let is_countable = |length: &str| length.parse().is_ok_and(|length: u64| length < u64::MAX);
    match (require_final(status), length) {
        (Ok(()), None) => return Ok(response),
        (Ok(()), Some(length)) if is_countable(length) => return Ok(response),
        (Ok(()), Some(length)) => {
            log::warn!(length = length; "an answer is given up: its length cannot be counted");
        }
        (Err(err), _) => log::warn!("an answer is given up: {err}"),
    }
    // Unlike the connection, a body that is dropped unread is never pooled.
    drop(ReceivedBody::<'static, BoxedTransport>::from(response));
    Err(ExchangeError::Lost)
}

#[expect(
    clippy::large_enum_variant,
    reason = "it lives on the stack for one await"
)]
enum FirstDone {
    Response(trillium_client::Result<ClientConn>),
    Body(Result<(), CopyError>),
}

async fn first_done(
    response: Pin<&mut (impl Future<Output = trillium_client::Result<ClientConn>> + ?Sized)>,
    copying: Pin<&mut impl Future<Output = Result<(), CopyError>>>,
) -> FirstDone {
    let response = async { FirstDone::Response(response.await) };
    let copying = async { FirstDone::Body(copying.await) };
    future::or(response, copying).await
}

enum CopyError {
    ReadFromCaller,
    WriteToNextHop,
}

async fn copy_body(
    mut body: impl AsyncRead + Unpin,
    tx: &mut piper::Writer,
) -> Result<(), CopyError> {
    let mut buf = vec![0; PIPE_BYTES / 4];
    loop {
        let len = body.read(&mut buf).await;
        match len.map_err(|_| CopyError::ReadFromCaller)? {
            0 => return Ok(()),
            len => tx
                .write_all(&buf[..len])
                .await
                .map_err(|_| CopyError::WriteToNextHop)?,
        }
    }
}

fn exchange_error(err: trillium_client::Error) -> ExchangeError {
    match err {
        trillium_client::Error::Io(err) if connection_never_opened(&err) => {
            ExchangeError::Unreachable
        }
        _ => ExchangeError::Lost,
    }
}

/// Observes the body of a response. Lives until the body has been sent.
pub(crate) trait ResponseBodyObserver: Send + Sync + Unpin + 'static {
    /// Is called with the bytes of the body in order.
    fn observe(&mut self, bytes: &[u8]);

    /// Is called once the body is complete, not if it breaks off. It may be
    /// called again at the end.
    fn complete(&mut self);
}

/// A response's body with its observer.
struct ObservedBody<O> {
    body: ReceivedBody<'static, BoxedTransport>,
    observer: O,
    /// Bytes read so far.
    bytes_read: u64,
}

/// Sets the body of `conn` to that of a response of which only the head has
/// been read.
pub(crate) async fn set_body<O: ResponseBodyObserver>(
    conn: Conn,
    response: ClientConn,
    mut observer: O,
) -> Conn {
    let status = response.status();
    let has_no_body = conn.method() == Method::Head
        || matches!(status, Some(Status::NoContent | Status::NotModified));
    if !has_no_body {
        let body: ReceivedBody<'static, BoxedTransport> = response.into();
        // It is streamed, so that its length costs no memory.
        let body = body.with_max_len(u64::MAX);
        let len = body.content_length();
        let body = ObservedBody {
            body,
            observer,
            bytes_read: 0,
        };
        return conn.with_body(Body::new_streaming(body, len));
    }
    let length = response
        .response_headers()
        .get_str(KnownHeaderName::ContentLength)
        .map(str::to_owned);
    let mut body: ReceivedBody<'static, BoxedTransport> = response.into();
    // The library detects the end of an empty body only when it is read, and
    // only then returns the connection to the pool.
    let _ = body.read(&mut [0]).await;
    observer.complete();
    match (status, length) {
        (Some(Status::NoContent | Status::NotModified), _) => conn,
        (_, Some(length)) => conn.with_response_header(KnownHeaderName::ContentLength, length),
        (_, None) => conn.with_body(Body::new_streaming(io::empty(), None)),
    }
}

impl<O: ResponseBodyObserver> AsyncRead for ObservedBody<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let len = match ready!(Pin::new(&mut this.body).poll_read(cx, buf)) {
            Ok(len) => len,
            Err(err) => {
                metrics::counter!("ibiscove_broken_answers_total").increment(1);
                log::info!(read = this.bytes_read, length:? = this.body.content_length();
                    "an answer broke off after its head: {err}");
                return Poll::Ready(Err(err));
            }
        };
        this.observer.observe(&buf[..len]);
        this.bytes_read += len as u64;
        let is_complete = match this.body.content_length() {
            Some(total) => this.bytes_read == total,
            None => len == 0 && !buf.is_empty(),
        };
        if is_complete {
            this.observer.complete();
        }
        Poll::Ready(Ok(len))
    }
}
