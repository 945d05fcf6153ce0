//! Heads of chunks, in the bytes of a connection.

use ibiscove_http::ChunkHeadWatch;
use ibiscove_http::chunk_heads::MAX_CHUNK_HEAD_BYTES;
use yare::parameterized;

const CHUNKED: &str = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns whether all is read, in pieces of `piece` bytes.
fn is_accepted(message: &[u8], piece: usize) -> bool {
    let mut watch = ChunkHeadWatch::default();
    message.chunks(piece).all(|bytes| watch.read(bytes).is_ok())
}

/// Guards against memory and processor time without limit for the head of a chunk.
#[parameterized(
    zeros = { "", "0" },
    blanks = { "1", " " },
    extension = { "1;a=", "b" },
    second_chunk = { "1\r\na\r\n1;", "a" },
)]
fn head_of_a_chunk_without_end_is_refused(chunks: &str, filler: &str) {
    let message = format!(
        "{CHUNKED}{chunks}{}",
        filler.repeat(MAX_CHUNK_HEAD_BYTES + 1)
    );
    for piece in [1, 7, 4_096, message.len()] {
        assert!(!is_accepted(message.as_bytes(), piece), "{piece}");
    }
}

/// Long contents and any number of messages are no heads of chunks.
#[parameterized(
    chunks = { "4000\r\n", "\r\n4;a=b\r\nabcd\r\n0\r\n\r\n" },
    length = { "", "" },
)]
fn contents_of_any_length_are_accepted(before: &str, after: &str) {
    let content = "0".repeat(0x4000);
    let head = match before {
        "" => "POST / HTTP/1.1\r\nCONTENT-LENGTH: 16384\r\n\r\n",
        _ => CHUNKED,
    };
    let message = format!("{head}{before}{content}{after}\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n");
    let messages = message.repeat(3);
    for piece in [1, 7, 4_096, messages.len()] {
        assert!(is_accepted(messages.as_bytes(), piece), "{piece}");
    }
    let mut watch = ChunkHeadWatch::default();
    let first = head.len() + before.len() + content.len() + after.len();
    for (at, byte) in message.bytes().enumerate() {
        watch.read(&[byte]).expect("the message is well-formed");
        let is_last = at + 1 == message.len();
        let expected = u64::from(at + 1 >= first) + u64::from(is_last);
        assert_eq!(watch.complete_messages(), expected, "{at}");
    }
}
