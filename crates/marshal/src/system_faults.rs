//! A plan by which system calls fail, for tests: debug builds only. STONESCALE_FAULTS holds fields with a space between them:
//! `seed=N`, `from_ms=N` and `until_ms=N` (no fault before and after so long since the first call), and a fault for each call that is to fail, such as
//! `connect=ENETUNREACH/3`: one in three, at random. `fewer_events=1/N` and `spurious_events=1/N` are no errors.

use crate::system::Call;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::io::Errno;
use std::cell::RefCell;
use std::time::{Duration, Instant};

const CALLS: [(&str, Call); 8] = [
    ("socket", Call::Socket),
    ("connect", Call::Connect),
    ("connect_later", Call::ConnectLater),
    ("set_option", Call::SetOption),
    ("epoll_add", Call::EpollAdd),
    ("epoll_wait", Call::EpollWait),
    ("fewer_events", Call::FewerEvents),
    ("spurious_events", Call::SpuriousEvents),
];

const ERRORS: [(&str, Errno); 14] = [
    ("1", Errno::AGAIN),
    ("EMFILE", Errno::MFILE),
    ("ENFILE", Errno::NFILE),
    ("ENOBUFS", Errno::NOBUFS),
    ("ENOMEM", Errno::NOMEM),
    ("EADDRNOTAVAIL", Errno::ADDRNOTAVAIL),
    ("ENETUNREACH", Errno::NETUNREACH),
    ("EHOSTUNREACH", Errno::HOSTUNREACH),
    ("ECONNREFUSED", Errno::CONNREFUSED),
    ("ETIMEDOUT", Errno::TIMEDOUT),
    ("EAGAIN", Errno::AGAIN),
    ("EINTR", Errno::INTR),
    ("ENOSPC", Errno::NOSPC),
    ("ENOPROTOOPT", Errno::NOPROTOOPT),
];

struct Fault {
    call: Call,
    errno: Errno,
    one_in: u32,
}

struct Plan {
    faults: Vec<Fault>,
    begins_at: Option<Instant>,
    ends_at: Option<Instant>,
    rng: Pcg64Mcg,
}

impl Plan {
    /// An error names the field that can't be read.
    fn parse(text: &str) -> Result<Self, String> {
        let mut plan =
            Plan { faults: Vec::new(), begins_at: None, ends_at: None, rng: Pcg64Mcg::seed_from_u64(0) };
        for field in text.split_whitespace() {
            plan.add_field(field).ok_or_else(|| format!("STONESCALE_FAULTS: '{field}' can't be read"))?;
        }
        Ok(plan)
    }

    fn add_field(&mut self, field: &str) -> Option<()> {
        let (key, value) = field.split_once('=')?;
        match key {
            "seed" => self.rng = Pcg64Mcg::seed_from_u64(value.parse().ok()?),
            "from_ms" => self.begins_at = Some(after_ms(value)?),
            "until_ms" => self.ends_at = Some(after_ms(value)?),
            _ => {
                let (name, one_in) = value.split_once('/')?;
                let call = CALLS.iter().find(|(call, _)| *call == key)?.1;
                let errno = ERRORS.iter().find(|(error, _)| *error == name)?.1;
                let one_in = one_in.parse().ok().filter(|one_in| *one_in > 0)?;
                self.faults.push(Fault { call, errno, one_in });
            }
        }
        Some(())
    }

    fn draw(&mut self, call: Call) -> Option<Errno> {
        let is_early = self.begins_at.is_some_and(|at| Instant::now() < at);
        if is_early || self.ends_at.is_some_and(|at| Instant::now() >= at) {
            return None;
        }
        let rng = &mut self.rng;
        let mut failing =
            self.faults.iter().filter(|fault| fault.call == call && rng.random_range(0..fault.one_in) == 0);
        failing.next().map(|fault| fault.errno)
    }
}

fn after_ms(text: &str) -> Option<Instant> {
    Some(Instant::now() + Duration::from_millis(text.parse().ok()?))
}

thread_local! {
    static PLAN: RefCell<Plan> = RefCell::new(read_plan());
}

fn read_plan() -> Plan {
    let text = std::env::var("STONESCALE_FAULTS").unwrap_or_default();
    Plan::parse(&text).unwrap_or_else(|error| {
        eprintln!("stonescale: {error}");
        std::process::exit(2)
    })
}

/// The error with which this call is to fail, if it is.
pub fn draw(call: Call) -> Option<Errno> {
    PLAN.with(|plan| plan.borrow_mut().draw(call))
}
