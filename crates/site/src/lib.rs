//! Reads what a marshal is told at its start, by name, and hands each part of the module its own figures.
//! Unknown keys are skipped. A missing needed key is an error; optional ones stand for 'there is none'.

use serde_json::Value;
use stonescale::host::Host;
use stonescale::policy::Marshal;
use stonescale::settings::{
    DedupScope, Effect, ExposureLimits, NodeListSettings, PathGroup, SiteLimits, StageControl, Tenancy,
    VotingRules, WarmUp,
};
use stonescale::time::{Span, Time};

/// An object and where it stands, for messages that name the faulty key.
pub struct ConfigObject<'a>(pub &'a Value, pub &'a str);

impl<'a> ConfigObject<'a> {
    fn optional(&self, key: &str) -> Option<&'a Value> {
        self.0.get(key).filter(|v| !v.is_null())
    }

    pub fn required(&self, key: &str) -> Result<&'a Value, String> {
        self.optional(key).ok_or_else(|| format!("{}{key} is missing", self.1))
    }

    fn type_error(&self, key: &str, expected: &str) -> String {
        format!("{}{key} is not {expected}", self.1)
    }

    pub fn number(&self, key: &str) -> Result<f64, String> {
        self.required(key)?.as_f64().ok_or_else(|| self.type_error(key, "a number"))
    }

    /// An optional number; absent means that the site has no such thing.
    fn number_or_zero(&self, key: &str) -> Result<f64, String> {
        self.optional(key).map_or(Ok(0.0), |v| v.as_f64().ok_or_else(|| self.type_error(key, "a number")))
    }

    fn span(&self, key: &str) -> Result<Span, String> {
        Ok(Span::nanos(self.number(key)?.max(0.0) as u64))
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        self.optional(key)
            .map_or(Ok(false), |v| v.as_bool().ok_or_else(|| self.type_error(key, "true or false")))
    }

    pub fn string(&self, key: &str) -> Result<&'a str, String> {
        self.required(key)?.as_str().ok_or_else(|| self.type_error(key, "a text"))
    }

    fn list(&self, key: &str) -> Result<&'a [Value], String> {
        self.required(key)?.as_array().map(Vec::as_slice).ok_or_else(|| self.type_error(key, "a list"))
    }
}

fn max_retry_after(limits: &ConfigObject) -> Result<Span, String> {
    if limits.flag("retry_after")? { limits.span("max_retry_after_ns") } else { Ok(Span::ZERO) }
}

fn path_group(value: &Value, place: &str) -> Result<PathGroup, String> {
    let told = ConfigObject(value, place);
    let effect = match told.string("effect")? {
        "retryable" => Effect::Repeatable,
        "fragile" => Effect::Mutating,
        "dedup" => Effect::Tagged {
            scope: match told.string("dedup_scope")? {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                other => return Err(format!("{place}dedup_scope: '{other}' is unknown")),
            },
            dedup_window: told.span("memory_span_ns")?,
        },
        other => return Err(format!("{place}effect: '{other}' is unknown")),
    };
    Ok(PathGroup {
        effect,
        target_latency: told.span("aim_ns")?,
        target_stretch: told.number_or_zero("aim_stretch")?,
        timeout: told.span("deadline_ns")?,
        late_benefit: told.number_or_zero("late_share")?,
        // Where nothing is said, a path group is worth what one is.
        benefit: told.optional("worth").map_or(Ok(1.0), |_| told.number("worth"))?,
    })
}

/// Starts a marshal by the settings in `text`.
pub fn start_marshal_from_json(
    text: &[u8], seed: u64, now: Time, host: &mut impl Host,
) -> Result<Marshal, String> {
    let root = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
    start_marshal(&root, seed, now, host)
}

