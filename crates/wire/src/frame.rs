//! Length-prefixed messages on a byte stream.

use smol::io::{self, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Bytes of the length prefix of a message.
pub(crate) const HEADER_LEN: usize = 4;

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
    let mut header = [0; HEADER_LEN];
    r.read_exact(&mut header).await?;
    let len = u32::from_be_bytes(header) as usize;
    if len > max_len {
        let text = format!("message of {len} bytes exceeds the limit of {max_len}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    let mut message = Vec::new();
    r.take(len as u64).read_to_end(&mut message).await?;
    if message.len() < len {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(message)
}
