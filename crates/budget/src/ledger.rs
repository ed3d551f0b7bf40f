//! The ledger: charges by purpose, as guards. A charge belongs to one purpose at any moment; it grows and moves only
//! where there is room, and gives back what it holds when it is dropped.

use crate::level::{self, Gauge, Level};
use crate::plan::Plan;
use crate::pool::{Account, Pool};
use crate::purpose::{Purpose, rule};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Changes of level that wait to be reported; past it the oldest are forgotten, as the report shows where it ended.
const MOST_CHANGES: usize = 64;

/// There was no room for so many bytes more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    pub purpose: Purpose,
    pub bytes: usize,
}

/// A purpose that went from one level to another, with what it held then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub purpose: Purpose,
    pub from: Level,
    pub to: Level,
    pub held: usize,
    pub cap: usize,
}

/// One purpose as reported.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    pub purpose: Purpose,
    pub account: Account,
    pub level: Level,
    /// Charges that were refused, and bytes that were given back under pressure, so far.
    pub refusals: u64,
    pub reclaimed: u64,
    /// How often the level changed.
    pub changes: u64,
}

#[derive(Default)]
struct Side {
    gauge: Gauge,
    refusals: u64,
    reclaimed: u64,
}

struct Books {
    purposes: Vec<Purpose>,
    pool: Pool,
    sides: Vec<Side>,
    changes: VecDeque<Change>,
}

impl Books {
    /// Looks at an account anew after it changed. That others' loans shrink its reach shows at its next change.
    fn see(&mut self, at: usize) {
        let account = self.pool.accounts()[at];
        let side = &mut self.sides[at];
        let from = side.gauge.level();
        if side.gauge.see(account.held, account.held + self.pool.room(at)) {
            let (to, purpose) = (side.gauge.level(), self.purposes[at]);
            if self.changes.len() == MOST_CHANGES {
                self.changes.pop_front();
            }
            self.changes.push_back(Change { purpose, from, to, held: account.held, cap: account.cap });
        }
    }

    fn took(&mut self, at: usize, done: bool) -> bool {
        self.sides[at].refusals += u64::from(!done);
        self.see(at);
        done
    }
}

/// All accounts of one marshal. Clones are handles to the same.
#[derive(Clone)]
pub struct Ledger(Rc<RefCell<Books>>);

impl Ledger {
    pub fn new(plan: &Plan) -> Self {
        let purposes: Vec<_> = plan.accounts.iter().map(|(purpose, _)| *purpose).collect();
        let accounts: Vec<_> = plan.accounts.iter().map(|(_, account)| *account).collect();
        let sides = purposes.iter().map(|_| Side::default()).collect();
        let pool = Pool::new(plan.total, accounts);
        Ledger(Rc::new(RefCell::new(Books { purposes, pool, sides, changes: VecDeque::new() })))
    }

    /// Goes by another plan from now on, for the same path groups.
    pub fn replan(&self, plan: &Plan) {
        let bounds: Vec<_> = plan.accounts.iter().map(|(_, account)| *account).collect();
        let mut books = self.0.borrow_mut();
        books.pool.replan(plan.total, &bounds);
        (0..bounds.len()).for_each(|at| books.see(at));
    }

    fn at(&self, purpose: Purpose) -> usize {
        purpose.index().min(self.0.borrow().purposes.len() - 1)
    }

    /// Charges so many bytes to a purpose, if there is room.
    pub fn charge(&self, purpose: Purpose, bytes: usize) -> Result<Charge, Refused> {
        let mut charge = Charge { ledger: self.clone(), purpose, bytes: 0 };
        charge.resize(bytes)?;
        Ok(charge)
    }

    /// A charge of nothing, to be grown.
    pub fn open(&self, purpose: Purpose) -> Charge {
        Charge { ledger: self.clone(), purpose, bytes: 0 }
    }

    /// Bytes that the purpose may take now.
    pub fn room(&self, purpose: Purpose) -> usize {
        let at = self.at(purpose);
        self.0.borrow().pool.room(at)
    }

