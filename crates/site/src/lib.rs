//! Converts the platform's settings object (JSON) into the settings types of the decision module. Unknown keys are
//! ignored. A missing required key is an error; a missing optional key means that the site does not have the feature.
//! Error messages name the path of the faulty key.

use serde_json::Value;
use stonescale::host::Host;
use stonescale::list_lease::LeaseTerms;
use stonescale::policy::Marshal;
use stonescale::settings::{
    DedupScope, Effect, ExposureLimits, NodeListSettings, PathGroup, SiteLimits, StageControl, Tenancy,
    VotingRules, WarmUp,
};
use stonescale::time::{Span, Time};

/// A JSON object and the prefix of its keys in error messages: empty for the root, otherwise such as `limits.`.
pub struct ConfigObject<'a>(pub &'a Value, pub &'a str);

impl<'a> ConfigObject<'a> {
    /// The value of a key; `None` if it is absent or null.
    fn optional(&self, key: &str) -> Option<&'a Value> {
        self.0.get(key).filter(|value| !value.is_null())
    }

    /// The value of a required key; an error if it is absent or null.
    pub fn required(&self, key: &str) -> Result<&'a Value, String> {
        self.optional(key).ok_or_else(|| format!("{}{key} is missing", self.1))
    }

    fn type_error(&self, key: &str, expected: &str) -> String {
        format!("{}{key} is not {expected}", self.1)
    }

    /// A required number.
    pub fn number(&self, key: &str) -> Result<f64, String> {
        self.required(key)?.as_f64().ok_or_else(|| self.type_error(key, "a number"))
    }

    /// An optional number, zero if absent.
    fn number_or_zero(&self, key: &str) -> Result<f64, String> {
        self.optional(key)
            .map_or(Ok(0.0), |value| value.as_f64().ok_or_else(|| self.type_error(key, "a number")))
    }

    /// A required duration in nanoseconds; a negative number is read as zero.
    fn span(&self, key: &str) -> Result<Span, String> {
        Ok(Span::nanos(self.number(key)?.max(0.0) as u64))
    }

    /// An optional duration in nanoseconds, zero if absent.
    fn span_or_zero(&self, key: &str) -> Result<Span, String> {
        self.optional(key).map_or(Ok(Span::ZERO), |_| self.span(key))
    }

    /// An optional boolean, false if absent.
    fn flag(&self, key: &str) -> Result<bool, String> {
        self.optional(key)
            .map_or(Ok(false), |value| value.as_bool().ok_or_else(|| self.type_error(key, "true or false")))
    }

    /// A required string.
    pub fn string(&self, key: &str) -> Result<&'a str, String> {
        self.required(key)?.as_str().ok_or_else(|| self.type_error(key, "a string"))
    }

    /// A required array.
    fn list(&self, key: &str) -> Result<&'a [Value], String> {
        self.required(key)?.as_array().map(Vec::as_slice).ok_or_else(|| self.type_error(key, "a list"))
    }
}

/// The longest retry-after that clients obey; zero if the site has no retry-after.
fn max_retry_after(limits: &ConfigObject) -> Result<Span, String> {
    if limits.flag("retry_after")? { limits.span("max_retry_after_ns") } else { Ok(Span::ZERO) }
}

fn path_group(value: &Value, prefix: &str) -> Result<PathGroup, String> {
    let group = ConfigObject(value, prefix);
    let effect = match group.string("effect")? {
        "retryable" => Effect::Repeatable,
        "fragile" => Effect::Mutating,
        "dedup" => Effect::Tagged {
            scope: match group.string("dedup_scope")? {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                other => return Err(format!("{prefix}dedup_scope: '{other}' is unknown")),
            },
            dedup_window: group.span("memory_span_ns")?,
        },
        other => return Err(format!("{prefix}effect: '{other}' is unknown")),
    };
    Ok(PathGroup {
        effect,
        target_latency: group.span("aim_ns")?,
        target_stretch: group.number_or_zero("aim_stretch")?,
        timeout: group.span("deadline_ns")?,
        late_benefit: group.number_or_zero("late_share")?,
        // A path group without a stated benefit counts 1.
        benefit: group.optional("worth").map_or(Ok(1.0), |_| group.number("worth"))?,
    })
}

fn node_list_settings(settings: &ConfigObject) -> Result<NodeListSettings, String> {
    let rules = ConfigObject(settings.required("rules")?, "rules.");
    let rollout = ConfigObject(settings.required("specifics")?, "specifics.");
    let null = Value::Null;
    let prices = ConfigObject(settings.optional("prices").unwrap_or(&null), "prices.");
    Ok(NodeListSettings {
        marshal_index: settings.number("me")? as usize,
        zone: settings.number_or_zero("zone")? as u8,
        cross_zone_cost: prices.number_or_zero("cross_zone")?,
        on_request: settings.string("membership_mode")? == "ask",
        max_request_interval: rules.span("ask_within_ns")?,
        drain_grace: rules.span_or_zero("stop_sending_within_ns")?,
        parallel_layout: rollout.optional("layout").and_then(Value::as_str) == Some("parallel"),
    })
}

/// Starts a marshal with the settings object in `text`, which is JSON. Errors name the faulty key.
pub fn start_marshal_from_json(
    text: &[u8], seed: u64, now: Time, host: &mut impl Host,
) -> Result<Marshal, String> {
    let root = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
    start_marshal(&root, seed, now, host)
}

