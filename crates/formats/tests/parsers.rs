//! The parsers, fed whole, byte by byte, and with what is no message.

use rstest::rstest;
use stonescale_formats::http::ResponseParser;
use stonescale_formats::json_rpc::{self, MessageHandler};
use stonescale_formats::lines::LineBuffer;
use stonescale_formats::resp::{ElementKind, MessageLimits, Scanner, write_bulk_string, write_error};

const BOUNDS: MessageLimits =
    MessageLimits { max_elements: 4, max_bulk_bytes: 100, max_line_bytes: 40, max_message_bytes: 200 };

type Found = Option<(usize, Vec<(ElementKind, Vec<u8>)>)>;

/// Scans `bytes` as they grow by `step`; returns the message's length and its parts.
fn scan(bytes: &[u8], step: usize) -> Result<Found, &'static str> {
    let mut scanner = Scanner::new(BOUNDS);
    let mut end = 0;
    while end < bytes.len() {
        end = (end + step).min(bytes.len());
        if let Some(length) = scanner.scan(&bytes[..end])? {
            let parts = scanner.elements.iter().map(|p| (p.kind, bytes[p.payload.clone()].to_vec()));
            return Ok(Some((length, parts.collect())));
        }
    }
    Ok(None)
}

#[rstest]
fn a_message_is_found_however_it_is_cut(#[values(1, 2, 3, 7, 1000)] step: usize) {
    let message = b"*4\r\n$5\r\nva\r\ne\r\n$-1\r\n:12\r\n$0\r\n\r\n";
    let next = [&message[..], b"+PONG\r\n"].concat();
    let (length, parts) = scan(&next, step).unwrap().unwrap();
    assert_eq!(length, message.len());
    let expected = [
        (ElementKind::BulkString, &b"va\r\ne"[..]),
        (ElementKind::Null, b"-1"),
        (ElementKind::Integer, b"12"),
        (ElementKind::BulkString, b""),
    ];
    assert_eq!(parts, expected.map(|(kind, text)| (kind, text.to_vec())));
    assert_eq!(scan(message[..message.len() - 1].as_ref(), step), Ok(None));
}

#[rstest]
#[case::type_unknown(b"GET / HTTP/1.1\r\n")]
#[case::count_negative(b"*-1\r\n")]
#[case::count_huge(b"*99999\r\n")]
#[case::count_no_number(b"*x\r\n")]
#[case::length_huge(b"*1\r\n$4294967296\r\n")]
#[case::length_over(b"*1\r\n$101\r\n")]
#[case::length_negative(b"*1\r\n$-5\r\n")]
#[case::length_signed(b"*1\r\n$+5\r\n")]
#[case::length_endless(b"*1\r\n$00000000000000000000000000000000")]
#[case::nested(b"*1\r\n*1\r\n")]
#[case::line_endless(b"-01234567890123456789012345678901234567890123456789")]
#[case::line_end_half(b"+PONG\rX")]
#[case::bulk_longer(b"$2\r\nabcd")]
fn what_is_no_message_is_an_error(#[case] bytes: &[u8], #[values(1, 1000)] step: usize) {
    assert!(scan(bytes, step).is_err());
}

#[rstest]
fn no_bytes_make_a_scanner_panic() {
    let mut lot: u64 = 1;
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..24)
            .map(|_| {
                lot = lot.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                b"*$+-:\r\n0123\r\n$*a"[(lot >> 33) as usize % 16]
            })
            .collect();
        let whole = scan(&bytes, 1000);
        assert_eq!(scan(&bytes, 1).is_err(), whole.is_err());
    }
}

#[rstest]
fn what_is_written_ends_where_it_should() {
    let mut out = Vec::new();
    write_error(&mut out, "ERR two\r\nlines");
    write_bulk_string(&mut out, b"a\r\n");
    assert_eq!(out, b"-ERR two  lines\r\n$3\r\na\r\n\r\n");
}

