//! Reassembly of one direction of a TCP connection from captured segments, which may be out of order, retransmitted,
//! overlapping or missing.
//!
//! Data that continues the stream is emitted at once and not kept. Data behind a gap is buffered in a window, with
//! a bounded list of the ranges of the window that are filled.

use std::collections::VecDeque;

/// Largest distance of a segment from the next expected byte; a segment farther away is rejected. It is the largest
/// window of TCP with window scaling (RFC 7323).
const MAX_SEQUENCE_DISTANCE: u64 = 1 << 30;
/// How far past the next expected byte data is buffered; on a segment that reaches farther, all gaps before it are
/// given up.
const REASSEMBLY_WINDOW_BYTES: u64 = 1 << 20;
/// Largest number of separate buffered ranges; on one more, the first gap is given up.
const MAX_BUFFERED_RANGES: usize = 256;

/// State of the stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamState {
    /// No segment has been processed.
    #[default]
    AwaitingFirstSegment,
    /// The initial sequence number is known from the SYN or, if that is not in the capture, from the first segment.
    Open,
    /// All data up to the FIN has been emitted.
    Finished,
    /// A segment with RST ended the stream.
    Reset,
}

/// Output of the reassembly, in stream order.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem<'a> {
    /// The next bytes of the stream; they borrow from the segment or from the window.
    Bytes(&'a [u8]),
    /// Number of bytes that are not in the capture.
    Gap(u64),
}

/// Counts of segments and of anomalies among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SegmentStats {
    /// Segments processed, also those without a payload.
    pub segments: u64,
    /// Segments without new data, such as retransmissions; includes `keep_alives`.
    pub duplicate_segments: u64,
    /// Segments that repeat only the byte before the next expected one, as TCP keep-alives do (RFC 9293, section
    /// 3.8.4). A keep-alive without a payload is not counted.
    pub keep_alives: u64,
    /// Segments that begin past the next expected byte.
    pub out_of_order_segments: u64,
    /// Retransmitted bytes that differ from the first copy, which is the one emitted. Bytes that have been emitted
    /// already are not compared.
    pub conflicting_bytes: u64,
    /// Gaps that were given up.
    pub gaps: u64,
    /// Total length of the gaps.
    pub missing_bytes: u64,
    /// Segments too far from the next expected byte, or whose new data is past the end that a FIN set.
    pub out_of_range_segments: u64,
}

/// Reassembles one direction of a connection.
#[derive(Debug, Default)]
pub struct StreamReassembler {
    state: StreamState,
    /// Sequence number of the stream's first byte.
    first_sequence: u32,
    /// Offset in the stream of the next byte to be emitted; bytes before it are not kept.
    next_offset: u64,
    /// Bytes from `next_offset` to the end of the last buffered range; gaps are filled with zeros.
    window: VecDeque<u8>,
    /// Buffered ranges of stream offsets (start, end), in order and with gaps between them; none starts at
    /// `next_offset`.
    ranges: VecDeque<(u64, u64)>,
    /// Offset of the end of the stream, known once a FIN has been processed.
    end_offset: Option<u64>,
    pub stats: SegmentStats,
}

/// A TCP segment of one direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct Segment<'a> {
    /// Sequence number of the SYN, if there is one, otherwise of the first byte of the payload.
    pub sequence: u32,
    /// The SYN comes before the payload and occupies one sequence number.
    pub syn: bool,
    /// The stream ends with this payload.
    pub fin: bool,
    /// The connection is reset; the payload is processed first.
    pub rst: bool,
    /// The captured part of the payload.
    pub payload: &'a [u8],
    /// Length of the rest of the payload, which the capture cut off.
    pub truncated_bytes: u32,
}

impl StreamReassembler {
    pub fn state(&self) -> StreamState {
        self.state
    }

