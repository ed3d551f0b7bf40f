//! The simulator's wire format: layout of batches and replies, skipped records, and errors for malformed input.

use rstest::rstest;
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"azs": ["a"], "novelty": 7, "me": 0, "siblings": 1, "zone": 0, "tick_ns": 5000000,
 "classes": [{"aim_ns": 400000000, "deadline_ns": 1500000000, "effect": "fragile", "worth": 1.0}],
 "limits": {"attempts_cap": 5, "cancelling": true, "second_copies": true, "retry_after": false},
 "membership_mode": "ask",
 "rules": {"ask_within_ns": 10000000000, "cold_from": 0.3, "warm_up_ns": 4000000000, "fall_multiple": 2.0},
 "specifics": {"allowance": 1.0, "call_timeout_ns": 800000000, "calls_per_s": 20.0, "counts": "all",
  "gate_mode": "automatic", "most_shares": [0.1, 1.0], "noes_needed": 1, "vote_stands_ns": 4000000000}}"#;

fn record(code: u16, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&code.to_le_bytes()[..], &(body.len() as u32).to_le_bytes(), &body].concat()
}

fn batch(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let length = (16 + body.len()) as u32;
    let header = [(records.len() as u32).to_le_bytes(), length.to_le_bytes()].concat();
    [header, 9_000_000_000u64.to_le_bytes().to_vec(), body].concat()
}

const MARSHAL_ID: [u8; 4] = [3, 0, 0, 0];
const NODE: [u8; 6] = [10, 18, 74, 7, 0x93, 0x1f];

fn spawn(settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_le_bytes();
    record(1050, &[&MARSHAL_ID, &[1; 8], &length, settings.as_bytes()])
}

fn directory() -> Vec<u8> {
    let attributes = [0u8, 0, 0, 0, 0, 1];
    let weight_and_build = [1.0f32.to_le_bytes(), 42.0f32.to_le_bytes()].concat();
    record(1120, &[&[0], &1u32.to_le_bytes(), &NODE, &attributes, &weight_and_build, &[0; 8]])
}

fn sync() -> Vec<u8> {
    record(1040, &[&MARSHAL_ID, &[2], &[1; 8], &[0]])
}

fn ingress() -> Vec<u8> {
    let (id, tenant, key) = (7u32.to_le_bytes(), [0; 4], [0; 8]);
    let (grace, work_hint) = (900_000_000u64.to_le_bytes(), [0; 8]);
    record(1070, &[&MARSHAL_ID, &id, &[0], &tenant, &key, &grace, &work_hint, &[0, 0], b"longer than today"])
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stonescale-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the adapter");
    // Ignores write errors: the adapter exits on malformed input and closes its end of the pipe.
    let _ = child.stdin.take().expect("stdin is piped").write_all(input);
    child.wait_with_output().expect("failed to wait for the adapter")
}

/// Record codes of each reply in the adapter's output.
fn reply_codes(mut replies: &[u8]) -> Vec<Vec<u16>> {
    let read_u32 = |bytes: &[u8]| u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    let mut all = Vec::new();
    while !replies.is_empty() {
        let (reply, rest) = replies.split_at(read_u32(replies));
        let (count, mut records, mut codes) = (read_u32(&reply[4..]), &reply[8..], Vec::new());
        while !records.is_empty() {
            codes.push(u16::from_le_bytes([records[0], records[1]]));
            records = &records[6 + read_u32(&records[2..])..];
        }
        assert_eq!(codes.len(), count);
        all.push(codes);
        replies = rest;
    }
    all
}

#[rstest]
fn empty_batch_gets_an_empty_reply() {
    let output = run(&batch(&[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [8, 0, 0, 0, 0, 0, 0, 0]);
}

/// Guards the byte layout of a forward, and that records of unknown codes and trailing bytes of known ones are skipped.
/// A marshal that is started again after its exit makes the same first calls.
#[rstest]
fn hit_is_forwarded_in_the_documented_layout() {
    let unknown_record = record(4711, &[b"from a later version"]);
    let output = run(&[
        batch(&[spawn(SETTINGS), directory(), sync()]),
        batch(&[unknown_record, ingress()]),
        batch(&[record(1000, &[&MARSHAL_ID]), spawn(SETTINGS), sync()]),
    ]
    .concat());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(reply_codes(&output.stdout), [vec![1100, 1040], vec![1040, 1000], vec![1100, 1040]]);
    let expected: Vec<u8> =
        [&1000u16.to_le_bytes()[..], &22u32.to_le_bytes(), &MARSHAL_ID, &[7, 0, 0, 0], &NODE].concat();
    assert!(output.stdout.windows(expected.len()).any(|window| window == expected));
}

#[rstest]
#[case::truncated_batch(batch(&[spawn(SETTINGS)])[..40].to_vec(), "batch: records: cut off")]
#[case::truncated_header(vec![1, 0, 0], "batch: header cut off")]
#[case::invalid_length([0u8; 16].to_vec(), "batch: length")]
#[case::truncated_record(batch(&[record(1050, &[&MARSHAL_ID, &[1; 3]])]), "spawn: seed: needs 8 bytes")]
#[case::record_past_the_batch(batch(&[vec![0xe8, 3, 200, 0, 0, 0]]), "record: fields: needs 200 bytes")]
#[case::params_not_json(batch(&[spawn("{\"azs\": ")]), "spawn: params: not JSON")]
#[case::missing_key(batch(&[spawn(&SETTINGS.replace("cold_from", "cold"))]), "rules.cold_from is missing")]
#[case::wrong_type(batch(&[spawn(&SETTINGS.replace("\"fragile\"", "3"))]), "classes[0].effect is not a string")]
fn malformed_input_is_reported_in_one_line(#[case] input: Vec<u8>, #[case] expected: &str) {
    let output = run(&input);
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && message.contains(expected) && message.lines().count() == 1,
        "{message}"
    );
}

#[rstest]
fn record_for_an_unknown_instance_is_skipped_with_a_message() {
    let output = run(&batch(&[ingress()]));
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("ingress: marshal: no instance 3"));
    assert_eq!(reply_codes(&output.stdout), [Vec::<u16>::new()]);
}
