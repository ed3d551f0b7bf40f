//! One direction of a connection against the bytes that were sent on it.

use proptest::prelude::*;
use stonescale_capture::half::*;

/// All that came out, gaps as so many question marks.
fn play(half: &mut Half, segments: &[(u32, Vec<u8>, bool)]) -> Vec<u8> {
    let mut text = Vec::new();
    let mut out = |piece: Piece| match piece {
        Piece::Bytes(bytes) => text.extend_from_slice(bytes),
        Piece::Gap(lacks) => text.extend(std::iter::repeat_n(b'?', lacks as usize)),
    };
    for (seq, bytes, fin) in segments {
        half.take(Segment { seq: *seq, fin: *fin, bytes, ..Segment::default() }, &mut out);
    }
    half.finish(&mut out);
    text
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_segmentation_order_and_repetition_gives_the_same_bytes(
        text in prop::collection::vec(any::<u8>(), 1..300),
        cuts in prop::collection::vec((any::<prop::sample::Index>(), 1..40usize), 0..40),
        order in any::<u64>(), first in any::<u32>(),
    ) {
        // The whole once in pieces, and further pieces anywhere; in any order but for the SYN.
        let mut segments: Vec<(u32, Vec<u8>, bool)> = Vec::new();
        let mut at = 0;
        while at < text.len() {
            let to = (at + 1 + (order as usize + at * 7) % 23).min(text.len());
            segments.push((first.wrapping_add(1 + at as u32), text[at..to].to_vec(), to == text.len()));
            at = to;
        }
        for (from, length) in cuts {
            let from = from.index(text.len());
            let to = (from + length).min(text.len());
            segments.push((first.wrapping_add(1 + from as u32), text[from..to].to_vec(), to == text.len()));
        }
        let mut state = order;
        for at in (1..segments.len()).rev() {
            state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            segments.swap(at, (state >> 33) as usize % (at + 1));
        }
        let mut half = Half::default();
        half.take(Segment { seq: first, syn: true, ..Segment::default() }, |_| panic!("a SYN holds nothing"));
        prop_assert_eq!(play(&mut half, &segments), text);
        prop_assert_eq!((half.state(), half.seen.gaps, half.seen.differing), (State::Finished, 0, 0));
        prop_assert_eq!(half.occupies(), 0);
    }

    #[test]
    fn with_some_missing_every_byte_is_either_there_or_told_as_missing(
        text in prop::collection::vec(1..=b'>', 1..300), lost in any::<u64>(), order in any::<u64>(),
    ) {
        let mut segments = Vec::new();
        let mut expected = Vec::new();
        for (number, part) in text.chunks(7).enumerate() {
            let last = (number + 1) * 7 >= text.len();
            if lost >> (number % 64) & 1 == 0 || last {
                segments.push((100 + 7 * number as u32, part.to_vec(), last));
                expected.extend_from_slice(part);
            } else {
                expected.extend(std::iter::repeat_n(b'?', part.len()));
            }
        }
        let mut state = order;
        for at in (1..segments.len()).rev() {
            state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            segments.swap(at, (state >> 33) as usize % (at + 1));
        }
        let mut half = Half::default();
        half.take(Segment { seq: 99, syn: true, ..Segment::default() }, |_| ());
        prop_assert_eq!(play(&mut half, &segments), expected);
    }
}

#[test]
fn a_hole_larger_than_what_may_be_held_is_told_as_a_gap_and_takes_no_memory() {
    let mut half = Half::default();
    let (mut bytes, mut lacks) = (Vec::new(), 0);
    for (seq, text) in [(0, "one"), (500_000_000, "two"), (500_000_003, "three")] {
        let segment = Segment { seq, bytes: text.as_bytes(), ..Segment::default() };
        half.take(segment, |piece| match piece {
            Piece::Bytes(more) => bytes.extend_from_slice(more),
            Piece::Gap(more) => lacks += more,
        });
        assert!(half.occupies() < 4_096);
    }
    assert_eq!((String::from_utf8(bytes).unwrap(), lacks), ("onetwothree".into(), 499_999_997));
}

#[test]
fn of_segments_that_overlap_and_differ_the_first_copy_counts_and_the_rest_is_told() {
    let mut half = Half::default();
    half.take(Segment { seq: 99, syn: true, ..Segment::default() }, |_| ());
    // Both stand ahead of their turn; the one that comes second reaches over the first on either side.
    let text = play(
        &mut half,
        &[(104, b"bcd".into(), false), (103, b"aXXXe".into(), false), (100, b"123".into(), false)],
    );
    assert_eq!((String::from_utf8(text).unwrap(), half.seen.differing), ("123abcde".into(), 3));
}
