//! Accounts that share one total of bytes. Each account may hold up to its cap, and can always hold its reserve,
//! whatever the others hold. Bytes that an account holds beyond its reserve are lent from the shared part, which is
//! the total without all reserves.

/// One account: its bounds and its use, all in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Maximum number of bytes that it may hold.
    pub cap: usize,
    /// Bytes that no other account can use.
    pub reserve: usize,
    /// Bytes that it holds now.
    pub held: usize,
    /// Maximum number of bytes that it has held so far.
    pub high_water: usize,
}

impl Account {
    /// An account that holds nothing.
    pub fn new(cap: usize, reserve: usize) -> Self {
        Account { cap, reserve, held: 0, high_water: 0 }
    }

    fn borrowed(&self) -> usize {
        self.held.saturating_sub(self.reserve)
    }
}

/// All accounts over one total.
#[derive(Clone, Debug)]
pub struct Pool {
    accounts: Vec<Account>,
    /// Bytes outside all reserves, and how many of them are lent.
    shared_bytes: usize,
    lent_bytes: usize,
}

impl Pool {
    /// Accounts over `total_bytes`. If the reserves exceed the total, nothing can be lent; a [`crate::Plan`] rejects
    /// such reserves.
    pub fn new(total_bytes: usize, accounts: Vec<Account>) -> Self {
        let reserved: usize = accounts.iter().map(|a| a.reserve).sum();
        Pool { accounts, shared_bytes: total_bytes.saturating_sub(reserved), lent_bytes: 0 }
    }

    /// Replaces the bounds of the same accounts. An account that holds more than its new cap keeps those bytes until
    /// it releases them.
    pub fn set_bounds(&mut self, total_bytes: usize, bounds: &[Account]) {
        for (account, bound) in self.accounts.iter_mut().zip(bounds) {
            (account.cap, account.reserve) = (bound.cap, bound.reserve);
        }
        let reserved: usize = self.accounts.iter().map(|a| a.reserve).sum();
        self.shared_bytes = total_bytes.saturating_sub(reserved);
        self.lent_bytes = self.accounts.iter().map(Account::borrowed).sum();
    }

    /// The accounts in the order that they were given in; methods of the pool refer to them by index.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// Bytes held by all accounts.
    pub fn held(&self) -> usize {
        self.accounts.iter().map(|a| a.held).sum()
    }

    /// Bytes that the account can allocate now.
    pub fn available(&self, index: usize) -> usize {
        let account = &self.accounts[index];
        let unused_reserve = account.reserve.saturating_sub(account.held);
        account
            .cap
            .saturating_sub(account.held)
            .min(unused_reserve + self.shared_bytes.saturating_sub(self.lent_bytes))
    }

    /// Allocates `bytes` for an account; returns false and changes nothing if they are not available.
    pub fn allocate(&mut self, index: usize, bytes: usize) -> bool {
        if bytes > self.available(index) {
            return false;
        }
        let account = &mut self.accounts[index];
        let borrowed_before = account.borrowed();
        account.held += bytes;
        account.high_water = account.high_water.max(account.held);
        self.lent_bytes += account.borrowed() - borrowed_before;
        true
    }

    /// Releases `bytes` that the account holds.
    pub fn release(&mut self, index: usize, bytes: usize) {
        let account = &mut self.accounts[index];
        debug_assert!(bytes <= account.held, "more bytes released than allocated");
        let borrowed_before = account.borrowed();
        account.held = account.held.saturating_sub(bytes);
        self.lent_bytes -= borrowed_before - account.borrowed();
    }

    /// Moves `bytes` from one account to another in one step; returns false and changes nothing if they don't fit.
    /// The bytes freed by the move are available to it: they are never counted twice.
    pub fn transfer(&mut self, from: usize, to: usize, bytes: usize) -> bool {
        self.release(from, bytes);
        let high_water = self.accounts[to].high_water;
        let granted = self.allocate(to, bytes);
        if !granted {
            // Always fits: the account held these bytes before.
            self.allocate(from, bytes);
            self.accounts[to].high_water = high_water;
        }
        granted
    }
}
