//! The description of a text by its chunks.

use crate::boundaries::{ChunkBits, split};
use ibiscove_types::hash::checksum;
use serde::{Deserialize, Serialize};

/// Identifies a chunk by its content: the checksum of its bytes.
pub type ChunkId = u64;

/// The chunks of one version of a text.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(try_from = "ManifestForm", into = "ManifestForm")]
pub struct Manifest {
    /// The version; newer texts have higher versions.
    pub version: u64,
    /// Average size of the chunks, by which a receiver divides its own text.
    pub bits: ChunkBits,
    /// Checksum of the whole text.
    pub checksum: u64,
    /// Ids and lengths of the chunks, in their order.
    chunks: Vec<(ChunkId, u32)>,
}

/// Why a manifest is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ManifestError {
    /// An id or the checksum is not a hexadecimal number of 16 digits.
    #[error("an id is malformed")]
    MalformedId,
    /// There are more ids than lengths, or fewer.
    #[error("it has {ids} ids and {lengths} lengths")]
    Count {
        /// Ids.
        ids: usize,
        /// Lengths.
        lengths: usize,
    },
    /// The text would be too long to be kept in memory.
    #[error("the text would have {0} bytes")]
    TooLong(u64),
}

/// Longest text that a receiver assembles, in bytes.
const MAX_TEXT_BYTES: u64 = 256 << 20;

impl Manifest {
    /// Describes a text.
    pub fn new(version: u64, text: &[u8], bits: ChunkBits) -> Self {
        let chunk = |chunk: &[u8]| (checksum(chunk), chunk.len() as u32);
        Self {
            version,
            bits,
            checksum: checksum(text),
            chunks: split(text, bits).map(chunk).collect(),
        }
    }

    /// Returns the ids and lengths of the chunks, in their order.
    pub fn chunks(&self) -> &[(ChunkId, u32)] {
        &self.chunks
    }
}

/// A manifest as it is serialised: the ids without separators, in hexadecimal.
#[derive(Deserialize, Serialize)]
struct ManifestForm {
    version: u64,
    bits: ChunkBits,
    checksum: String,
    ids: String,
    lengths: Vec<u32>,
}

/// Digits of an id.
const ID_DIGITS: usize = 16;

impl From<Manifest> for ManifestForm {
    fn from(manifest: Manifest) -> Self {
        let hex = |id: u64| format!("{id:016x}");
        Self {
            version: manifest.version,
            bits: manifest.bits,
            checksum: hex(manifest.checksum),
            ids: manifest.chunks.iter().map(|(id, _)| hex(*id)).collect(),
            lengths: manifest.chunks.into_iter().map(|(_, len)| len).collect(),
        }
    }
}

impl TryFrom<ManifestForm> for Manifest {
    type Error = ManifestError;

    fn try_from(form: ManifestForm) -> Result<Self, ManifestError> {
        let ids = form.ids.as_bytes().chunks(ID_DIGITS);
        let ids: Vec<ChunkId> = ids.map(parse_id).collect::<Result<_, _>>()?;
        if ids.len() != form.lengths.len() {
            return Err(ManifestError::Count {
                ids: ids.len(),
                lengths: form.lengths.len(),
            });
        }
        let len = form.lengths.iter().map(|len| u64::from(*len)).sum();
        if len > MAX_TEXT_BYTES {
            return Err(ManifestError::TooLong(len));
        }
        Ok(Self {
            version: form.version,
            bits: form.bits,
            checksum: parse_id(form.checksum.as_bytes())?,
            chunks: ids.into_iter().zip(form.lengths).collect(),
        })
    }
}

fn parse_id(digits: &[u8]) -> Result<u64, ManifestError> {
    let text = std::str::from_utf8(digits).ok();
    let text = text.filter(|text| text.len() == ID_DIGITS && !text.starts_with('+'));
    let id = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    id.ok_or(ManifestError::MalformedId)
}
