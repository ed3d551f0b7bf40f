//! Deliberate faults, to see that the laboratory finds them. Only built with the feature of this name.

use std::cell::Cell;
use std::sync::OnceLock;

fn chosen() -> &'static str {
    static CHOSEN: OnceLock<String> = OnceLock::new();
    CHOSEN.get_or_init(|| std::env::var("STONESCALE_MUTANT").unwrap_or_default())
}

/// Loses 200 bytes for each hit.
pub fn leak_on_hit() {
    if chosen() == "leak-hit" {
        std::mem::forget(std::hint::black_box(vec![1_u8; 200]));
    }
}

/// Loses what it is handed for one connection in a hundred.
pub fn leak_on_connection<T>(held: T) {
    thread_local!(static COUNT: Cell<u32> = const { Cell::new(0) });
    let count = COUNT.with(|c| c.replace(c.get() + 1));
    if chosen() == "leak-connection" && count.is_multiple_of(100) {
        std::mem::forget(held);
    }
}
