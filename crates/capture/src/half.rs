//! One direction of a TCP connection, put together from segments as a capture holds them: out of order, repeated,
//! overlapping, with some missing. What has come in order is passed on at once and not kept; what came ahead of its
//! turn stands in a window of bytes, with a short list of the ranges that are there.

use std::collections::VecDeque;

/// Farther ahead than this no segment is believed: TCP's own largest window.
const FARTHEST: u64 = 1 << 30;
/// So far ahead bytes are held for those before them; for one farther still, all before it is given up.
const WINDOW: u64 = 1 << 20;
/// Ranges that may stand apart; one more than that has the first hole given up.
const MOST_RANGES: usize = 256;

/// Where the stream stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Nothing has come.
    #[default]
    Unseen,
    /// Its place among the sequence numbers is known, by its SYN or, where that is not in the capture, by its first
    /// segment.
    Open,
    /// All up to its FIN has been passed on.
    Finished,
    /// A reset ended it.
    Reset,
}

/// What comes out, in order.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece<'a> {
    Bytes(&'a [u8]),
    /// So many bytes are not in the capture.
    Gap(u64),
}

/// Counts of what was seen that is not plain new data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub segments: u64,
    /// Segments with nothing new in them, and keep-alives among them.
    pub repeated: u64,
    pub keep_alives: u64,
    /// Segments that came ahead of their turn.
    pub early: u64,
    /// Bytes that came again and were not the same as the first copy, which counts.
    pub differing: u64,
    /// Gaps, and the bytes that they lack.
    pub gaps: u64,
    pub missing: u64,
    /// Segments that can't belong here: too far from what is awaited.
    pub strange: u64,
}

#[derive(Debug, Default)]
pub struct Half {
    state: State,
    /// Sequence number of the stream's first byte.
    first: u32,
    /// Offset of the next byte to be passed on; bytes before it are not kept.
    next: u64,
    /// Bytes from `next` on, as far as any has come; holes hold zeros.
    window: VecDeque<u8>,
    /// Ranges of offsets that are there, in order, apart from each other, none of them at `next`.
    ranges: VecDeque<(u64, u64)>,
    /// Offset of the end, once a FIN was seen.
    end: Option<u64>,
    pub seen: Seen,
}

/// A segment of one direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct Segment<'a> {
    pub seq: u32,
    pub syn: bool,
    pub fin: bool,
    pub rst: bool,
    pub bytes: &'a [u8],
    /// Bytes that the packet held besides, which the capture cut off.
    pub cut: u32,
}

impl Half {
    pub fn state(&self) -> State {
        self.state
    }

    /// Bytes that it occupies beyond its own record.
    pub fn occupies(&self) -> usize {
        self.window.capacity() + self.ranges.capacity() * size_of::<(u64, u64)>()
    }

    /// Bytes that wait for others before them.
    pub fn held(&self) -> u64 {
        self.ranges.iter().map(|(from, to)| to - from).sum()
    }

    /// Bytes are awaited while later ones are there.
    pub fn waits(&self) -> bool {
        !self.ranges.is_empty()
    }

    fn shift(&mut self, to: State) {
        self.state = to;
    }

    /// Where a sequence number stands in the stream: the offset nearest to the one awaited that fits; none where that is
    /// before the stream's begin by more than a keep-alive, or too far.
    fn offset(&self, seq: u32) -> Option<i128> {
        let awaited = self.first.wrapping_add(self.next as u32);
        let ahead = seq.wrapping_sub(awaited) as i32;
        let far = i128::from(ahead) + i128::from(self.next);
        (ahead.unsigned_abs() as u64 <= FARTHEST && far >= -1).then_some(far)
    }

    /// Takes in a segment; what can be passed on goes to `out`.
    pub fn take(&mut self, segment: Segment, mut out: impl FnMut(Piece)) {
        self.seen.segments += 1;
        if matches!(self.state, State::Finished | State::Reset) {
            self.seen.repeated += 1;
            return;
        }
        if self.state == State::Unseen {
            self.first = segment.seq.wrapping_add(u32::from(segment.syn));
            self.shift(State::Open);
        }
        // A SYN takes one number, and the bytes come behind it.
        let Some(at) = self.offset(segment.seq.wrapping_add(u32::from(segment.syn))) else {
            self.seen.strange += 1;
            return;
        };
        let length = segment.bytes.len() as u64;
        let whole = length + u64::from(segment.cut);
        if segment.fin {
            let end = (at + i128::from(whole)).max(0) as u64;
            self.end = Some(self.end.map_or(end, |known| known.min(end)).max(self.next));
        }
        if whole > 0 {
            self.place(at, segment.bytes, &mut out);
        } else if segment.syn && at != i128::from(self.next) {
            self.seen.repeated += 1;
        }
        self.pass_on(&mut out);
        if segment.rst {
            // What came ahead of a hole before a reset is the last that will be known.
            self.give_up(0, &mut out);
            self.shift(State::Reset);
        }
    }

