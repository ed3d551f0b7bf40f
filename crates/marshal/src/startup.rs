//! Reads, checks and defaults the configuration, at start-up and on each reload; no other module does. Error messages
//! name the key.

use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use stonescale_budget::{Plan, ProcessLimits, Shares};
use stonescale_site::ConfigObject;

/// Share of the descriptors that is reserved for discovery and the platform (two each while their address changes),
/// the log and the process itself.
const RESERVED_SHARE: f64 = 1.0 / 16.0;
/// Minimum number of descriptors that are reserved, whatever the share comes to.
const MIN_RESERVED_DESCRIPTORS: usize = 16;
/// Clients' share of the other descriptors. A hit uses one client connection and one node connection; a reply that
/// never comes keeps the latter in use, and all hits that shared it would wait as well.
const CLIENT_SHARE: f64 = 0.6;
/// Share of the descriptors in use by clients above which idle client connections are closed. By the service page
/// clients use at most a third of the descriptors for hits; this is half of that.
const IDLE_EVICTION_SHARE: f64 = 1.0 / 6.0;

/// Reads an environment variable, for this module only; an empty one counts as unset. The environment takes precedence
/// over the file.
fn env_var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

/// Path of the configuration, from the command line or else from NODE_CONFIG.
pub fn config_path(file: Option<PathBuf>) -> Result<PathBuf, String> {
    let path = file.or_else(|| env_var("NODE_CONFIG").map(PathBuf::from));
    Ok(path.ok_or("NODE_CONFIG is not set and --config was not given")?)
}

/// Reads the configuration file, which holds one JSON object.
pub fn read_config(path: &Path) -> Result<Value, String> {
    let text = std::fs::read(path).map_err(|e| format!("NODE_CONFIG: {}: {e}", path.display()))?;
    let root: Value = serde_json::from_slice(&text)
        .map_err(|e| format!("NODE_CONFIG: {}: not JSON: {e}", path.display()))?;
    if root.is_object() {
        Ok(root)
    } else {
        Err(format!("NODE_CONFIG: {}: not a JSON object", path.display()))
    }
}

/// Reads an address and port from the environment variable `name`, or else from `key` of `root`; `prefix` precedes the
/// key in error messages.
fn address(root: &Value, name: &str, key: &str, prefix: &str) -> Result<SocketAddr, String> {
    let (source, text) = match env_var(name) {
        Some(text) => (name.to_owned(), text),
        None => (format!("{prefix}{key}"), ConfigObject(root, prefix).string(key)?.to_owned()),
    };
    text.parse().map_err(|_| format!("{source} is not an IP address and port: '{text}'"))
}

/// Name, address to listen on, and address of discovery.
pub fn identity(root: &Value) -> Result<(String, SocketAddr, SocketAddr), String> {
    let name = match env_var("NODE_NAME") {
        Some(name) => name,
        None => ConfigObject(root, "").string("name")?.to_owned(),
    };
    let listen = address(root, "NODE_LISTEN", "listen", "")?;
    Ok((name, listen, address(root, "NODE_DISCOVERY", "discovery", "")?))
}

/// Addresses of discovery and the platform in a reloaded file. The environment dates from the start of the process, so
/// it counts only for a key that the file lacks.
pub fn reloaded_addresses(root: &Value) -> Result<(SocketAddr, SocketAddr), String> {
    let discovery = match root.get("discovery") {
        Some(_) => address(root, "", "discovery", "")?,
        None => address(root, "NODE_DISCOVERY", "discovery", "")?,
    };
    Ok((discovery, platform(root)?.0))
}

/// The keys in which a file differs from the one in force, except for the snapshot (see `remove_snapshot`) and the
/// addresses that `reloaded_addresses` reads.
pub fn changed_keys(root: &Value, running: &Value) -> Vec<String> {
    let differs = |key: &&str| root.get(*key) != running.get(*key);
    ["name", "listen", "seed", "limits", "settings"].into_iter().filter(differs).map(str::to_owned).collect()
}

/// Removes the keys that only hold a snapshot from when the file was written: the node list and the platform's state.
pub fn remove_snapshot(root: &mut Value) {
    if let Some(root) = root.as_object_mut() {
        root.remove("known");
        root.remove("platform");
    }
}

/// Seed of the random number generators, written in hexadecimal.
pub fn seed(root: &Value) -> Result<u64, String> {
    let text = ConfigObject(root, "").string("seed")?;
    u64::from_str_radix(text, 16)
        .map_err(|_| format!("seed is not a hexadecimal number of up to 16 digits: '{text}'"))
}

/// The maximum number of client connections with the number above which idle ones are closed, the maximum number of
/// node connections, and the memory limit in bytes.
pub fn limits(root: &Value) -> Result<((usize, usize), usize, usize), String> {
    let limits = ConfigObject(ConfigObject(root, "").required("limits")?, "limits.");
    let (sockets, memory_mib) = (limits.number("sockets")? as usize, limits.number("memory_mb")? as usize);
    let reserved = ((sockets as f64 * RESERVED_SHARE) as usize).max(MIN_RESERVED_DESCRIPTORS);
    let available = sockets.saturating_sub(reserved);
    if available < 4 {
        return Err(format!("limits.sockets is too low: {sockets}"));
    }
    let clients = (available as f64 * CLIENT_SHARE) as usize;
    let idle_eviction_threshold = (sockets as f64 * IDLE_EVICTION_SHARE) as usize;
    Ok(((clients, idle_eviction_threshold), available - clients, memory_mib.saturating_mul(1024 * 1024)))
}

/// Computes the caps and reserves by purpose from the limits and the operator's shares; an error says how much memory
/// is missing.
pub fn memory_plan(root: &Value, group_count: usize, shares: &Shares) -> Result<Plan, String> {
    let ((clients, _), node_connections, memory_bytes) = limits(root)?;
    let process = ProcessLimits {
        memory_bytes,
        max_clients: clients,
        max_node_connections: node_connections,
        path_groups: group_count,
    };
    Plan::new(process, shares).map_err(|e| format!("limits.memory_mb: {e}"))
}

/// The platform's address, and the JSON object with the state of the newest build.
pub fn platform(root: &Value) -> Result<(SocketAddr, &Value), String> {
    let platform = ConfigObject(ConfigObject(root, "").required("platform")?, "platform.");
    Ok((address(platform.0, "", "address", "platform.")?, platform.required("news")?))
}

/// The node list that the configuration holds.
pub fn known_nodes(root: &Value) -> Result<&Value, String> {
    ConfigObject(root, "").required("known")
}

/// The marshal's settings.
pub fn settings(root: &Value) -> Result<&Value, String> {
    ConfigObject(root, "").required("settings")
}