    /// Heap memory in use, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.window.capacity() + self.ranges.capacity() * size_of::<(u64, u64)>()
    }

    /// Number of buffered bytes, which follow a gap.
    pub fn buffered_bytes(&self) -> u64 {
        self.ranges.iter().map(|(start, end)| end - start).sum()
    }

    /// Returns whether bytes are missing before buffered ones.
    pub fn awaits_missing_bytes(&self) -> bool {
        !self.ranges.is_empty()
    }

    fn set_state(&mut self, state: StreamState) {
        self.state = state;
    }

    /// Converts a sequence number to a stream offset: of the offsets that it can stand for, the one nearest to
    /// `next_offset`. Returns `None` if that is too far away, or before the start of the stream by more than the one
    /// byte of a keep-alive.
    fn stream_offset(&self, sequence: u32) -> Option<i128> {
        let next_sequence = self.first_sequence.wrapping_add(self.next_offset as u32);
        let distance = sequence.wrapping_sub(next_sequence) as i32;
        let offset = i128::from(distance) + i128::from(self.next_offset);
        (distance.unsigned_abs() as u64 <= MAX_SEQUENCE_DISTANCE && offset >= -1).then_some(offset)
    }

    /// Processes a segment and passes the data that continues the stream to `out`, with any gaps given up.
    pub fn process_segment(&mut self, segment: Segment, mut out: impl FnMut(StreamItem)) {
        self.stats.segments += 1;
        if matches!(self.state, StreamState::Finished | StreamState::Reset) {
            self.stats.duplicate_segments += 1;
            return;
        }
        if self.state == StreamState::AwaitingFirstSegment {
            self.first_sequence = segment.sequence.wrapping_add(u32::from(segment.syn));
            self.set_state(StreamState::Open);
        }
        // A SYN occupies one sequence number, and the payload follows it.
        let Some(offset) = self.stream_offset(segment.sequence.wrapping_add(u32::from(segment.syn))) else {
            self.stats.out_of_range_segments += 1;
            return;
        };
        let captured_bytes = segment.payload.len() as u64;
        let payload_bytes = captured_bytes + u64::from(segment.truncated_bytes);
        if segment.fin {
            let end = (offset + i128::from(payload_bytes)).max(0) as u64;
            self.end_offset = Some(self.end_offset.map_or(end, |known| known.min(end)).max(self.next_offset));
        }
        if payload_bytes > 0 {
            self.insert_payload(offset, segment.payload, &mut out);
        } else if segment.syn && offset != i128::from(self.next_offset) {
            self.stats.duplicate_segments += 1;
        }
        self.emit_contiguous(&mut out);
        if segment.rst {
            // Nothing that follows a reset can fill a gap, so all that is buffered is emitted.
            self.skip_gaps(0, &mut out);
            self.set_state(StreamState::Reset);
        }
    }

    /// Emits the new part of a payload if it continues the stream and nothing is buffered; otherwise buffers it, after
    /// giving up the gaps before it if it reaches past the window.
    fn insert_payload(&mut self, offset: i128, payload: &[u8], out: &mut impl FnMut(StreamItem)) {
        let stream_end = self.end_offset.unwrap_or(u64::MAX);
        let next = i128::from(self.next_offset);
        // Emitted bytes are no longer kept and can't be compared; only the bytes behind them are used.
        let emitted = (next - offset).clamp(0, payload.len() as i128) as usize;
        let fresh = &payload[emitted..];
        if fresh.is_empty() {
            self.stats.duplicate_segments += 1;
            // A keep-alive repeats at most one byte, the one before the next expected byte.
            self.stats.keep_alives += u64::from(payload.len() <= 1 && offset == next - 1);
            return;
        }
        let start = (offset + emitted as i128).max(0) as u64;
        let end = (start + fresh.len() as u64).min(stream_end);
        if end <= start {
            self.stats.out_of_range_segments += 1;
            return;
        }
        let fresh = &fresh[..(end - start) as usize];
        if start == self.next_offset && self.ranges.is_empty() {
            // By far the most common case: the segment continues the stream, and nothing is buffered.
            out(StreamItem::Bytes(fresh));
            self.next_offset = end;
            return;
        }
        if end - self.next_offset > REASSEMBLY_WINDOW_BYTES {
            // The segment reaches past the window, for example after a pause of the capture.
            self.skip_gaps(0, out);
            if let Some(missing) = start.checked_sub(self.next_offset).filter(|missing| *missing > 0) {
                self.emit_gap(missing, out);
                self.next_offset = start;
            }
            return self.insert_payload(i128::from(start), fresh, out);
        }
        if start > self.next_offset {
            self.stats.out_of_order_segments += 1;
        }
        let required_bytes = (end - self.next_offset) as usize;
        if self.window.len() < required_bytes {
            self.window.resize(required_bytes, 0);
        }
        // Fills the gaps between the buffered ranges; where data overlaps them, the first copy is kept.
        let mut position = start;
        let mut has_new_bytes = false;
        for index in 0..=self.ranges.len() {
            let (range_start, range_end) = self.ranges.get(index).copied().unwrap_or((u64::MAX, u64::MAX));
            let gap_end = end.min(range_start);
            if position < gap_end {
                self.write_window(position, &fresh[(position - start) as usize..(gap_end - start) as usize]);
                has_new_bytes = true;
            }
            if range_start >= end {
                break;
            }
            let (overlap_start, overlap_end) = (position.max(range_start), end.min(range_end));
            if overlap_start < overlap_end {
                let retransmitted = &fresh[(overlap_start - start) as usize..(overlap_end - start) as usize];
                let buffered = self.window.range(
                    (overlap_start - self.next_offset) as usize..(overlap_end - self.next_offset) as usize,
                );
                self.stats.conflicting_bytes +=
                    buffered.zip(retransmitted).filter(|(first, second)| first != second).count() as u64;
            }
            position = position.max(range_end);
            if position >= end {
                break;
            }
        }
        self.stats.duplicate_segments += u64::from(!has_new_bytes);
        self.merge_range(start, end);
    }

    /// Copies `bytes` into the window at a stream offset.
    fn write_window(&mut self, offset: u64, bytes: &[u8]) {
        let start = (offset - self.next_offset) as usize;
        self.window
            .range_mut(start..start + bytes.len())
            .zip(bytes)
            .for_each(|(target, source)| *target = *source);
    }

    /// Adds a buffered range, merged with the ranges that it overlaps or adjoins.
    fn merge_range(&mut self, mut start: u64, mut end: u64) {
        let first = self.ranges.partition_point(|range| range.1 < start);
        let after_last = self.ranges.partition_point(|range| range.0 <= end);
        if first < after_last {
            start = start.min(self.ranges[first].0);
            end = end.max(self.ranges[after_last - 1].1);
            self.ranges.drain(first..after_last);
        }
        self.ranges.insert(first, (start, end));
    }

    /// Emits buffered ranges that continue the stream; then ends the stream if its end is reached, or gives up the
    /// first gap if there are too many ranges.
    fn emit_contiguous(&mut self, out: &mut impl FnMut(StreamItem)) {
        while let Some((start, end)) =
            self.ranges.front().copied().filter(|range| range.0 <= self.next_offset)
        {
            self.ranges.pop_front();
            debug_assert!(start == self.next_offset);
            self.emit_until(end, out);
        }
        if self.end_offset == Some(self.next_offset) {
            self.set_state(StreamState::Finished);
            (self.window, self.ranges) = Default::default();
        } else if self.ranges.len() > MAX_BUFFERED_RANGES {
            self.skip_first_gap(out);
        }
    }

    /// Emits the window up to the offset `end`; all bytes before it must be buffered.
    fn emit_until(&mut self, end: u64, out: &mut impl FnMut(StreamItem)) {
        let length = (end - self.next_offset) as usize;
        let (front, back) = self.window.as_slices();
        let split = length.min(front.len());
        out(StreamItem::Bytes(&front[..split]));
        if split < length {
            out(StreamItem::Bytes(&back[..length - split]));
        }
        self.window.drain(..length);
        self.next_offset = end;
        if self.window.is_empty() {
            self.window = VecDeque::new();
        }
    }

    /// Gives up the first gap: emits it as [`StreamItem::Gap`], followed by the data buffered behind it.
    pub fn skip_first_gap(&mut self, out: &mut impl FnMut(StreamItem)) {
        let Some((start, _)) = self.ranges.front().copied() else { return };
        let missing = start - self.next_offset;
        self.emit_gap(missing, out);
        self.window.drain(..missing as usize);
        self.next_offset = start;
        self.emit_contiguous(out);
    }

    /// Gives up gaps from the first on, until at most `max_buffered_bytes` are buffered.
    pub fn skip_gaps(&mut self, max_buffered_bytes: u64, out: &mut impl FnMut(StreamItem)) {
        while self.buffered_bytes() > max_buffered_bytes {
            self.skip_first_gap(out);
        }
    }

    /// Ends the input: emits all buffered data with the gaps before it, and a last gap if a FIN showed that more data
    /// was sent than captured.
    pub fn finish(&mut self, out: &mut impl FnMut(StreamItem)) {
        self.skip_gaps(0, out);
        if let Some(missing) =
            self.end_offset.and_then(|end| end.checked_sub(self.next_offset)).filter(|missing| *missing > 0)
        {
            self.emit_gap(missing, out);
        }
    }

    fn emit_gap(&mut self, missing: u64, out: &mut impl FnMut(StreamItem)) {
        self.stats.gaps += 1;
        self.stats.missing_bytes += missing;
        out(StreamItem::Gap(missing));
    }
}
