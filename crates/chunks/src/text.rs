//! A text with its chunks, as its holder passes them on.

use crate::boundaries::{chunk_bits, split};
use crate::manifest::Manifest;
use bytes::Bytes;
use flate2::Compression;
use flate2::write::DeflateEncoder;
use std::io::Write;
use std::sync::OnceLock;

/// A version of a text, divided into chunks.
#[derive(Debug)]
pub struct ChunkedText {
    manifest: Manifest,
    chunks: Vec<Chunk>,
}

#[derive(Debug)]
struct Chunk {
    content: Bytes,
    /// Filled by the first request for it, since most nodes are asked for few chunks.
    compressed: OnceLock<Bytes>,
}

impl ChunkedText {
    /// Divides a text.
    pub fn new(version: u64, text: &Bytes) -> Self {
        let bits = chunk_bits(text.len());
        let chunk = |chunk: &[u8]| Chunk {
            content: text.slice_ref(chunk),
            compressed: OnceLock::new(),
        };
        Self {
            manifest: Manifest::new(version, text, bits),
            chunks: split(text, bits).map(chunk).collect(),
        }
    }

    /// Returns its description.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns a chunk as it is sent, or none if the text has fewer chunks.
    pub fn compressed(&self, index: usize) -> Option<Bytes> {
        let chunk = self.chunks.get(index)?;
        let compressed = chunk.compressed.get_or_init(|| deflate(&chunk.content));
        Some(compressed.clone())
    }
}

fn deflate(content: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(content).and_then(|()| encoder.finish());
    written.expect("memory takes all bytes").into()
}
