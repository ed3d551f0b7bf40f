//! Accounts over one sum of bytes: each may hold up to its cap, and up to its reserve at any time, whatever the
//! others hold. What an account holds past its reserve is lent from the part that is nobody's reserve.

/// One account's bounds, and what it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Most bytes it may hold.
    pub cap: usize,
    /// Bytes that no other account may take.
    pub reserve: usize,
    pub held: usize,
    /// The most it held so far.
    pub high: usize,
}

impl Account {
    pub fn new(cap: usize, reserve: usize) -> Self {
        Account { cap, reserve, held: 0, high: 0 }
    }

    fn borrowed(&self) -> usize {
        self.held.saturating_sub(self.reserve)
    }
}

#[derive(Clone, Debug)]
pub struct Pool {
    accounts: Vec<Account>,
    /// Bytes that are nobody's reserve, and how many of them are lent.
    shared: usize,
    lent: usize,
}

impl Pool {
    /// Accounts over `total` bytes. Reserves that pass it leave nothing to lend; a plan sees to it that they don't.
    pub fn new(total: usize, accounts: Vec<Account>) -> Self {
        let reserved: usize = accounts.iter().map(|a| a.reserve).sum();
        Pool { accounts, shared: total.saturating_sub(reserved), lent: 0 }
    }

    /// Other bounds from now on, for the same accounts. What an account holds past its new cap it keeps until it gives
    /// it back.
    pub fn replan(&mut self, total: usize, bounds: &[Account]) {
        for (account, bound) in self.accounts.iter_mut().zip(bounds) {
            (account.cap, account.reserve) = (bound.cap, bound.reserve);
        }
        let reserved: usize = self.accounts.iter().map(|a| a.reserve).sum();
        self.shared = total.saturating_sub(reserved);
        self.lent = self.accounts.iter().map(Account::borrowed).sum();
    }

    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// Bytes held in all.
    pub fn held(&self) -> usize {
        self.accounts.iter().map(|a| a.held).sum()
    }

    /// Bytes that this account may take now.
    pub fn room(&self, at: usize) -> usize {
        let account = &self.accounts[at];
        let own = account.reserve.saturating_sub(account.held);
        account.cap.saturating_sub(account.held).min(own + self.shared.saturating_sub(self.lent))
    }

    /// Takes `bytes` for an account, or changes nothing and says no.
    pub fn take(&mut self, at: usize, bytes: usize) -> bool {
        if bytes > self.room(at) {
            return false;
        }
        let account = &mut self.accounts[at];
        let before = account.borrowed();
        account.held += bytes;
        account.high = account.high.max(account.held);
        self.lent += account.borrowed() - before;
        true
    }

    /// Gives back `bytes` that the account holds.
    pub fn give(&mut self, at: usize, bytes: usize) {
        let account = &mut self.accounts[at];
        debug_assert!(bytes <= account.held, "more is given back than was taken");
        let before = account.borrowed();
        account.held = account.held.saturating_sub(bytes);
        self.lent -= before - account.borrowed();
    }

    /// Moves `bytes` from one account to another in one step, or changes nothing and says no. What the move frees is
    /// there for it: the bytes are never counted twice.
    pub fn shift(&mut self, from: usize, to: usize, bytes: usize) -> bool {
        self.give(from, bytes);
        let high = self.accounts[to].high;
        let done = self.take(to, bytes);
        if !done {
            // What it held a moment ago fits again.
            self.take(from, bytes);
            self.accounts[to].high = high;
        }
        done
    }
}
