//! Tests of the parsers with complete input, with input in fragments of several sizes, and with malformed input.

use rstest::rstest;
use stonescale_formats::http::ResponseParser;
use stonescale_formats::json_objects::{ObjectAssembler, Progress};
use stonescale_formats::json_rpc::{self, MessageHandler};
use stonescale_formats::lines::LineBuffer;
use stonescale_formats::resp::{ElementKind, MessageLimits, Scanner, write_bulk_string, write_error};

const LIMITS: MessageLimits =
    MessageLimits { max_elements: 4, max_bulk_bytes: 100, max_line_bytes: 40, max_message_bytes: 200 };

/// Length of a message and its elements; `None` while it is incomplete.
type Scanned = Option<(usize, Vec<(ElementKind, Vec<u8>)>)>;

/// Scans prefixes of `bytes`, each `step` bytes longer than the one before, until a message is complete.
fn scan(bytes: &[u8], step: usize) -> Result<Scanned, &'static str> {
    let mut scanner = Scanner::new(LIMITS);
    let mut end = 0;
    while end < bytes.len() {
        end = (end + step).min(bytes.len());
        if let Some(length) = scanner.scan(&bytes[..end])? {
            let elements = scanner
                .elements
                .iter()
                .map(|element| (element.kind, bytes[element.payload.clone()].to_vec()));
            return Ok(Some((length, elements.collect())));
        }
    }
    Ok(None)
}

#[rstest]
fn resp_message_is_scanned_across_fragments(#[values(1, 2, 3, 7, 1000)] step: usize) {
    let message = b"*4\r\n$5\r\nva\r\ne\r\n$-1\r\n:12\r\n$0\r\n\r\n";
    let input = [&message[..], b"+PONG\r\n"].concat();
    let (length, elements) = scan(&input, step).unwrap().unwrap();
    assert_eq!(length, message.len());
    let expected = [
        (ElementKind::BulkString, &b"va\r\ne"[..]),
        (ElementKind::Null, b"-1"),
        (ElementKind::Integer, b"12"),
        (ElementKind::BulkString, b""),
    ];
    assert_eq!(elements, expected.map(|(kind, text)| (kind, text.to_vec())));
    assert_eq!(scan(message[..message.len() - 1].as_ref(), step), Ok(None));
}

#[rstest]
#[case::unknown_type(b"GET / HTTP/1.1\r\n")]
#[case::null_array(b"*-1\r\n")]
#[case::element_count_over_limit(b"*99999\r\n")]
#[case::element_count_not_a_number(b"*x\r\n")]
#[case::bulk_length_beyond_32_bits(b"*1\r\n$4294967296\r\n")]
#[case::bulk_length_over_limit(b"*1\r\n$101\r\n")]
#[case::negative_bulk_length(b"*1\r\n$-5\r\n")]
#[case::bulk_length_with_plus_sign(b"*1\r\n$+5\r\n")]
#[case::unterminated_bulk_length(b"*1\r\n$00000000000000000000000000000000")]
#[case::nested_array(b"*1\r\n*1\r\n")]
#[case::unterminated_error_line(b"-01234567890123456789012345678901234567890123456789")]
#[case::cr_without_lf(b"+PONG\rX")]
#[case::bulk_longer_than_its_length(b"$2\r\nabcd")]
fn malformed_resp_message_is_an_error(#[case] bytes: &[u8], #[values(1, 1000)] step: usize) {
    assert!(scan(bytes, step).is_err());
}

#[rstest]
fn scanner_does_not_panic_on_random_bytes() {
    let mut random_state: u64 = 1;
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..24)
            .map(|_| {
                random_state =
                    random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                b"*$+-:\r\n0123\r\n$*a"[(random_state >> 33) as usize % 16]
            })
            .collect();
        let unfragmented = scan(&bytes, 1000);
        assert_eq!(scan(&bytes, 1).is_err(), unfragmented.is_err());
    }
}

#[rstest]
fn written_error_contains_no_line_end_and_bulk_string_keeps_its_own() {
    let mut out = Vec::new();
    write_error(&mut out, "ERR two\r\nlines");
    write_bulk_string(&mut out, b"a\r\n");
    assert_eq!(out, b"-ERR two  lines\r\n$3\r\na\r\n\r\n");
}

