//! Divides a text into chunks by its content, so that nodes pass on only what changed.
//!
//! A holder of a text describes it by a [`Manifest`], the list of its chunks. A receiver
//! looks up which of them its own earlier text has, asks for the others a few at a time,
//! from any holder, and keeps what has arrived whatever becomes of the holder. An insertion
//! moves the boundaries near it and no others, because each boundary depends only on the
//! bytes before it.
//!
//! Guarantee: [`Assembly::finish`] returns a text with the checksum that the manifest names.
//! Chunks are verified one by one, so one bad answer costs one request. The checksums are
//! not cryptographic: they find damage, and peers are trusted not to forge.
//!
//! The ways that were weighed are in `docs/design/transfers.md`.

mod assembly;
mod boundaries;
mod manifest;
mod text;

pub use assembly::{Assembly, ChunkError};
pub use boundaries::{ChunkBits, chunk_bits, split};
pub use manifest::{ChunkId, Manifest, ManifestError};
pub use text::ChunkedText;
