//! Settings and configuration of a small site.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use stonescale::settings::{DedupScope, Effect};
use stonescale::time::Span;

/// A path group, with the settings that clients need to send its hits and judge their answers.
#[derive(Clone, Debug)]
pub struct PathGroup {
    /// Name in the settings and in field `c` of a hit's command.
    pub name: &'static str,
    /// Whether a hit may run more than once.
    pub effect: Effect,
    /// Target latency.
    pub latency_target: Duration,
    /// Benefit of a hit that is delivered in time.
    pub benefit: f64,
}

/// Time for which the idempotency key of a tagged hit is remembered at this site.
pub const DEDUP_WINDOW: Duration = Duration::from_millis(3_000);

/// Index of the repeatable path group in `path_groups`.
pub const REPEATABLE: usize = 0;
/// Index of the tagged path group in `path_groups`.
pub const TAGGED: usize = 1;
/// Index of the mutating path group in `path_groups`.
pub const MUTATING: usize = 2;

/// One path group of each kind, in the order of the constants above.
pub fn path_groups() -> Vec<PathGroup> {
    let tagged = Effect::Tagged {
        scope: DedupScope::All,
        dedup_window: Span::millis(DEDUP_WINDOW.as_millis() as u64),
    };
    let group = |name, effect, benefit| PathGroup {
        name,
        effect,
        latency_target: Duration::from_millis(400),
        benefit,
    };
    vec![
        group("read", Effect::Repeatable, 1.0),
        group("push", tagged, 3.0),
        group("book", Effect::Mutating, 9.0),
    ]
}

/// The settings of the site, as JSON.
pub fn settings() -> Value {
    let class = |group: PathGroup| {
        let effect = match group.effect {
            Effect::Repeatable => "retryable",
            Effect::Tagged { .. } => "dedup",
            Effect::Mutating => "fragile",
        };
        json!({"name": group.name, "aim_ns": group.latency_target.as_nanos() as u64, "deadline_ns": 1_500_000_000u64,
            "effect": effect, "dedup_scope": "all", "memory_span_ns": DEDUP_WINDOW.as_nanos() as u64,
            "worth": group.benefit})
    };
    json!({"azs": ["a", "b"], "flavors": ["m"], "me": 0, "siblings": 1, "zone": 0, "tick_ns": 1_000_000u64,
        "classes": path_groups().into_iter().map(class).collect::<Vec<_>>(),
        "realms": [{"name": "acme", "share": 1.0}],
        "limits": {"attempts_cap": 5, "cancelling": true, "second_copies": true, "retry_after": true,
            "max_retry_after_ns": 250_000_000u64, "connect_timeout_ns": 250_000_000u64,
            "keepalive_ns": 3_000_000_000u64, "multiplex": 100},
        "membership_mode": "ask",
        "rules": {"ask_within_ns": 10_000_000_000u64, "cold_from": 0.3, "warm_up_ns": 1_000_000_000u64,
            "fall_multiple": 2.0},
        "specifics": {"allowance": 1.0, "call_timeout_ns": 800_000_000u64, "calls_per_s": 20.0, "counts": "all",
            "gate_mode": "automatic", "most_shares": [0.1, 0.35, 1.0], "noes_needed": 1, "votes_to_hold": 1,
            "vote_stands_ns": 4_000_000_000u64}})
}

/// Limits of a marshal's process: memory in MiB, and open sockets.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: usize,
    /// Open sockets of all kinds; the marshal divides them among clients, nodes and its own needs.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

/// Configuration of a marshal, as JSON.
pub fn config(
    limits: Limits, discovery: SocketAddr, platform: SocketAddr, build_status: &Value, known: &Value,
) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "platform": {"address": platform, "news": build_status}, "known": known, "settings": settings()})
}
