//! Thrift's compact protocol over memory buffers.
//!
//! The thrift crate's own transports block, so messages are encoded in memory
//! and framed on asynchronous streams by [`crate::frame`].

use crate::bounded::BoundedInput;
use thrift::protocol::{TCompactOutputProtocol, TSerializable};

/// A message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("malformed message: {0}")]
pub struct CodecError(#[from] thrift::Error);

/// Encodes a message.
pub fn encode(message: &impl TSerializable) -> Result<Vec<u8>, CodecError> {
    let mut buf = Vec::with_capacity(256);
    message.write_to_out_protocol(&mut TCompactOutputProtocol::new(&mut buf))?;
    Ok(buf)
}

/// Decodes a message.
pub fn decode<M: TSerializable>(bytes: &[u8]) -> Result<M, CodecError> {
    Ok(M::read_from_in_protocol(&mut BoundedInput::new(bytes))?)
}
