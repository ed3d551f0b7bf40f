//! Node lists in discovery's form: JSON objects, and their conversion into entries for the decision module.

use crate::inbox::NodeEntry;
use serde::Deserialize;
use std::borrow::Cow;
use stonescale::host::{NodeAttributes, Readiness};
use stonescale::time::Time;
use stonescale_site::WireNames;

/// Names of the zones and the kinds of nodes; an entry's locality is stored as indices into them.
pub struct LocalityNames {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl LocalityNames {
    pub fn new(names: &WireNames) -> Self {
        LocalityNames { zones: names.zones.clone(), kinds: names.kinds.clone() }
    }

    /// Converts one entry of the list. An error names the faulty key.
    fn parse_entry(&self, server: &Server) -> Result<NodeEntry, String> {
        let index_of = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let addr = server.addr.parse().map_err(|_| "addr is not an IP address and port")?;
        let readiness = match &*server.state {
            "up" => Readiness::Ready,
            "draining" => Readiness::Draining,
            "removed" => Readiness::Gone,
            other => return Err(format!("state '{other}' is unknown")),
        };
        // All unknown zones share one index, as do all unknown kinds; no known kind has that index, nor
        // any of the first 255 zones.
        let attributes = NodeAttributes {
            zone: index_of(&self.zones, &server.zone)
                .and_then(|index| u8::try_from(index).ok())
                .unwrap_or(u8::MAX),
            kind: index_of(&self.kinds, &server.kind).unwrap_or(self.kinds.len()) as u16,
            cell: server.cell.unwrap_or(0.0) as u16,
            weight: server.weight.unwrap_or(1.0) as f32,
        };
        let build = Some(server.image_id)
            .filter(|b| (0.0..65536.0).contains(b))
            .ok_or("image_id is not a build number")?;
        let started_at = Time::at((server.started_ms.unwrap_or(0.0) as u64).saturating_mul(1_000_000));
        Ok((server.id.clone().into_owned(), addr, attributes, readiness, build as u16, started_at))
    }

    /// Returns the version of a list object, whether it is the full list, and its entries. One invalid entry makes
    /// the whole list invalid: if it were skipped, a drain could be missed for good.
    pub fn parse_list(&self, list: List) -> Result<(u64, bool, Vec<NodeEntry>), String> {
        let entries: Result<Vec<_>, _> = list.servers.iter().map(|server| self.parse_entry(server)).collect();
        Ok((list.version, list.full, entries?))
    }
}

/// A list object of discovery's protocol; its strings borrow from the line that holds them.
#[derive(Deserialize)]
pub struct List<'a> {
    version: u64,
    full: bool,
    #[serde(borrow)]
    servers: Vec<Server<'a>>,
}

#[derive(Deserialize)]
struct Server<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    addr: Cow<'a, str>,
    #[serde(borrow)]
    zone: Cow<'a, str>,
    #[serde(borrow)]
    kind: Cow<'a, str>,
    cell: Option<f64>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    weight: Option<f64>,
    /// Missing or null: started a long time ago.
    started_ms: Option<f64>,
    image_id: f64,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_zone_index_beyond_u8_is_treated_as_an_unknown_zone() {
        let zones = (0..300).map(|n| format!("z{n}")).collect();
        let names = LocalityNames { zones, kinds: vec!["m".into()] };
        let zone = |name: &str| {
            let line = format!(
                r#"{{"version":1,"full":true,"servers":[{{"id":"s","addr":"127.0.0.1:1","zone":"{name}","kind":"m","state":"up","image_id":1}}]}}"#
            );
            let (_, _, entries) = names.parse_list(serde_json::from_str(&line).unwrap()).unwrap();
            entries[0].2.zone
        };
        assert_eq!(["z0", "z254", "z256", "z299", "none"].map(zone), [0, 254, u8::MAX, u8::MAX, u8::MAX]);
    }
}