    pub fn held(&self, purpose: Purpose) -> usize {
        let at = self.at(purpose);
        self.0.borrow().pool.accounts()[at].held
    }

    pub fn cap(&self, purpose: Purpose) -> usize {
        let at = self.at(purpose);
        self.0.borrow().pool.accounts()[at].cap
    }

    pub fn level(&self, purpose: Purpose) -> Level {
        let at = self.at(purpose);
        self.0.borrow().sides[at].gauge.level()
    }

    /// What is to be given back now for this purpose, by its rule and level.
    pub fn reclaim(&self, purpose: Purpose) -> crate::purpose::Reclaim {
        rule(purpose).reclaim(self.level(purpose))
    }

    /// Bytes to be given back until the purpose is easy again.
    pub fn over(&self, purpose: Purpose) -> usize {
        let at = self.at(purpose);
        let books = self.0.borrow();
        let held = books.pool.accounts()[at].held;
        held.saturating_sub(level::easy(held + books.pool.room(at)))
    }

    /// Notes that so many bytes were given back under pressure.
    pub fn reclaimed(&self, purpose: Purpose, bytes: usize) {
        let at = self.at(purpose);
        self.0.borrow_mut().sides[at].reclaimed += bytes as u64;
    }

    /// Bytes held for all purposes.
    pub fn sum(&self) -> usize {
        self.0.borrow().pool.held()
    }

    pub fn report(&self) -> Vec<Row> {
        let books = self.0.borrow();
        let row = |at: usize| Row {
            purpose: books.purposes[at],
            account: books.pool.accounts()[at],
            level: books.sides[at].gauge.level(),
            refusals: books.sides[at].refusals,
            reclaimed: books.sides[at].reclaimed,
            changes: books.sides[at].gauge.changes(),
        };
        (0..books.purposes.len()).map(row).collect()
    }

    /// The changes of level since they were last asked for.
    pub fn changes(&self) -> Vec<Change> {
        self.0.borrow_mut().changes.drain(..).collect()
    }
}

/// Bytes held for one purpose, until this is dropped.
pub struct Charge {
    ledger: Ledger,
    purpose: Purpose,
    bytes: usize,
}

impl Charge {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    pub fn ledger(&self) -> Ledger {
        self.ledger.clone()
    }

    /// Holds `bytes` from now on. Growing may be refused, and then nothing changes; shrinking never is.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Refused> {
        let at = self.ledger.at(self.purpose);
        let mut books = self.ledger.0.borrow_mut();
        match bytes.checked_sub(self.bytes) {
            Some(0) => {}
            Some(more) => {
                let done = books.pool.take(at, more);
                if !books.took(at, done) {
                    return Err(Refused { purpose: self.purpose, bytes: more });
                }
            }
            None => {
                books.pool.give(at, self.bytes - bytes);
                books.see(at);
            }
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Moves to another purpose in one step; refused, it stays where it is.
    pub fn shift(&mut self, to: Purpose) -> Result<(), Refused> {
        let (from, at) = (self.ledger.at(self.purpose), self.ledger.at(to));
        if from != at {
            let mut books = self.ledger.0.borrow_mut();
            let done = books.pool.shift(from, at, self.bytes);
            if !books.took(at, done) {
                return Err(Refused { purpose: to, bytes: self.bytes });
            }
            books.see(from);
        }
        self.purpose = to;
        Ok(())
    }

    /// Cuts `bytes` of it off as a charge of their own, for the same purpose; all of it where it holds fewer.
    pub fn split(&mut self, bytes: usize) -> Charge {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Charge { ledger: self.ledger.clone(), purpose: self.purpose, bytes }
    }

    /// Takes in another charge for the same purpose; one for another purpose is handed back.
    pub fn join(&mut self, mut other: Charge) -> Option<Charge> {
        if other.purpose != self.purpose {
            return Some(other);
        }
        self.bytes += std::mem::take(&mut other.bytes);
        None
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            let at = self.ledger.at(self.purpose);
            let mut books = self.ledger.0.borrow_mut();
            books.pool.give(at, self.bytes);
            books.see(at);
        }
    }
}
