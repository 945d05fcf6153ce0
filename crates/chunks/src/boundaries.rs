//! Boundaries that depend on the content.

/// Binary logarithm of the average size of chunks, in bytes.
pub type ChunkBits = u8;

/// Smallest and largest average sizes. Below the smallest, compression loses more than
/// finer chunks save; above the largest, a chunk takes a noticeable part of a second on a
/// link of 10 Mbit/s.
const MIN_BITS: ChunkBits = 11;
const MAX_BITS: ChunkBits = 16;
/// Bytes by which a manifest describes one chunk.
const MANIFEST_BYTES_PER_CHUNK: usize = 22;
/// Least and greatest size of a chunk relative to the average, as binary logarithms.
const MIN_SHIFT: u32 = 2;
const MAX_SHIFT: u32 = 2;

/// Returns the average size of chunks for a text of `len` bytes. A small change costs the
/// manifest and about two chunks, which is least where both are of equal size.
pub fn chunk_bits(len: usize) -> ChunkBits {
    let size = (len * MANIFEST_BYTES_PER_CHUNK / 2).isqrt().max(1);
    let bits = ChunkBits::try_from(size.ilog2()).unwrap_or(MAX_BITS);
    bits.clamp(MIN_BITS, MAX_BITS)
}

/// Divides a text into chunks, which are not empty and follow each other.
pub fn split(text: &[u8], bits: ChunkBits) -> impl Iterator<Item = &[u8]> {
    let bits = bits.clamp(MIN_BITS, MAX_BITS);
    let mut rest = text;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let (chunk, after) = rest.split_at(first_boundary(rest, bits));
        rest = after;
        Some(chunk)
    })
}

/// Returns the end of the first chunk: where the highest bits of a rolling hash over the
/// last 64 bytes are zero, within the least and the greatest size.
fn first_boundary(text: &[u8], bits: ChunkBits) -> usize {
    let average = 1_usize << bits;
    let (min, max) = (average >> MIN_SHIFT, average << MAX_SHIFT);
    let end = text.len().min(max);
    let mask = u64::MAX << (64 - u32::from(bits));
    let mut hash = 0_u64;
    for (at, byte) in text[..end].iter().enumerate().skip(min.saturating_sub(64)) {
        hash = (hash << 1).wrapping_add(GEAR[usize::from(*byte)]);
        if at >= min && hash & mask == 0 {
            return at + 1;
        }
    }
    end
}

/// A random number for each byte. All nodes need the same, as boundaries depend on them.
static GEAR: [u64; 256] = gear();

/// Fills the table by SplitMix64 with seed 0.
const fn gear() -> [u64; 256] {
    let mut table = [0; 256];
    let mut state = 0_u64;
    let mut at = 0;
    while at < table.len() {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = state;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        table[at] = value ^ (value >> 31);
        at += 1;
    }
    table
}
