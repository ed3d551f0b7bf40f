//! Tests of the reassembly of one direction of a connection against the bytes that were sent.

use proptest::prelude::*;
use stonescale_capture::reassembly::*;

/// Processes segments (sequence number, payload, FIN) and returns the output, with a question mark for each missing
/// byte.
fn reassemble(reassembler: &mut StreamReassembler, segments: &[(u32, Vec<u8>, bool)]) -> Vec<u8> {
    let mut output = Vec::new();
    let mut out = |item: StreamItem| match item {
        StreamItem::Bytes(bytes) => output.extend_from_slice(bytes),
        StreamItem::Gap(missing) => output.extend(std::iter::repeat_n(b'?', missing as usize)),
    };
    for (sequence, payload, fin) in segments {
        reassembler.process_segment(
            Segment { sequence: *sequence, fin: *fin, payload, ..Segment::default() },
            &mut out,
        );
    }
    reassembler.finish(&mut out);
    output
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn stream_is_restored_from_any_order_of_overlapping_segments(
        text in prop::collection::vec(any::<u8>(), 1..300),
        overlaps in prop::collection::vec((any::<prop::sample::Index>(), 1..40usize), 0..40),
        order in any::<u64>(), initial_sequence in any::<u32>(),
    ) {
        // Segments that cover the whole stream once, and overlapping ones at random places, all in random order behind
        // the SYN.
        let mut segments: Vec<(u32, Vec<u8>, bool)> = Vec::new();
        let mut start = 0;
        while start < text.len() {
            let end = (start + 1 + (order as usize + start * 7) % 23).min(text.len());
            segments.push((
                initial_sequence.wrapping_add(1 + start as u32), text[start..end].to_vec(), end == text.len(),
            ));
            start = end;
        }
        for (start, length) in overlaps {
            let start = start.index(text.len());
            let end = (start + length).min(text.len());
            segments.push((
                initial_sequence.wrapping_add(1 + start as u32), text[start..end].to_vec(), end == text.len(),
            ));
        }
        let mut random_state = order;
        for index in (1..segments.len()).rev() {
            random_state = random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            segments.swap(index, (random_state >> 33) as usize % (index + 1));
        }
        let mut reassembler = StreamReassembler::default();
        reassembler.process_segment(
            Segment { sequence: initial_sequence, syn: true, ..Segment::default() },
            |_| panic!("a SYN without payload emits nothing"),
        );
        prop_assert_eq!(reassemble(&mut reassembler, &segments), text);
        prop_assert_eq!(
            (reassembler.state(), reassembler.stats.gaps, reassembler.stats.conflicting_bytes),
            (StreamState::Finished, 0, 0)
        );
        prop_assert_eq!(reassembler.allocated_bytes(), 0);
    }

    #[test]
    fn bytes_of_lost_segments_are_reported_as_gaps(
        text in prop::collection::vec(1..=b'>', 1..300), lost_mask in any::<u64>(), order in any::<u64>(),
    ) {
        let mut segments = Vec::new();
        let mut expected = Vec::new();
        for (index, part) in text.chunks(7).enumerate() {
            let last = (index + 1) * 7 >= text.len();
            if lost_mask >> (index % 64) & 1 == 0 || last {
                segments.push((100 + 7 * index as u32, part.to_vec(), last));
                expected.extend_from_slice(part);
            } else {
                expected.extend(std::iter::repeat_n(b'?', part.len()));
            }
        }
        let mut random_state = order;
        for index in (1..segments.len()).rev() {
            random_state = random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            segments.swap(index, (random_state >> 33) as usize % (index + 1));
        }
        let mut reassembler = StreamReassembler::default();
        reassembler.process_segment(Segment { sequence: 99, syn: true, ..Segment::default() }, |_| ());
        prop_assert_eq!(reassemble(&mut reassembler, &segments), expected);
    }
}

#[test]
fn gap_beyond_the_window_is_reported_without_buffering_it() {
    let mut reassembler = StreamReassembler::default();
    let (mut bytes, mut missing) = (Vec::new(), 0);
    for (sequence, text) in [(0, "one"), (500_000_000, "two"), (500_000_003, "three")] {
        let segment = Segment { sequence, payload: text.as_bytes(), ..Segment::default() };
        reassembler.process_segment(segment, |item| match item {
            StreamItem::Bytes(more) => bytes.extend_from_slice(more),
            StreamItem::Gap(more) => missing += more,
        });
        assert!(reassembler.allocated_bytes() < 4_096);
    }
    assert_eq!((String::from_utf8(bytes).unwrap(), missing), ("onetwothree".into(), 499_999_997));
}

#[test]
fn first_copy_of_conflicting_overlap_is_kept_and_the_conflict_counted() {
    let mut reassembler = StreamReassembler::default();
    reassembler.process_segment(Segment { sequence: 99, syn: true, ..Segment::default() }, |_| ());
    // The first two segments are out of order, and the second extends beyond the first on both sides.
    let output = reassemble(
        &mut reassembler,
        &[(104, b"bcd".into(), false), (103, b"aXXXe".into(), false), (100, b"123".into(), false)],
    );
    assert_eq!(
        (String::from_utf8(output).unwrap(), reassembler.stats.conflicting_bytes),
        ("123abcde".into(), 3)
    );
}
