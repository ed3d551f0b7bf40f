//! Deliberate leaks that the laboratory's soak must detect. Built only with the feature `mutants`.

use std::cell::Cell;
use std::sync::OnceLock;

/// The fault that STONESCALE_MUTANT names; empty if it is unset.
fn selected_fault() -> &'static str {
    static FAULT: OnceLock<String> = OnceLock::new();
    FAULT.get_or_init(|| std::env::var("STONESCALE_MUTANT").unwrap_or_default())
}

/// Leaks 200 bytes for each hit.
pub fn leak_on_hit() {
    if selected_fault() == "leak-hit" {
        std::mem::forget(std::hint::black_box(vec![1_u8; 200]));
    }
}

/// Leaks the value passed for one connection in a hundred.
pub fn leak_on_connection<T>(value: T) {
    thread_local!(static COUNT: Cell<u32> = const { Cell::new(0) });
    let count = COUNT.with(|c| c.replace(c.get() + 1));
    if selected_fault() == "leak-connection" && count.is_multiple_of(100) {
        std::mem::forget(value);
    }
}