/// Starts a marshal by the settings object.
pub fn start_marshal(root: &Value, seed: u64, now: Time, host: &mut impl Host) -> Result<Marshal, String> {
    let top = ConfigObject(root, "");
    let rules = ConfigObject(top.required("rules")?, "rules.");
    let limits = ConfigObject(top.required("limits")?, "limits.");
    let rollout = ConfigObject(top.required("specifics")?, "specifics.");
    let nothing = Value::Null;
    let prices = ConfigObject(top.optional("prices").unwrap_or(&nothing), "prices.");

    let mut groups = Vec::new();
    for (at, value) in top.list("classes")?.iter().enumerate() {
        groups.push(path_group(value, &format!("classes[{at}]."))?);
    }
    let mut shares = Vec::new();
    for value in top.optional("realms").and_then(Value::as_array).into_iter().flatten() {
        shares.push(ConfigObject(value, "realms[].").number("share")?);
    }
    let mut caps = Vec::new();
    for value in rollout.list("most_shares")? {
        caps.push(value.as_f64().ok_or_else(|| rollout.type_error("most_shares", "a list of numbers"))?);
    }

    let tenancy = Tenancy { shares, over_share_factor: top.number_or_zero("over_share_worth")? };
    let handling = SiteLimits {
        max_forwards: limits.number("attempts_cap")? as usize,
        hedging: limits.flag("second_copies")?,
        cancellation: limits.flag("cancelling")?,
        max_retry_after: max_retry_after(&limits)?,
        tick: top.span("tick_ns")?,
    };
    let trial = ExposureLimits {
        allowance: rollout.number("allowance")?,
        per_group: rollout.string("counts")? == "each_class",
        repeatable_only_stages: rollout.number_or_zero("closed_stages")? as u8,
        sticky_keys: rollout.flag("no_return")?,
        stage_caps: caps,
    };
    let clock = rollout.string("gate_mode")? == "automatic";
    let on = rollout.number_or_zero(if clock { "votes_to_hold" } else { "to_advance" })?;
    let ballot = VotingRules {
        marshal_index: top.number("me")? as usize,
        marshal_count: top.number("siblings")? as usize,
        control: if clock { StageControl::Clock } else { StageControl::Votes },
        holds_needed: if clock { on as usize } else { 0 },
        votes_needed: on.max(rollout.number_or_zero("noes_needed")?) as usize,
        vote_lifetime: rollout.span("vote_stands_ns")?,
        call_timeout: rollout.span("call_timeout_ns")?,
        calls_per_s: rollout.number("calls_per_s")?,
        reported_share: rollout.number_or_zero("reported_share")?,
    };
    let listed = NodeListSettings {
        marshal_index: ballot.marshal_index,
        zone: top.number_or_zero("zone")? as u8,
        cross_zone_cost: prices.number_or_zero("cross_zone")?,
        on_request: top.string("membership_mode")? == "ask",
        max_request_interval: rules.span("ask_within_ns")?,
        parallel_layout: rollout.optional("layout").and_then(Value::as_str) == Some("parallel"),
    };
    let warm_up = WarmUp {
        initial_share: rules.number("cold_from")?,
        duration: rules.span("warm_up_ns")?,
        overload_multiple: rules.number("fall_multiple")?,
    };
    Ok(Marshal::new(host, now, seed, (groups, tenancy, handling), trial, ballot, (listed, warm_up)))
}

/// A path group as far as that is needed before a hit of it is taken.
pub struct NamedPathGroup {
    pub name: String,
    pub effect: Effect,
    pub target_latency: Span,
}

/// The names that stand on the wire for the settings' indices.
pub struct WireNames {
    pub groups: Vec<NamedPathGroup>,
    /// Longest wait that a bounced client obeys; zero where it is not told any.
    pub max_retry_after: Span,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

pub fn wire_names(root: &Value) -> Result<WireNames, String> {
    let top = ConfigObject(root, "");
    let words = |key: &str| -> Result<Vec<String>, String> {
        let word =
            |v: &Value| v.as_str().map(str::to_owned).ok_or_else(|| top.type_error(key, "a list of texts"));
        top.list(key)?.iter().map(word).collect()
    };
    let name = |value: &Value, place: &str| ConfigObject(value, place).string("name").map(str::to_owned);
    let (mut groups, mut tenants) = (Vec::new(), Vec::new());
    for (at, value) in top.list("classes")?.iter().enumerate() {
        let place = format!("classes[{at}].");
        let PathGroup { effect, target_latency, .. } = path_group(value, &place)?;
        groups.push(NamedPathGroup { name: name(value, &place)?, effect, target_latency });
    }
    if top.optional("realms").is_some() {
        for value in top.list("realms")? {
            tenants.push(name(value, "realms[].")?);
        }
    }
    let max_retry_after = max_retry_after(&ConfigObject(top.required("limits")?, "limits."))?;
    // Where there are no zones, all nodes are of one.
    let zones = top.optional("azs").map_or(Ok(Vec::new()), |_| words("azs"))?;
    Ok(WireNames { groups, max_retry_after, tenants, zones, kinds: words("flavors")? })
}

/// How connections to nodes are made: how long one may take to come up, how long it may stand idle, and how
/// many forwards it carries at once.
pub fn node_connection_settings(root: &Value) -> Result<(Span, Span, usize), String> {
    let limits = ConfigObject(ConfigObject(root, "").required("limits")?, "limits.");
    Ok((
        limits.span("connect_timeout_ns")?,
        limits.span("keepalive_ns")?,
        (limits.number("multiplex")? as usize).max(1),
    ))
}

/// Whether the node list answers only when asked, and how long a vote may take.
pub fn control_plane_settings(root: &Value) -> Result<(bool, Span), String> {
    let top = ConfigObject(root, "");
    let asked = top.string("membership_mode")? == "ask";
    let call_timeout = ConfigObject(top.required("specifics")?, "specifics.").span("call_timeout_ns")?;
    Ok((asked, call_timeout))
}
