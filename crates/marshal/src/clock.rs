//! Clock of the decision module: Unix time at the start plus the monotonic time since then, so that it compares with
//! the start times in node lists and never goes back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use stonescale::time::{Span, Time};

/// Converts between the decision module's `Time` and `Instant`.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Time,
}

impl Clock {
    /// A clock that starts at the current Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: Time::at(nanos(unix)) }
    }

    /// The current time, in nanoseconds since the Unix epoch.
    pub fn now(&self) -> Time {
        self.unix + Span::nanos(nanos(self.start.elapsed()))
    }

    /// The wall clock's present time, in nanoseconds since the Unix epoch. It may be stepped.
    pub fn wall_now(&self) -> Time {
        Time::at(nanos(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()))
    }

    /// Converts a time to an `Instant`; one before the start of the clock becomes the start.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + duration(at - self.unix)
    }
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

pub fn duration(span: Span) -> Duration {
    Duration::from_nanos(span.as_nanos())
}