#[rstest]
fn a_chunked_answer_is_read_however_it_is_cut(#[values(1, 3, 1000)] step: usize) {
    let answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=1\r\n{\"a\"\r\nc\r\n:1}\n{\"b\":2}\n\r\n0\r\n\r\n";
    let (mut response, mut body) = (ResponseParser::default(), Vec::new());
    answer.chunks(step).for_each(|part| response.feed(part, &mut body).unwrap());
    assert!(response.is_complete());
    assert_eq!((response.status, &body[..]), (200, &b"{\"a\":1}\n{\"b\":2}\n"[..]));
}

#[rstest]
#[case::counted(b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno", true, b"no")]
#[case::to_the_end(b"HTTP/1.1 200 OK\r\n\r\nall", false, b"all")]
fn other_bodies_are_read_too(#[case] answer: &[u8], #[case] done: bool, #[case] expected: &[u8]) {
    let (mut response, mut body) = (ResponseParser::default(), Vec::new());
    response.feed(answer, &mut body).unwrap();
    assert_eq!((response.is_complete(), response.is_close_delimited(), &body[..]), (done, !done, expected));
}

#[rstest]
#[case::other(b"SSH-2.0\r\n")]
#[case::status(b"HTTP/1.1 abc\r\n")]
#[case::size(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")]
#[case::huge(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n")]
#[case::past_the_end(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nx")]
#[case::chunk_longer(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n")]
fn what_is_no_answer_is_an_error(#[case] bytes: &[u8]) {
    assert!(ResponseParser::default().feed(bytes, &mut Vec::new()).is_err());
}

#[rstest]
fn lines_are_cut_at_their_ends_and_bounded() {
    let (mut lines, mut line) = (LineBuffer::new(8), Vec::new());
    lines.feed(b"one\r\n\ntw");
    assert_eq!((lines.next_line(&mut line), line.clone()), (Ok(true), b"one".to_vec()));
    assert_eq!((lines.next_line(&mut line), line.clone()), (Ok(true), Vec::new()));
    assert_eq!(lines.next_line(&mut line), Ok(false));
    lines.feed(b"o\n123456789");
    assert_eq!((lines.next_line(&mut line), line.clone()), (Ok(true), b"two".to_vec()));
    assert!(lines.next_line(&mut line).is_err());
}

#[derive(Default)]
struct Heard(Vec<String>);

impl MessageHandler for Heard {
    fn on_result(&mut self, id: u64, result: &serde_json::Value) {
        self.0.push(format!("{id} {result}"));
    }
    fn on_error(&mut self, id: u64, message: &str) {
        self.0.push(format!("{id} failed: {message}"));
    }
    fn on_notification(&mut self, method: &str, params: &serde_json::Value) {
        self.0.push(format!("{method} {params}"));
    }
}

#[rstest]
#[case(r#"{"jsonrpc":"2.0","id":3,"result":true}"#, Ok("3 true"))]
#[case(
    r#"{"jsonrpc":"2.0","id":3,"error":{"code":-32602,"message":"Throttling"}}"#,
    Ok("3 failed: Throttling")
)]
#[case(r#"{"jsonrpc":"2.0","method":"ping"}"#, Ok("ping null"))]
#[case(r#"{"jsonrpc":"2.0","id":3}"#, Err("neither a result nor an error"))]
#[case(r#"{"result":1}"#, Err("neither a method nor the id of a call"))]
#[case("]", Err("not JSON"))]
fn a_line_of_json_rpc_goes_where_it_belongs(#[case] line: &str, #[case] expected: Result<&str, &str>) {
    let mut heard = Heard::default();
    let read = json_rpc::dispatch_message(line.as_bytes(), &mut heard);
    assert_eq!(read.map(|()| heard.0.concat()), expected.map(str::to_owned));
}

#[rstest]
fn a_bulk_string_that_is_not_whole_says_how_long_the_message_must_be() {
    let bounds =
        MessageLimits { max_elements: 8, max_bulk_bytes: 100, max_line_bytes: 64, max_message_bytes: 400 };
    let message = b"*2\r\n$4\r\nPING\r\n$50\r\nhalf of it";
    let mut scanner = Scanner::new(bounds);
    let seen: Vec<_> = (1..=message.len())
        .map(|n| {
            assert_eq!(scanner.scan(&message[..n]), Ok(None));
            scanner.required_length()
        })
        .collect();
    // Known once its header is in: first the word, behind which more comes, then the last part.
    assert_eq!(seen[7], Some((14, false)));
    assert_eq!(seen[13], None);
    assert_eq!(seen.last(), Some(&Some((14 + 5 + 50 + 2, true))));
    scanner.reset();
    assert_eq!(scanner.required_length(), None);
}