/// Starts a marshal with a settings object. Errors name the faulty key.
pub fn start_marshal(root: &Value, seed: u64, now: Time, host: &mut impl Host) -> Result<Marshal, String> {
    let settings = ConfigObject(root, "");
    let rules = ConfigObject(settings.required("rules")?, "rules.");
    let limits = ConfigObject(settings.required("limits")?, "limits.");
    let rollout = ConfigObject(settings.required("specifics")?, "specifics.");
    let mut groups = Vec::new();
    for (index, value) in settings.list("classes")?.iter().enumerate() {
        groups.push(path_group(value, &format!("classes[{index}]."))?);
    }
    let mut shares = Vec::new();
    for value in settings.optional("realms").and_then(Value::as_array).into_iter().flatten() {
        shares.push(ConfigObject(value, "realms[].").number("share")?);
    }
    let mut stage_caps = Vec::new();
    for value in rollout.list("most_shares")? {
        stage_caps
            .push(value.as_f64().ok_or_else(|| rollout.type_error("most_shares", "a list of numbers"))?);
    }

    let tenancy = Tenancy { shares, over_share_factor: settings.number_or_zero("over_share_worth")? };
    let site_limits = SiteLimits {
        max_forwards: limits.number("attempts_cap")? as usize,
        hedging: limits.flag("second_copies")?,
        cancellation: limits.flag("cancelling")?,
        max_retry_after: max_retry_after(&limits)?,
        tick: settings.span("tick_ns")?,
    };
    let exposure = ExposureLimits {
        allowance: rollout.number("allowance")?,
        per_group: rollout.string("counts")? == "each_class",
        repeatable_only_stages: rollout.number_or_zero("closed_stages")? as u8,
        sticky_keys: rollout.flag("no_return")?,
        stage_caps,
    };
    let clock_controlled = rollout.string("gate_mode")? == "automatic";
    let stage_votes =
        rollout.number_or_zero(if clock_controlled { "votes_to_hold" } else { "to_advance" })?;
    let voting = VotingRules {
        marshal_index: settings.number("me")? as usize,
        marshal_count: settings.number("siblings")? as usize,
        control: if clock_controlled { StageControl::Clock } else { StageControl::Votes },
        holds_needed: if clock_controlled { stage_votes as usize } else { 0 },
        votes_needed: stage_votes.max(rollout.number_or_zero("noes_needed")?) as usize,
        vote_lifetime: rollout.span("vote_stands_ns")?,
        call_timeout: rollout.span("call_timeout_ns")?,
        calls_per_s: rollout.number("calls_per_s")?,
        reported_share: rollout.number_or_zero("reported_share")?,
    };
    let node_list = node_list_settings(&settings)?;
    let warm_up = WarmUp {
        initial_share: rules.number("cold_from")?,
        duration: rules.span("warm_up_ns")?,
        overload_multiple: rules.number("fall_multiple")?,
    };
    Ok(Marshal::new(host, now, seed, (groups, tenancy, site_limits), exposure, voting, (node_list, warm_up)))
}

/// The part of a path group's settings that is needed to admit a hit, with the group's name on the wire.
pub struct NamedPathGroup {
    pub name: String,
    pub effect: Effect,
    pub target_latency: Span,
}

/// Names used on the wire; the decision module refers to each by its index in these lists.
pub struct WireNames {
    pub groups: Vec<NamedPathGroup>,
    /// Longest retry-after that bounced clients obey; zero if they are sent none.
    pub max_retry_after: Span,
    /// Empty if the site has no tenants.
    pub tenants: Vec<String>,
    /// Empty if the site has no zones.
    pub zones: Vec<String>,
    /// Kinds of nodes.
    pub kinds: Vec<String>,
}

/// Reads the names of path groups, tenants, zones and node kinds. Errors name the faulty key.
pub fn wire_names(root: &Value) -> Result<WireNames, String> {
    let settings = ConfigObject(root, "");
    let strings = |key: &str| -> Result<Vec<String>, String> {
        let string = |value: &Value| {
            value.as_str().map(str::to_owned).ok_or_else(|| settings.type_error(key, "a list of strings"))
        };
        settings.list(key)?.iter().map(string).collect()
    };
    let name = |value: &Value, prefix: &str| ConfigObject(value, prefix).string("name").map(str::to_owned);
    let (mut groups, mut tenants) = (Vec::new(), Vec::new());
    for (index, value) in settings.list("classes")?.iter().enumerate() {
        let prefix = format!("classes[{index}].");
        let PathGroup { effect, target_latency, .. } = path_group(value, &prefix)?;
        groups.push(NamedPathGroup { name: name(value, &prefix)?, effect, target_latency });
    }
    if settings.optional("realms").is_some() {
        for value in settings.list("realms")? {
            tenants.push(name(value, "realms[].")?);
        }
    }
    let max_retry_after = max_retry_after(&ConfigObject(settings.required("limits")?, "limits."))?;
    // A site without zones treats all nodes as in the same zone.
    let zones = settings.optional("azs").map_or(Ok(Vec::new()), |_| strings("azs"))?;
    Ok(WireNames { groups, max_retry_after, tenants, zones, kinds: strings("flavors")? })
}

/// Settings of connections to nodes: connect timeout and idle timeout. How many requests a node begins at once on one
/// connection is not read, as a connection carries one forward at a time.
pub fn node_connection_settings(root: &Value) -> Result<(Span, Span), String> {
    let limits = ConfigObject(ConfigObject(root, "").required("limits")?, "limits.");
    Ok((limits.span("connect_timeout_ns")?, limits.span("keepalive_ns")?))
}

/// The terms of the lease on the node list, and the timeout of a vote call to the platform.
pub fn control_plane_settings(root: &Value) -> Result<(LeaseTerms, Span), String> {
    let settings = ConfigObject(root, "");
    let call_timeout = ConfigObject(settings.required("specifics")?, "specifics.").span("call_timeout_ns")?;
    Ok((LeaseTerms::new(&node_list_settings(&settings)?), call_timeout))
}
