//! The ledger of all purposes, with charges as RAII guards. A charge belongs to one purpose at any moment; it grows
//! or moves only if bytes are available, and releases what it holds when it is dropped.

use crate::level::{self, Level, LevelTracker};
use crate::plan::Plan;
use crate::pool::{Account, Pool};
use crate::purpose::{Purpose, rule};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Level changes that wait to be reported. Beyond this the oldest are dropped; the report still shows the current
/// level.
const MAX_PENDING_CHANGES: usize = 64;

/// A purpose could not be charged this many more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExceeded {
    pub purpose: Purpose,
    pub bytes: usize,
}

/// A change of a purpose's level, with the bytes that it held then and its cap in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LevelChange {
    pub purpose: Purpose,
    pub from: Level,
    pub to: Level,
    pub held: usize,
    pub cap: usize,
}

/// The state of one purpose in a report.
#[derive(Clone, Copy, Debug)]
pub struct PurposeReport {
    pub purpose: Purpose,
    /// Its bounds and use in bytes.
    pub account: Account,
    pub level: Level,
    /// Charges refused since the start.
    pub refusals: u64,
    /// Bytes reclaimed under pressure since the start.
    pub reclaimed: u64,
    /// Number of level changes since the start.
    pub changes: u64,
}

#[derive(Default)]
struct PressureStats {
    tracker: LevelTracker,
    refusals: u64,
    reclaimed: u64,
}

struct LedgerState {
    purposes: Vec<Purpose>,
    pool: Pool,
    stats: Vec<PressureStats>,
    changes: VecDeque<LevelChange>,
}

impl LedgerState {
    /// Updates the level of an account after it changed. Loans to other accounts, which reduce what is available to
    /// this one, take effect at its next change.
    fn update_level(&mut self, index: usize) {
        let account = self.pool.accounts()[index];
        let stats = &mut self.stats[index];
        let from = stats.tracker.level();
        if stats.tracker.update(account.held, account.held + self.pool.available(index)) {
            let (to, purpose) = (stats.tracker.level(), self.purposes[index]);
            if self.changes.len() == MAX_PENDING_CHANGES {
                self.changes.pop_front();
            }
            self.changes.push_back(LevelChange { purpose, from, to, held: account.held, cap: account.cap });
        }
    }

    /// Records the result of an allocation, and returns it.
    fn record_allocation(&mut self, index: usize, granted: bool) -> bool {
        self.stats[index].refusals += u64::from(!granted);
        self.update_level(index);
        granted
    }
}

/// The accounts of one marshal. Clones are handles to the same ledger.
#[derive(Clone)]
pub struct Ledger(Rc<RefCell<LedgerState>>);

impl Ledger {
    /// The accounts of a plan, with nothing charged yet.
    pub fn new(plan: &Plan) -> Self {
        let purposes: Vec<_> = plan.accounts.iter().map(|(purpose, _)| *purpose).collect();
        let accounts: Vec<_> = plan.accounts.iter().map(|(_, account)| *account).collect();
        let stats = purposes.iter().map(|_| PressureStats::default()).collect();
        let pool = Pool::new(plan.total_bytes, accounts);
        Ledger(Rc::new(RefCell::new(LedgerState { purposes, pool, stats, changes: VecDeque::new() })))
    }

    /// Switches to another plan for the same path groups.
    pub fn apply_plan(&self, plan: &Plan) {
        let bounds: Vec<_> = plan.accounts.iter().map(|(_, account)| *account).collect();
        let mut state = self.0.borrow_mut();
        state.pool.set_bounds(plan.total_bytes, &bounds);
        (0..bounds.len()).for_each(|index| state.update_level(index));
    }

    fn index_of(&self, purpose: Purpose) -> usize {
        purpose.index().min(self.0.borrow().purposes.len() - 1)
    }

    /// Charges `bytes` to a purpose, if they are available.
    pub fn charge(&self, purpose: Purpose, bytes: usize) -> Result<Charge, BudgetExceeded> {
        let mut charge = Charge { ledger: self.clone(), purpose, bytes: 0 };
        charge.resize(bytes)?;
        Ok(charge)
    }

    /// A charge of zero bytes, to be resized later.
    pub fn empty_charge(&self, purpose: Purpose) -> Charge {
        Charge { ledger: self.clone(), purpose, bytes: 0 }
    }

    /// Bytes that the purpose can be charged now.
    pub fn available(&self, purpose: Purpose) -> usize {
        let index = self.index_of(purpose);
        self.0.borrow().pool.available(index)
    }

