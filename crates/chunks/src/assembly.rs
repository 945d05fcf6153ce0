//! A text that is being put together from chunks.

use crate::manifest::{ChunkId, Manifest};
use crate::split;
use bytes::{Bytes, BytesMut};
use flate2::read::DeflateDecoder;
use ibiscove_types::hash::checksum;
use std::collections::HashMap;
use std::io::Read;

/// A text of which some chunks are here.
#[derive(Debug)]
pub struct Assembly {
    manifest: Manifest,
    /// The chunks that are here. A chunk may occur in the text more than once.
    here: HashMap<ChunkId, Bytes>,
    missing: usize,
}

/// Why a chunk was not taken, or a text not put together.
#[derive(Debug, thiserror::Error)]
pub enum ChunkError {
    /// The manifest has no chunk of this index.
    #[error("there is no chunk {0}")]
    NoSuchChunk(usize),
    /// The bytes cannot be decompressed.
    #[error("the chunk cannot be decompressed: {0}")]
    Malformed(#[from] std::io::Error),
    /// The content is not what the manifest describes.
    #[error("the chunk's content does not match its checksum")]
    Checksum,
    /// Chunks are missing.
    #[error("{0} chunks are missing")]
    Missing(usize),
    /// The chunks are right one by one, but not the text.
    #[error("the text does not match its checksum")]
    TextChecksum,
}

impl Assembly {
    /// Begins with the chunks that `earlier` texts have.
    pub fn new<'a>(manifest: Manifest, earlier: impl IntoIterator<Item = &'a Bytes>) -> Self {
        let mut known = HashMap::new();
        for text in earlier {
            let chunks = split(text, manifest.bits);
            known.extend(chunks.map(|chunk| (checksum(chunk), text.slice_ref(chunk))));
        }
        Self::with_known(manifest, known)
    }

    /// Replaces this assembly by one of another version, which keeps the chunks that both
    /// have, and the chunks that `earlier` texts have.
    pub fn restart<'a>(
        self,
        manifest: Manifest,
        earlier: impl IntoIterator<Item = &'a Bytes>,
    ) -> Self {
        let mut next = Self::new(manifest, earlier);
        for (id, len) in next.manifest.chunks() {
            if let Some(content) = self.here.get(id)
                && content.len() == *len as usize
            {
                next.here.insert(*id, content.clone());
            }
        }
        next.count_missing();
        next
    }

    fn with_known(manifest: Manifest, known: HashMap<ChunkId, Bytes>) -> Self {
        let here = manifest.chunks().iter().filter_map(|(id, len)| {
            let content = known.get(id)?;
            (content.len() == *len as usize).then(|| (*id, content.clone()))
        });
        let mut assembly = Self {
            here: here.collect(),
            missing: 0,
            manifest,
        };
        assembly.count_missing();
        assembly
    }

    fn count_missing(&mut self) {
        self.missing = self.missing().count();
    }

    /// Returns the description of the text.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns the indices and lengths of the chunks that are missing.
    pub fn missing(&self) -> impl Iterator<Item = (usize, usize)> {
        let chunks = self.manifest.chunks().iter().enumerate();
        chunks
            .filter(|(_, (id, _))| !self.here.contains_key(id))
            .map(|(index, (_, len))| (index, *len as usize))
    }

    /// Returns whether no chunk is missing.
    pub fn is_complete(&self) -> bool {
        self.missing == 0
    }

    /// Adds a chunk as [`crate::ChunkedText::compressed`] returns it. One that is here
    /// already is ignored.
    pub fn insert(&mut self, index: usize, compressed: &[u8]) -> Result<(), ChunkError> {
        let chunk = self.manifest.chunks().get(index);
        let (id, len) = *chunk.ok_or(ChunkError::NoSuchChunk(index))?;
        if self.here.contains_key(&id) {
            return Ok(());
        }
        let mut content = Vec::with_capacity(len as usize);
        // One byte more shows a content that is too long.
        let mut decoder = DeflateDecoder::new(compressed).take(u64::from(len) + 1);
        decoder.read_to_end(&mut content)?;
        if content.len() != len as usize || checksum(&content) != id {
            return Err(ChunkError::Checksum);
        }
        self.here.insert(id, content.into());
        self.count_missing();
        Ok(())
    }

    /// Puts the text together.
    pub fn finish(&self) -> Result<Bytes, ChunkError> {
        let chunks = self.manifest.chunks();
        let len = chunks.iter().map(|(_, len)| *len as usize).sum();
        let mut text = BytesMut::with_capacity(len);
        for (id, _) in chunks {
            let content = self.here.get(id);
            text.extend_from_slice(content.ok_or(ChunkError::Missing(self.missing))?);
        }
        match checksum(&text) == self.manifest.checksum {
            true => Ok(text.freeze()),
            false => Err(ChunkError::TextChecksum),
        }
    }
}
