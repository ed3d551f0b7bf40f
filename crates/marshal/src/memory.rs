//! What is held by purpose, as the log tells it: every so often, when asked, and at each change of a level.

use stonescale_budget::{Ledger, Purpose};
use tracing::{info, warn};

/// The name under which a purpose is reported; a path group's hits in work with the group's own.
fn name(purpose: Purpose, groups: &[String]) -> String {
    match purpose {
        Purpose::InFlight(group) => {
            format!("work.{}", groups.get(usize::from(group)).map_or("other", String::as_str))
        }
        fixed => fixed.name().into(),
    }
}

/// Resident bytes by the system's own count: of the process alone, and of the program's pages that the system could
/// read again from its file. Zero where that can't be read.
fn resident() -> (usize, usize) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kib = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|l| l.trim().split(' ').next()?.parse::<usize>().ok()).unwrap_or(0)
    };
    ((kib("RssAnon:") + kib("RssShmem:")) * 1024, kib("RssFile:") * 1024)
}

/// One event for each purpose, and one for the process.
pub fn log_report(ledger: &Ledger, groups: &[String], clients: usize) {
    let ((resident, program), held) = (resident(), ledger.total_held());
    let unaccounted = resident.saturating_sub(held);
    info!(resident, program, held, unaccounted, clients, "memory of the process");
    for row in ledger.report() {
        info!(
            purpose = name(row.purpose, groups),
            held = row.account.held,
            cap = row.account.cap,
            reserve = row.account.reserve,
            high = row.account.high_water,
            refusals = row.refusals,
            reclaimed = row.reclaimed,
            changes = row.changes,
            level = row.level.name(),
            "memory by purpose"
        );
    }
}

/// One event for each change of a level since the last time.
pub fn log_level_changes(ledger: &Ledger, groups: &[String]) {
    for change in ledger.drain_changes() {
        warn!(
            purpose = name(change.purpose, groups),
            from = change.from.name(),
            to = change.to.name(),
            held = change.held,
            cap = change.cap,
            "memory level"
        );
    }
}
