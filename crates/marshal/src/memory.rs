//! Logs memory use by purpose: periodically, on request, and at each change of a pressure level.

use stonescale_budget::{Ledger, Purpose};
use tracing::{info, warn};

/// The name of a purpose in the log; a path group's hits in flight are named after the group.
fn purpose_name(purpose: Purpose, groups: &[String]) -> String {
    match purpose {
        Purpose::InFlight(group) => {
            format!("work.{}", groups.get(usize::from(group)).map_or("other", String::as_str))
        }
        fixed => fixed.name().into(),
    }
}

/// Resident bytes as the kernel counts them: the process's own memory, and the program's pages, which the kernel can
/// read again from its file. Zero if the counts can't be read.
fn resident_bytes() -> (usize, usize) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kib = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|l| l.trim().split(' ').next()?.parse::<usize>().ok()).unwrap_or(0)
    };
    ((kib("RssAnon:") + kib("RssShmem:")) * 1024, kib("RssFile:") * 1024)
}

/// Logs one event for the process and one for each purpose. `clients` is the number of client connections.
pub fn log_report(ledger: &Ledger, groups: &[String], clients: usize) {
    let ((resident, program), held) = (resident_bytes(), ledger.total_held());
    let unaccounted = resident.saturating_sub(held);
    info!(resident, program, held, unaccounted, clients, "memory of the process");
    for row in ledger.report() {
        info!(
            purpose = purpose_name(row.purpose, groups),
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

/// Logs one event for each change of a pressure level since the last call.
pub fn log_level_changes(ledger: &Ledger, groups: &[String]) {
    for change in ledger.drain_changes() {
        warn!(
            purpose = purpose_name(change.purpose, groups),
            from = change.from.name(),
            to = change.to.name(),
            held = change.held,
            cap = change.cap,
            "memory level"
        );
    }
}
