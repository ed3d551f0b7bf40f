//! Counters of what became of connections, commands, hits and forwards, in the OpenMetrics text form. They are logged with
//! the memory report.

use crate::endings::EndReason;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use stonescale::host::GiveUpReason;
use stonescale::list_lease::ListCallFailure;
use tracing::info;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CloseLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct GiveUpLabel {
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ForwardLabel {
    reason: EndReason,
    /// Whether its last byte had been written.
    sent: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListCallLabel {
    result: String,
}

/// Why a command was refused without becoming a hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Refusal {
    /// The commands in progress on its connection are at their limit.
    PipelineLimit,
    /// Its client has left, or its connection is to be closed.
    ConnectionEnding,
    /// There is no memory for it.
    NoMemory,
    /// Its id is that of an open hit, or of one that may have run.
    IdInUse,
    /// It is not sound.
    Invalid,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabel {
    reason: Refusal,
}

/// The final answer of a hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Answer {
    Delivered,
    Bounced,
    Errored,
    /// The client left before.
    ClientLeft,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabel {
    answer: Answer,
}

/// All counters of one marshal.
pub struct Metrics {
    registry: Registry,
    connections_accepted: Counter,
    connections_closed: Family<CloseLabel, Counter>,
    commands_refused: Family<RefusalLabel, Counter>,
    hits: Family<AnswerLabel, Counter>,
    hits_given_up: Family<GiveUpLabel, Counter>,
    forwards: Family<ForwardLabel, Counter>,
    forwards_waited: Counter,
    node_connections_opened: Counter,
    node_inputs_unasked: Counter,
    list_calls: Family<ListCallLabel, Counter>,
    /// The counters of the usual way of a hit, which need no look-up.
    hits_delivered: Counter,
    forwards_served: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Metrics {
            registry: Registry::default(),
            connections_accepted: Counter::default(),
            connections_closed: Family::default(),
            commands_refused: Family::default(),
            hits: Family::default(),
            hits_given_up: Family::default(),
            forwards: Family::default(),
            forwards_waited: Counter::default(),
            node_connections_opened: Counter::default(),
            node_inputs_unasked: Counter::default(),
            list_calls: Family::default(),
            hits_delivered: Counter::default(),
            forwards_served: Counter::default(),
        };
        let registry = &mut metrics.registry;
        registry.register(
            "client_connections_accepted",
            "Accepted client connections",
            metrics.connections_accepted.clone(),
        );
        registry.register(
            "client_connections_closed",
            "Closed client connections by reason",
            metrics.connections_closed.clone(),
        );
        registry.register(
            "commands_refused",
            "Commands that did not become hits, by reason",
            metrics.commands_refused.clone(),
        );
        registry.register("hits", "Hits by final answer", metrics.hits.clone());
        registry.register("hits_given_up", "Hits given up, by reason", metrics.hits_given_up.clone());
        registry.register(
            "forwards",
            "Ended forwards by reason and whether they were written",
            metrics.forwards.clone(),
        );
        registry.register(
            "forwards_waited",
            "Forwards that waited for a connection to their node",
            metrics.forwards_waited.clone(),
        );
        registry.register(
            "node_connections_opened",
            "Connections to nodes that were begun",
            metrics.node_connections_opened.clone(),
        );
        registry.register(
            "node_inputs_unasked",
            "Connections to nodes closed for input that no forward had asked for",
            metrics.node_inputs_unasked.clone(),
        );
        registry.register("list_calls", "Calls to discovery by result", metrics.list_calls.clone());
        let delivered = AnswerLabel { answer: Answer::Delivered };
        metrics.hits_delivered = metrics.hits.get_or_create(&delivered).clone();
        let served = ForwardLabel { reason: EndReason::Served, sent: true };
        metrics.forwards_served = metrics.forwards.get_or_create(&served).clone();
        metrics
    }
}

impl Metrics {
    pub fn connection_accepted(&self) {
        self.connections_accepted.inc();
    }

    /// Counts a closed client connection.
    pub fn connection_closed(&self, reason: &'static str) {
        self.connections_closed.get_or_create(&CloseLabel { reason }).inc();
    }

    pub fn command_refused(&self, reason: Refusal) {
        self.commands_refused.get_or_create(&RefusalLabel { reason }).inc();
    }

    pub fn hit_ended(&self, answer: Answer) {
        if answer == Answer::Delivered {
            self.hits_delivered.inc();
            return;
        }
        self.hits.get_or_create(&AnswerLabel { answer }).inc();
    }

    /// Counts a hit that the decision module gave up.
    pub fn hit_given_up(&self, reason: GiveUpReason) {
        self.hits_given_up.get_or_create(&GiveUpLabel { reason: format!("{reason:?}") }).inc();
    }

    /// Counts the end of a forward; `sent` tells whether its last byte had been written.
    pub fn forward_ended(&self, reason: EndReason, sent: bool) {
        if (reason, sent) == (EndReason::Served, true) {
            self.forwards_served.inc();
            return;
        }
        self.forwards.get_or_create(&ForwardLabel { reason, sent }).inc();
    }

    /// Counts a forward that waits for a connection to its node.
    pub fn forward_waited(&self) {
        self.forwards_waited.inc();
    }

    /// Counts a connection to a node that is begun.
    pub fn node_connection_opened(&self) {
        self.node_connections_opened.inc();
    }

    /// Counts a connection closed for input that no forward had asked for.
    pub fn node_input_unasked(&self) {
        self.node_inputs_unasked.inc();
    }

    /// Counts a call to discovery that delivered a list.
    pub fn list_call_answered(&self) {
        self.list_calls.get_or_create(&ListCallLabel { result: "Answered".into() }).inc();
    }

    /// Counts a call to discovery that waits for its answer for long.
    pub fn list_call_overdue(&self) {
        self.list_calls.get_or_create(&ListCallLabel { result: "Overdue".into() }).inc();
    }

    /// Counts a call to discovery that failed.
    pub fn list_call_failed(&self, failure: ListCallFailure) {
        self.list_calls.get_or_create(&ListCallLabel { result: format!("{failure:?}") }).inc();
    }

    /// Logs the counters that are not zero, one event for each family.
    pub fn log(&self) {
        let mut text = String::new();
        // Writing into a string does not fail.
        let _ = encode(&mut text, &self.registry);
        let samples = text.lines().filter(|line| !line.starts_with('#') && !line.ends_with(" 0"));
        let mut families: Vec<(&str, Vec<&str>)> = Vec::new();
        for sample in samples {
            let name = sample.split(['{', ' ']).next().unwrap_or_default();
            match families.last_mut().filter(|(family, _)| *family == name) {
                Some((_, samples)) => samples.push(sample),
                None => families.push((name, vec![sample])),
            }
        }
        for (_, samples) in families {
            info!("counters: {}", samples.join(", "));
        }
    }
}
