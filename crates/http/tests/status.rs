//! Statuses in the bytes of a connection, however they are cut.

use ibiscove_http::status::{NoAnswer, StatusWatch, require_final};
use yare::parameterized;

#[parameterized(
    lowest = { 200, Ok(()) },
    highest = { 599, Ok(()) },
    zero = { 0, Err(NoAnswer(0)) },
    interim = { 100, Err(NoAnswer(100)) },
    switching = { 101, Err(NoAnswer(101)) },
    last_interim = { 199, Err(NoAnswer(199)) },
    above = { 600, Err(NoAnswer(600)) },
    three_digits = { 999, Err(NoAnswer(999)) },
)]
fn final_statuses_are_those_of_200_to_599(status: u16, expected: Result<(), NoAnswer>) {
    assert_eq!(require_final(status), expected);
}

#[parameterized(
    usual = { "HTTP/1.1 200 OK\r\n\r\n", Ok(Some(200)) },
    old_version = { "HTTP/1.0 404 \r\n\r\n", Ok(Some(404)) },
    zero = { "HTTP/1.1 000 Odd\r\n\r\n", Err(NoAnswer(0)) },
    too_high = { "HTTP/1.1 600 Odd\r\n\r\n", Err(NoAnswer(600)) },
    after_empty_lines = { "\r\n\r\nHTTP/1.1 600 Odd\r\n\r\n", Err(NoAnswer(600)) },
    after_a_request_for_the_body = { "HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 600 Odd\r\n\r\n", Err(NoAnswer(600)) },
    final_after_interim = { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 OK\r\n\r\n", Ok(Some(201)) },
    in_a_body = { "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 600 Odd\r\n\r\n", Ok(Some(200)) },
    no_http = { "SSH-2.0-OpenSSH_9.9 600", Ok(None) },
    no_digits = { "HTTP/1.1 6e2 Odd\r\n\r\n", Ok(None) },
)]
fn status_is_found_wherever_reads_are_cut(bytes: &str, expected: Result<Option<u16>, NoAnswer>) {
    for cut in 0..bytes.len() {
        let mut watch = StatusWatch::default();
        watch.expect_answer();
        let (first, rest) = bytes.as_bytes().split_at(cut);
        let found = match watch.read(first) {
            Ok(None) => watch.read(rest),
            found => found,
        };
        assert_eq!(found, expected, "cut after {cut} bytes");
    }
}

#[test]
fn bytes_without_a_request_are_no_answer_to_check() {
    let mut watch = StatusWatch::default();
    assert_eq!(watch.read(b"HTTP/1.1 600 Odd\r\n\r\n"), Ok(None));
}
