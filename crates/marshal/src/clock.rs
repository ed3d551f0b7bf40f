//! The module's clock: Unix time at the start plus monotonic time since, so that listed starts compare.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use stonescale::time::{Span, Time};

#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Time,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: Time::at(nanos(unix)) }
    }

    pub fn now(&self) -> Time {
        self.unix + Span::nanos(nanos(self.start.elapsed()))
    }

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
