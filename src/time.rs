//! Points in time and spans of time in whole nanoseconds, as two types that can't be confused.

use std::ops::{Add, Mul, Sub};

/// A point in time: nanoseconds since the host's time zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

/// A span of time in nanoseconds. Sums saturate, and differences stop at zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Time {
    pub const fn at(nanos: u64) -> Self {
        Time(nanos)
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn nanos(nanos: u64) -> Self {
        Span(nanos)
    }

    pub const fn millis(millis: u64) -> Self {
        Span(millis * 1_000_000)
    }

    /// Fractions of a nanosecond are cut off; a negative number gives zero.
    pub fn from_seconds(seconds: f64) -> Self {
        Span((seconds * 1e9) as u64)
    }

    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// Ratio of this span to `other`; a zero `other` counts as one nanosecond.
    pub fn ratio_to(self, other: Span) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

/// Saturates at the last point that can be represented.
impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

/// The time since `earlier`; zero if that is later than this point.
impl Sub for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// The point `span` before this one.
impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

/// Fractions of a nanosecond are cut off; a negative factor gives zero.
impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }
}
