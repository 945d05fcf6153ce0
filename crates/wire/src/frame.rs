//! Length-prefixed messages on a byte stream.

use ibiscove_io::{Transfer, TransferLimits};
use smol::future::FutureExt;
use smol::io::{self, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use std::time::Instant;

/// Bytes of the length prefix of a message.
pub(crate) const HEADER_LEN: usize = 4;
/// Most bytes of a message that are read between two reports of progress.
const PART_LEN: usize = 16 << 10;

/// Writes one message.
pub(crate) async fn write(w: &mut (impl AsyncWrite + Unpin), message: &[u8]) -> io::Result<()> {
    let len = u32::try_from(message.len())
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "message over 4 GiB"))?;
    let mut buf = Vec::with_capacity(HEADER_LEN + message.len());
    buf.extend_from_slice(&len.to_be_bytes());
    buf.extend_from_slice(message);
    w.write_all(&buf).await?;
    w.flush().await
}

/// Reads one message; fails if it is longer than `max_len`.
///
/// Memory grows with the bytes received, not with the length that the sender
/// claims.
pub(crate) async fn read(r: &mut (impl AsyncRead + Unpin), max_len: usize) -> io::Result<Vec<u8>> {
    let len = read_header(r, max_len).await?;
    let mut message = Vec::new();
    r.take(len as u64).read_to_end(&mut message).await?;
    if message.len() < len {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(message)
}

/// Reads one message, which must make progress once it has begun, and calls `on_part`
/// with its length after each part of it. Fails if it is longer than `max_len`.
pub(crate) async fn read_in_parts(
    r: &mut (impl AsyncRead + Unpin),
    max_len: usize,
    limits: TransferLimits,
    on_part: impl Fn(usize),
) -> io::Result<Vec<u8>> {
    let len = read_header(r, max_len).await?;
    let mut message = Vec::new();
    let mut part = vec![0; PART_LEN.min(len)];
    let mut transfer = Transfer::new(limits, Instant::now());
    while message.len() < len {
        let wanted = part.len().min(len - message.len());
        let stalled = async {
            smol::Timer::at(transfer.deadline()).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let read = r.read(&mut part[..wanted]).or(stalled).await?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        message.extend_from_slice(&part[..read]);
        transfer.record(read, Instant::now());
        on_part(len);
    }
    Ok(message)
}

async fn read_header(r: &mut (impl AsyncRead + Unpin), max_len: usize) -> io::Result<usize> {
    let mut header = [0; HEADER_LEN];
    r.read_exact(&mut header).await?;
    let len = u32::from_be_bytes(header) as usize;
    if len > max_len {
        let text = format!("message of {len} bytes exceeds the limit of {max_len}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    Ok(len)
}
