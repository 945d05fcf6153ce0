//! Malformed messages are rejected, with memory use bounded by their length.

use ibiscove_wire::messages::{Call, Entry, Push, Request};
use ibiscove_wire::{decode, encode};

fn push() -> Vec<u8> {
    let entry = Entry {
        key: "node/1".to_owned(),
        version: 7,
        body: b"row".to_vec(),
        checksum: 11,
    };
    let call = Call {
        id: 1,
        request: Request::Push(Push {
            entries: vec![entry],
        }),
    };
    encode(&call).expect("the call can be encoded")
}

#[test]
fn a_truncated_message_is_rejected() {
    let complete = push();
    assert!(decode::<Call>(&complete).is_ok());
    for len in 0..complete.len() {
        assert!(
            decode::<Call>(&complete[..len]).is_err(),
            "truncated to {len} bytes"
        );
    }
}

#[test]
fn a_message_with_a_corrupt_byte_is_decoded_or_rejected_without_a_panic() {
    let complete = push();
    for index in 0..complete.len() {
        for value in 0..=u8::MAX {
            let mut corrupt = complete.clone();
            corrupt[index] = value;
            // Both results are fine; a panic or a huge allocation is not.
            let _ = decode::<Call>(&corrupt);
        }
    }
}

#[test]
fn a_list_that_claims_more_elements_than_the_message_has_bytes_is_rejected() {
    // Call 1, request, push, entries: a list of structs of 2^31 - 1 elements.
    let oversized = b"\x16\x02\x1c\x4c\x19\xfc\xff\xff\xff\xff\x07";
    let err = decode::<Call>(oversized).expect_err("no message holds so many elements");
    assert!(err.to_string().contains("too long"), "{err}");
}

#[test]
fn a_request_of_an_unknown_kind_is_rejected() {
    // Call 1, request: a union whose only field is number 99, a boolean.
    let unknown = b"\x16\x02\x1c\x01\xc6\x01\x00\x00";
    assert!(decode::<Call>(unknown).is_err());
}
