//! Start-up: the one place where configuration is read, checked and defaulted, also when it is read again.
//! Messages name the key.

use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use stonescale_budget::{Plan, ProcessLimits, Shares};
use stonescale_site::Told;

/// Part of the descriptors kept free for discovery and the platform (two each where they move), the log, and
/// what the process itself needs; so many at least.
const RESERVED: f64 = 1.0 / 16.0;
const LEAST_RESERVED: usize = 16;
/// Part of the other descriptors that is for clients. A hit takes up one of theirs and one to a node; an answer
/// that never comes keeps the latter, and whatever shared it would wait as well.
const CLIENTS: f64 = 0.6;
/// For hits, clients hold a third of the descriptors at most, by the service page; half of that is a
/// crowd, among which idle connections make room.
const CROWD: f64 = 1.0 / 6.0;

/// The environment, read here and nowhere else. It is stronger than the file.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

/// Where the configuration is, by the command line or else by the environment.
pub fn config_path(file: Option<PathBuf>) -> Result<PathBuf, String> {
    let path = file.or_else(|| variable("NODE_CONFIG").map(PathBuf::from));
    Ok(path.ok_or("NODE_CONFIG is not set, and no --config was given")?)
}

pub fn read_config(path: &Path) -> Result<Value, String> {
    let text = std::fs::read(path).map_err(|e| format!("NODE_CONFIG: {}: {e}", path.display()))?;
    let root: Value = serde_json::from_slice(&text)
        .map_err(|e| format!("NODE_CONFIG: {}: not JSON: {e}", path.display()))?;
    if root.is_object() { Ok(root) } else { Err(format!("NODE_CONFIG: {}: not an object", path.display())) }
}

fn address(root: &Value, name: &str, key: &str, place: &str) -> Result<SocketAddr, String> {
    let (shown, text) = match variable(name) {
        Some(text) => (name.to_owned(), text),
        None => (format!("{place}{key}"), Told(root, place).word(key)?.to_owned()),
    };
    text.parse().map_err(|_| format!("{shown} is not an address and a port: '{text}'"))
}

/// Name, address to listen on, and address of discovery.
pub fn identity(root: &Value) -> Result<(String, SocketAddr, SocketAddr), String> {
    let name = match variable("NODE_NAME") {
        Some(name) => name,
        None => Told(root, "").word("name")?.to_owned(),
    };
    let listen = address(root, "NODE_LISTEN", "listen", "")?;
    Ok((name, listen, address(root, "NODE_DISCOVERY", "discovery", "")?))
}

/// Addresses of discovery and of the platform in a file that is read again. The environment is from the
/// start: it counts only for what the file does not say.
pub fn reloaded_addresses(root: &Value) -> Result<(SocketAddr, SocketAddr), String> {
    let discovery = match root.get("discovery") {
        Some(_) => address(root, "", "discovery", "")?,
        None => address(root, "NODE_DISCOVERY", "discovery", "")?,
    };
    Ok((discovery, platform(root)?.0))
}

/// The keys in which a file differs from the one that runs, but for what only tells how things stood when it
/// was written and the addresses that `reloaded_addresses` reads.
pub fn changed_keys(root: &Value, running: &Value) -> Vec<String> {
    let differs = |key: &&str| root.get(*key) != running.get(*key);
    ["name", "listen", "seed", "limits", "settings"].into_iter().filter(differs).map(str::to_owned).collect()
}

/// Drops what only tells how things stood when the file was written.
pub fn remove_snapshot(root: &mut Value) {
    if let Some(root) = root.as_object_mut() {
        root.remove("known");
        root.remove("platform");
    }
}

/// Seed of the random numbers.
pub fn seed(root: &Value) -> Result<u64, String> {
    let text = Told(root, "").word("seed")?;
    u64::from_str_radix(text, 16)
        .map_err(|_| format!("seed is not a number of up to 16 hex digits: '{text}'"))
}

/// Most client connections and what is a crowd of them, most node connections, and the memory limit in bytes.
pub fn limits(root: &Value) -> Result<((usize, usize), usize, usize), String> {
    let limits = Told(Told(root, "").need("limits")?, "limits.");
    let (sockets, memory) = (limits.number("sockets")? as usize, limits.number("memory_mb")? as usize);
    let reserved = ((sockets as f64 * RESERVED) as usize).max(LEAST_RESERVED);
    let free = sockets.saturating_sub(reserved);
    if free < 4 {
        return Err(format!("limits.sockets is too few: {sockets}"));
    }
    let clients = (free as f64 * CLIENTS) as usize;
    let crowd = (sockets as f64 * CROWD) as usize;
    Ok(((clients, crowd), free - clients, memory.saturating_mul(1024 * 1024)))
}

/// Caps and reserves by purpose, from the limits and the shares; what can't be kept is an error that names what is
/// missing.
pub fn memory_plan(root: &Value, groups: usize, shares: &Shares) -> Result<Plan, String> {
    let ((clients, _), links, memory) = limits(root)?;
    let process = ProcessLimits {
        memory_bytes: memory,
        max_clients: clients,
        max_node_connections: links,
        path_groups: groups,
    };
    Plan::new(process, shares).map_err(|e| format!("limits.memory_mb: {e}"))
}

/// The platform's address, and the state of the newest build.
pub fn platform(root: &Value) -> Result<(SocketAddr, &Value), String> {
    let told = Told(Told(root, "").need("platform")?, "platform.");
    Ok((address(told.0, "", "address", "platform.")?, told.need("news")?))
}

/// The node list as last held.
pub fn known_nodes(root: &Value) -> Result<&Value, String> {
    Told(root, "").need("known")
}

pub fn settings(root: &Value) -> Result<&Value, String> {
    Told(root, "").need("settings")
}