    /// Bytes that the purpose holds.
    pub fn held(&self, purpose: Purpose) -> usize {
        let index = self.index_of(purpose);
        self.0.borrow().pool.accounts()[index].held
    }

    /// Maximum number of bytes that the purpose may hold.
    pub fn cap(&self, purpose: Purpose) -> usize {
        let index = self.index_of(purpose);
        self.0.borrow().pool.accounts()[index].cap
    }

    /// Pressure on the purpose when its account last changed.
    pub fn level(&self, purpose: Purpose) -> Level {
        let index = self.index_of(purpose);
        self.0.borrow().stats[index].tracker.level()
    }

    /// What is to be reclaimed for this purpose now, by its rule and level.
    pub fn reclaim_action(&self, purpose: Purpose) -> crate::purpose::ReclaimAction {
        rule(purpose).reclaim_action(self.level(purpose))
    }

    /// Bytes to be reclaimed until the purpose returns to the normal level.
    pub fn excess(&self, purpose: Purpose) -> usize {
        let index = self.index_of(purpose);
        let state = self.0.borrow();
        let held = state.pool.accounts()[index].held;
        held.saturating_sub(level::normal_threshold_bytes(held + state.pool.available(index)))
    }

    /// Records that `bytes` were reclaimed under pressure.
    pub fn record_reclaimed(&self, purpose: Purpose, bytes: usize) {
        let index = self.index_of(purpose);
        self.0.borrow_mut().stats[index].reclaimed += bytes as u64;
    }

    /// Bytes held by all purposes.
    pub fn total_held(&self) -> usize {
        self.0.borrow().pool.held()
    }

    /// The state of every purpose, in the order of [`Purpose::index`].
    pub fn report(&self) -> Vec<PurposeReport> {
        let state = self.0.borrow();
        let row = |index: usize| PurposeReport {
            purpose: state.purposes[index],
            account: state.pool.accounts()[index],
            level: state.stats[index].tracker.level(),
            refusals: state.stats[index].refusals,
            reclaimed: state.stats[index].reclaimed,
            changes: state.stats[index].tracker.changes(),
        };
        (0..state.purposes.len()).map(row).collect()
    }

    /// Returns the level changes since the last call, and clears them.
    pub fn drain_changes(&self) -> Vec<LevelChange> {
        self.0.borrow_mut().changes.drain(..).collect()
    }
}

/// Bytes held for one purpose until this is dropped.
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

    /// A handle to the ledger that records this charge.
    pub fn ledger(&self) -> Ledger {
        self.ledger.clone()
    }

    /// Changes the charge to `bytes`. Growing can fail, and then changes nothing; shrinking always succeeds.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let index = self.ledger.index_of(self.purpose);
        let mut state = self.ledger.0.borrow_mut();
        match bytes.checked_sub(self.bytes) {
            Some(0) => {}
            Some(additional) => {
                let granted = state.pool.allocate(index, additional);
                if !state.record_allocation(index, granted) {
                    return Err(BudgetExceeded { purpose: self.purpose, bytes: additional });
                }
            }
            None => {
                state.pool.release(index, self.bytes - bytes);
                state.update_level(index);
            }
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Moves the charge to another purpose in one step; on failure it stays where it is.
    pub fn transfer(&mut self, to: Purpose) -> Result<(), BudgetExceeded> {
        let (from_index, to_index) = (self.ledger.index_of(self.purpose), self.ledger.index_of(to));
        if from_index != to_index {
            let mut state = self.ledger.0.borrow_mut();
            let granted = state.pool.transfer(from_index, to_index, self.bytes);
            if !state.record_allocation(to_index, granted) {
                return Err(BudgetExceeded { purpose: to, bytes: self.bytes });
            }
            state.update_level(from_index);
        }
        self.purpose = to;
        Ok(())
    }

    /// Splits off `bytes` as a charge for the same purpose; all of the charge if it holds fewer.
    pub fn split(&mut self, bytes: usize) -> Charge {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Charge { ledger: self.ledger.clone(), purpose: self.purpose, bytes }
    }

    /// Merges another charge for the same purpose into this one; a charge for another purpose is returned.
    pub fn merge(&mut self, mut other: Charge) -> Option<Charge> {
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
            let index = self.ledger.index_of(self.purpose);
            let mut state = self.ledger.0.borrow_mut();
            state.pool.release(index, self.bytes);
            state.update_level(index);
        }
    }
}