#[rstest]
fn chunked_response_is_parsed_across_fragments(#[values(1, 3, 1000)] step: usize) {
    let input = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=1\r\n{\"a\"\r\nc\r\n:1}\n{\"b\":2}\n\r\n0\r\n\r\n";
    let (mut response, mut body) = (ResponseParser::default(), Vec::new());
    input.chunks(step).for_each(|fragment| response.feed(fragment, &mut body).unwrap());
    assert!(response.is_complete());
    assert_eq!((response.status, &body[..]), (200, &b"{\"a\":1}\n{\"b\":2}\n"[..]));
}

#[rstest]
#[case::content_length(b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno", true, b"no")]
#[case::close_delimited(b"HTTP/1.1 200 OK\r\n\r\nall", false, b"all")]
fn content_length_and_close_delimited_bodies_are_parsed(
    #[case] input: &[u8], #[case] complete: bool, #[case] expected: &[u8],
) {
    let (mut response, mut body) = (ResponseParser::default(), Vec::new());
    response.feed(input, &mut body).unwrap();
    assert_eq!(
        (response.is_complete(), response.is_close_delimited(), &body[..]),
        (complete, !complete, expected)
    );
}

#[rstest]
#[case::other_protocol(b"SSH-2.0\r\n")]
#[case::status_code_not_a_number(b"HTTP/1.1 abc\r\n")]
#[case::chunk_size_not_a_number(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")]
#[case::chunk_size_over_limit(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n")]
#[case::data_after_the_end(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nx")]
#[case::chunk_longer_than_its_size(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n")]
fn malformed_response_is_an_error(#[case] bytes: &[u8]) {
    assert!(ResponseParser::default().feed(bytes, &mut Vec::new()).is_err());
}

#[rstest]
fn lines_are_split_at_lf_or_cr_lf_and_limited_in_length() {
    let (mut lines, mut line) = (LineBuffer::new(8), Vec::new());
    lines.feed(b"one\r\n\ntw");
    assert_eq!((lines.next_line(&mut line), line.clone()), (Ok(true), b"one".to_vec()));
    assert_eq!((lines.next_line(&mut line), line.clone()), (Ok(true), Vec::new()));
    assert_eq!(lines.next_line(&mut line), Ok(false));
    lines.feed(b"o\n123456789");
    assert_eq!((lines.next_line(&mut line), line.clone()), (Ok(true), b"two".to_vec()));
    assert!(lines.next_line(&mut line).is_err());
}

/// Records the messages that were dispatched.
#[derive(Default)]
struct RecordingHandler(Vec<String>);

impl MessageHandler for RecordingHandler {
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
fn json_rpc_line_is_dispatched_by_its_kind(#[case] line: &str, #[case] expected: Result<&str, &str>) {
    let mut handler = RecordingHandler::default();
    let dispatched = json_rpc::dispatch_message(line.as_bytes(), &mut handler);
    assert_eq!(dispatched.map(|()| handler.0.concat()), expected.map(str::to_owned));
}

#[rstest]
fn incomplete_bulk_string_gives_the_required_message_length() {
    let limits =
        MessageLimits { max_elements: 8, max_bulk_bytes: 100, max_line_bytes: 64, max_message_bytes: 400 };
    let message = b"*2\r\n$4\r\nPING\r\n$50\r\nhalf of it";
    let mut scanner = Scanner::new(limits);
    let required_lengths: Vec<_> = (1..=message.len())
        .map(|received| {
            assert_eq!(scanner.scan(&message[..received]), Ok(None));
            scanner.required_length()
        })
        .collect();
    // The length is known once the header of a bulk string has arrived: first that of `PING`, which an element
    // follows, then that of the last element.
    assert_eq!(required_lengths[7], Some((14, false)));
    assert_eq!(required_lengths[13], None);
    assert_eq!(required_lengths.last(), Some(&Some((14 + 5 + 50 + 2, true))));
    scanner.reset();
    assert_eq!(scanner.required_length(), None);
}

/// Pushes each line; the progress of each, and the objects completed.
fn assemble(lines: &[&str], max_bytes: usize) -> Result<(Vec<Progress>, Vec<String>), &'static str> {
    let mut assembler = ObjectAssembler::new(max_bytes);
    let (mut all_progress, mut objects) = (Vec::new(), Vec::new());
    for line in lines {
        let progress = assembler.push_line(&mut line.as_bytes().to_vec())?;
        if progress == Progress::Complete {
            objects.push(String::from_utf8(assembler.text().to_vec()).unwrap());
            assembler.release_complete(0);
        }
        all_progress.push(progress);
    }
    Ok((all_progress, objects))
}

#[rstest]
fn objects_are_put_together_from_lines_until_their_brackets_are_closed() {
    use Progress::{Complete, Empty, Partial};
    let lines = ["", "{\"a\":[1]}", "", "{", " \"b}\": \"]\\\"{\",", "\"c\": []", "}", "x", "{}"];
    let (progress, objects) = assemble(&lines, 100).unwrap();
    assert_eq!(progress, [Empty, Complete, Empty, Partial, Partial, Partial, Complete, Complete, Complete]);
    assert_eq!(objects, ["{\"a\":[1]}", "{ \"b}\": \"]\\\"{\",\"c\": []}", "x", "{}"]);
}

#[rstest]
#[case::end_lost(&["{\"a\":", ""], "empty line within an object")]
#[case::string_cut(&["{\"a"], "line ends within a string")]
#[case::closed_twice(&["{}}"], "bracket closed that was not opened")]
#[case::too_long(&["{", "\"0123456789\":1"], "object too long")]
fn lines_that_can_not_become_an_object_are_refused(#[case] lines: &[&str], #[case] error: &str) {
    assert_eq!(assemble(lines, 12).unwrap_err(), error);
}