    fn place(&mut self, at: i128, bytes: &[u8], out: &mut impl FnMut(Piece)) {
        let end = self.end.unwrap_or(u64::MAX);
        let next = i128::from(self.next);
        // What was passed on already can't be compared any more; only what is new counts.
        let skip = (next - at).clamp(0, bytes.len() as i128) as usize;
        let fresh = &bytes[skip..];
        if fresh.is_empty() {
            self.seen.repeated += 1;
            // A keep-alive repeats one byte right before what is awaited.
            self.seen.keep_alives += u64::from(bytes.len() <= 1 && at == next - 1);
            return;
        }
        let from = (at + skip as i128).max(0) as u64;
        let to = (from + fresh.len() as u64).min(end);
        if to <= from {
            self.seen.strange += 1;
            return;
        }
        let fresh = &fresh[..(to - from) as usize];
        if from == self.next && self.ranges.is_empty() {
            // By far the most: it is the very next, and nothing waits for it.
            out(Piece::Bytes(fresh));
            self.next = to;
            return;
        }
        if to - self.next > WINDOW {
            // A hole larger than what may be held, such as a capture that paused.
            self.give_up(0, out);
            if let Some(lacks) = from.checked_sub(self.next).filter(|lacks| *lacks > 0) {
                self.gap(lacks, out);
                self.next = from;
            }
            return self.place(i128::from(from), fresh, out);
        }
        if from > self.next {
            self.seen.early += 1;
        }
        let reach = (to - self.next) as usize;
        if self.window.len() < reach {
            self.window.resize(reach, 0);
        }
        // Fill the holes between ranges that are there; the first copy of a byte counts.
        let mut at = from;
        let mut news = false;
        for number in 0..=self.ranges.len() {
            let (start, stop) = self.ranges.get(number).copied().unwrap_or((u64::MAX, u64::MAX));
            let hole = to.min(start);
            if at < hole {
                self.write(at, &fresh[(at - from) as usize..(hole - from) as usize]);
                news = true;
            }
            if start >= to {
                break;
            }
            let (same_from, same_to) = (at.max(start), to.min(stop));
            if same_from < same_to {
                let again = &fresh[(same_from - from) as usize..(same_to - from) as usize];
                let known =
                    self.window.range((same_from - self.next) as usize..(same_to - self.next) as usize);
                self.seen.differing += known.zip(again).filter(|(one, other)| one != other).count() as u64;
            }
            at = at.max(stop);
            if at >= to {
                break;
            }
        }
        self.seen.repeated += u64::from(!news);
        self.join(from, to);
    }

    fn write(&mut self, at: u64, bytes: &[u8]) {
        let start = (at - self.next) as usize;
        self.window.range_mut(start..start + bytes.len()).zip(bytes).for_each(|(to, from)| *to = *from);
    }

    /// Puts a range among the others, as one with those that it touches.
    fn join(&mut self, mut from: u64, mut to: u64) {
        let first = self.ranges.partition_point(|range| range.1 < from);
        let behind = self.ranges.partition_point(|range| range.0 <= to);
        if first < behind {
            from = from.min(self.ranges[first].0);
            to = to.max(self.ranges[behind - 1].1);
            self.ranges.drain(first..behind);
        }
        self.ranges.insert(first, (from, to));
    }

    fn pass_on(&mut self, out: &mut impl FnMut(Piece)) {
        while let Some((from, to)) = self.ranges.front().copied().filter(|range| range.0 <= self.next) {
            self.ranges.pop_front();
            debug_assert!(from == self.next);
            self.emit(to, out);
        }
        if self.end == Some(self.next) {
            self.shift(State::Finished);
            (self.window, self.ranges) = Default::default();
        } else if self.ranges.len() > MOST_RANGES {
            self.skip(out);
        }
    }

    /// Passes on all up to `to`, which is there.
    fn emit(&mut self, to: u64, out: &mut impl FnMut(Piece)) {
        let length = (to - self.next) as usize;
        let (one, other) = self.window.as_slices();
        let split = length.min(one.len());
        out(Piece::Bytes(&one[..split]));
        if split < length {
            out(Piece::Bytes(&other[..length - split]));
        }
        self.window.drain(..length);
        self.next = to;
        if self.window.is_empty() {
            self.window = VecDeque::new();
        }
    }

    /// Gives up the first hole: it is told as a gap, and what stands behind it is passed on.
    pub fn skip(&mut self, out: &mut impl FnMut(Piece)) {
        let Some((from, _)) = self.ranges.front().copied() else { return };
        let lacks = from - self.next;
        self.gap(lacks, out);
        self.window.drain(..lacks as usize);
        self.next = from;
        self.pass_on(out);
    }

    /// Gives up holes until no more than `keep` bytes wait behind any.
    pub fn give_up(&mut self, keep: u64, out: &mut impl FnMut(Piece)) {
        while self.held() > keep {
            self.skip(out);
        }
    }

    /// No more will come: all that waits is passed on, with the gaps told, and one at the end where a FIN showed that
    /// more was sent than came.
    pub fn finish(&mut self, out: &mut impl FnMut(Piece)) {
        self.give_up(0, out);
        if let Some(lacks) = self.end.and_then(|end| end.checked_sub(self.next)).filter(|lacks| *lacks > 0) {
            self.gap(lacks, out);
        }
    }

    fn gap(&mut self, lacks: u64, out: &mut impl FnMut(Piece)) {
        self.seen.gaps += 1;
        self.seen.missing += lacks;
        out(Piece::Gap(lacks));
    }
}
