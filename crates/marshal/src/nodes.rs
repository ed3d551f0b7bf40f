//! The nodes, the connections to them and the forwards that wait for one. A connection carries one forward at a time:
//! replies carry no id, so that only the connection tells whose they are.

use crate::clock::Clock;
use crate::command::{Command, MAX_VALUE_BYTES};
use crate::endings::EndReason;
use crate::inbox::{Inbox, NodeConnectionChange};
use crate::metrics::Metrics;
use crate::node_connection::{ConnectionTask, NodeConnection};
use crate::turn::PendingInput;
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use stonescale::host::Readiness;
use stonescale::time::{Span, Time};
use stonescale_budget::plan::NODE_CONNECTION_BYTES;
use stonescale_budget::purpose::ReclaimAction;
use stonescale_budget::{Ledger, Purpose};
use stonescale_connection::placement::{
    NodeConnections, Placement, PoolRoom, WaitingForward, WaitingForwards, place,
};
use stonescale_connection::reuse_rest::ReuseRest;
use stonescale_connection::{ForwardKey, GiveUp};

/// Fraction of the node's keepalive after which the marshal closes an idle connection, so that the node does
/// not close it first.
const IDLE_CLOSE_FRACTION: f64 = 0.6;
/// Factor on that idle time when memory for node connections is short; connections used within the remaining
/// time are likely to be used again.
const PRESSURE_IDLE_FACTOR: f64 = 0.1;
/// One node may occupy one part in this many of the memory for bytes queued to all nodes.
const NODE_QUEUE_DIVISOR: usize = 4;

/// Address of a node, the connections to it, and the forwards that wait for one.
struct NodeState {
    addr: SocketAddr,
    /// Its listed start time.
    started_at: Time,
    /// When the node was listed as removed; `None` while it is listed.
    removed_at: Option<Time>,
    connections: Vec<Rc<NodeConnection>>,
    waiting: WaitingForwards,
}

impl NodeState {
    /// The connections as the placement of a forward sees them, and the one that a forward would go on now: the most
    /// recently used, as it is the least likely to be closed by the node right now.
    fn view(&self, rest: Span, now: Time) -> (NodeConnections, Option<&Rc<NodeConnection>>) {
        let mut view = NodeConnections::default();
        let mut reusable: Option<&Rc<NodeConnection>> = None;
        for connection in self.connections.iter().filter(|c| !c.is_draining()) {
            if !connection.is_established() {
                view.connecting += 1;
                view.newest_connecting_at = view.newest_connecting_at.max(connection.opened_at);
                continue;
            }
            let is_newer = |best: &Rc<NodeConnection>| best.last_used() < connection.last_used();
            match connection.reusable_from(rest) {
                Some(at) if at > now => {
                    view.next_reusable_at = Some(view.next_reusable_at.map_or(at, |next| next.min(at)));
                }
                Some(_) if reusable.is_none_or(is_newer) => reusable = Some(connection),
                Some(_) | None => {}
            }
        }
        view.has_reusable = reusable.is_some();
        (view, reusable)
    }
}

/// Where a forward is.
#[derive(Clone)]
pub enum ForwardPlace {
    /// On this connection.
    Sent(Rc<NodeConnection>),
    /// In the queue of the node with this number; nothing of it is written.
    Waiting(usize),
}

/// A waiting forward for which there is a connection.
pub struct ReadyForward {
    pub forward: WaitingForward,
    pub connection: Rc<NodeConnection>,
}

/// The nodes by number, and all connections to them.
pub struct NodePool {
    nodes: Vec<Option<NodeState>>,
    /// Numbers of the nodes for which forwards wait; each stands here once.
    nodes_waited_for: VecDeque<usize>,
    /// Idle connections that are being closed to make room for others.
    pending_replacements: usize,
    inbox: Rc<Inbox>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    connect_timeout: Span,
    keepalive: Span,
    max_connections: usize,
    ledger: Ledger,
    metrics: Rc<Metrics>,
    open_connections: Rc<Cell<usize>>,
    reuse_rest: Rc<RefCell<ReuseRest>>,
    scratch: Rc<RefCell<Vec<u8>>>,
}

impl NodePool {
    /// Creates a pool without nodes. `keepalive` is the time after which nodes close an idle connection; the marshal
    /// closes it earlier. `max_connections` limits the connections to all nodes together.
    pub fn new(
        inbox: Rc<Inbox>, executor: Rc<LocalExecutor<'static>>, clock: Clock,
        (connect_timeout, keepalive): (Span, Span), max_connections: usize, ledger: Ledger,
        metrics: Rc<Metrics>,
    ) -> Self {
        NodePool {
            nodes: Vec::new(),
            nodes_waited_for: VecDeque::new(),
            pending_replacements: 0,
            inbox,
            executor,
            clock,
            connect_timeout,
            keepalive,
            max_connections,
            ledger,
            metrics,
            open_connections: Rc::default(),
            reuse_rest: Rc::default(),
            scratch: Rc::new(RefCell::new(vec![0; MAX_VALUE_BYTES])),
        }
    }

    /// Number of connections open or being established.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Applies an entry of the node list; connections that no longer match it are closed or drained.
    pub fn update_node(&mut self, node: usize, addr: SocketAddr, readiness: Readiness, started_at: Time) {
        if self.nodes.len() <= node {
            self.nodes.resize_with(node + 1, || None);
        }
        let removed_at = (readiness == Readiness::Gone).then(|| self.clock.now());
        let (connections, waiting) = (Vec::new(), WaitingForwards::default());
        let new = NodeState { addr, started_at, removed_at, connections, waiting };
        let state = self.nodes[node].get_or_insert(new);
        state.removed_at = removed_at;
        if state.addr != addr || readiness != Readiness::Ready {
            Self::withdraw(&self.inbox, state);
        } else {
            if state.started_at != started_at {
                // They were meant for the process before, which may have run another build.
                Self::withdraw_waiting(&self.inbox, state);
            }
            // The process to which they were opened is gone, even if the host sent no reset.
            let outdated = state.connections.iter().filter(|c| c.opened_at < started_at);
            outdated.for_each(|c| c.close(EndReason::Restarted));
        }
        state.started_at = started_at;
        if state.addr != addr {
            state.addr = addr;
            state.connections.clear();
        }
    }

    /// Drains all connections of a node, and withdraws the forwards of which nothing is written; replies to the others
    /// are still awaited.
    fn withdraw(inbox: &Inbox, state: &mut NodeState) {
        for ForwardKey { hit, hop } in state.connections.iter().filter_map(|c| c.drain(EndReason::Withdrawn))
        {
            inbox.push_forward_end(hit, hop, EndReason::Withdrawn, false);
        }
        Self::withdraw_waiting(inbox, state);
    }

    fn withdraw_waiting(inbox: &Inbox, state: &mut NodeState) {
        for ForwardKey { hit, hop } in state.waiting.take_all() {
            inbox.push_forward_end(hit, hop, EndReason::Withdrawn, false);
        }
    }

    /// Withdraws the forwards that wait for any node: what they were allowed by may no longer hold.
    pub fn withdraw_all_waiting(&mut self) {
        for node in std::mem::take(&mut self.nodes_waited_for) {
            if let Some(state) = self.nodes.get_mut(node).and_then(Option::as_mut) {
                Self::withdraw_waiting(&self.inbox, state);
            }
        }
    }

    /// Marks nodes left out of a full list as removed.
    pub fn remove_unlisted(&mut self, listed: &HashSet<usize>) {
        let now = self.clock.now();
        for (number, state) in self.nodes.iter_mut().enumerate() {
            if let Some(state) = state.as_mut().filter(|_| !listed.contains(&number)) {
                state.removed_at = state.removed_at.or(Some(now));
                Self::withdraw(&self.inbox, state);
            }
        }
    }

    /// Listed address of a node; an unspecified address for an unknown one.
    pub fn addr(&self, node: usize) -> SocketAddr {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.nodes.get(node).and_then(Option::as_ref).map_or(unspecified, |s| s.addr)
    }

    /// Sends a hit's command to a node, stating `wait` as the time for which the reply is awaited, or lets it wait for
    /// a connection; see [`NodePool::next_ready`].
    pub fn forward(
        &mut self, node: usize, key: ForwardKey, command: &Command, wait: Span,
    ) -> Result<ForwardPlace, EndReason> {
        let now = self.clock.now();
        let state = self.state_mut(node).ok_or(EndReason::NoSuchNode)?;
        let is_waited_for = !state.waiting.is_empty();
        if !is_waited_for && let Some(connection) = self.take_reusable(node, now) {
            connection.send(key, command, wait, now)?;
            return Ok(ForwardPlace::Sent(connection));
        }
        let max_queued_bytes = self.ledger.cap(Purpose::NodeConnections) / NODE_QUEUE_DIVISOR;
        let state = self.state_mut(node).ok_or(EndReason::NoSuchNode)?;
        // A node that does not read must not use up the memory for queued bytes that all nodes share.
        let queued_bytes: usize = state.connections.iter().map(|c| c.queued_bytes()).sum();
        if queued_bytes > max_queued_bytes {
            return Err(EndReason::NoSocket);
        }
        let forward = WaitingForward { key, deadline: now + wait };
        state.waiting.push(forward).map_err(|_| EndReason::NoSocket)?;
        // It may still stand there from forwards that were withdrawn since.
        if !is_waited_for && !self.nodes_waited_for.contains(&node) {
            self.nodes_waited_for.push_back(node);
        }
        self.metrics.forward_waited();
        Ok(ForwardPlace::Waiting(node))
    }

    fn state(&self, node: usize) -> Option<&NodeState> {
        self.nodes.get(node).and_then(Option::as_ref)
    }

    fn state_mut(&mut self, node: usize) -> Option<&mut NodeState> {
        self.nodes.get_mut(node).and_then(Option::as_mut)
    }

    /// The connection to the node that a forward may go on now. Those on which something has happened are closed.
    fn take_reusable(&mut self, node: usize, now: Time) -> Option<Rc<NodeConnection>> {
        let rest = self.reuse_rest.borrow().current(now);
        let state = self.nodes.get_mut(node).and_then(Option::as_mut)?;
        state.connections.retain(|c| !c.is_draining());
        loop {
            let connection = state.view(rest, now).1?.clone();
            match connection.pending_input() {
                PendingInput::None => return Some(connection),
                PendingInput::Bytes => connection.reject_unasked_input(now, &self.reuse_rest, &self.metrics),
                PendingInput::Ended => connection.close(EndReason::Closed),
            }
        }
    }

    /// Begins a connection to the node if the forwards that wait for it need one; returns the time at which to look
    /// again if nothing else happens. `starving` counts the nodes in this pass for which there is no room.
    fn open_if_needed(
        &mut self, node: usize, starving: &mut usize, now: Time,
    ) -> Result<Option<Time>, EndReason> {
        let rest = self.reuse_rest.borrow().current(now);
        let Some(state) = self.state(node) else { return Ok(None) };
        let room = self.room(node, *starving);
        match place(state.view(rest, now).0, room, state.waiting.len(), now) {
            Placement::Reuse => Ok(Some(now)),
            Placement::Wait { until } => Ok(until),
            Placement::Open => self.open(node, now).map(|()| None),
            Placement::Replace => {
                *starving += 1;
                if *starving > self.pending_replacements
                    && let Some(idle) = self.longest_idle(node)
                {
                    idle.close(EndReason::Idle);
                    self.pending_replacements += 1;
                }
                Ok(None)
            }
        }
    }

    /// The room for a further connection to this node.
    fn room(&self, node: usize, starving: usize) -> PoolRoom {
        if self.open_connections.get() < self.max_connections {
            PoolRoom::Free
        } else if starving < self.pending_replacements || self.longest_idle(node).is_some() {
            PoolRoom::Replaceable
        } else {
            PoolRoom::Full
        }
    }

    /// The connection to another node that has carried nothing for the longest time.
    fn longest_idle(&self, node: usize) -> Option<&Rc<NodeConnection>> {
        let others = self.nodes.iter().enumerate().filter(|(number, _)| *number != node);
        let connections = others.filter_map(|(_, state)| state.as_ref()).flat_map(|s| &s.connections);
        let idle = connections.filter(|c| c.is_established() && c.is_idle() && !c.is_draining());
        idle.min_by_key(|c| c.last_used())
    }

    /// Begins a connection to the node.
    fn open(&mut self, node: usize, now: Time) -> Result<(), EndReason> {
        let charge = self.ledger.charge(Purpose::NodeConnections, NODE_CONNECTION_BYTES);
        let charge = charge.map_err(|_| EndReason::NoSocket)?;
        let connection = Rc::new(NodeConnection::new(now, &self.ledger, charge));
        let state = self.state_mut(node).ok_or(EndReason::NoSuchNode)?;
        state.connections.push(connection.clone());
        let addr = state.addr;
        self.open_connections.set(self.open_connections.get() + 1);
        self.metrics.node_connection_opened();
        let task = ConnectionTask {
            connection,
            node,
            addr,
            inbox: self.inbox.clone(),
            clock: self.clock,
            ledger: self.ledger.clone(),
            metrics: self.metrics.clone(),
            open_connections: self.open_connections.clone(),
            reuse_rest: self.reuse_rest.clone(),
            scratch: self.scratch.clone(),
            connect_timeout: self.connect_timeout,
        };
        self.executor.spawn(task.run()).detach();
        Ok(())
    }

    /// Takes a waiting forward for which there is a connection now, and begins connections for the others. If all that
    /// wait have to go on waiting, returns the time at which to look again if nothing else happens.
    pub fn next_ready(&mut self) -> Result<ReadyForward, Option<Time>> {
        let now = self.clock.now();
        let (mut look_again_at, mut starving) = (None::<Time>, 0);
        for _ in 0..self.nodes_waited_for.len() {
            let Some(node) = self.nodes_waited_for.pop_front() else { break };
            if !self.is_waited_for(node) {
                continue;
            }
            if let Some(connection) = self.take_reusable(node, now)
                && let Some(forward) = self.state_mut(node).and_then(|state| state.waiting.pop())
            {
                self.nodes_waited_for.push_front(node);
                return Ok(ReadyForward { forward, connection });
            }
            match self.open_if_needed(node, &mut starving, now) {
                Ok(until) => look_again_at = look_again_at.into_iter().chain(until).min(),
                Err(reason) if !self.has_established(node) => self.fail_waiting(node, reason),
                // One of those that are established will carry them.
                Err(_) => {}
            }
            if self.is_waited_for(node) {
                self.nodes_waited_for.push_back(node);
            }
        }
        Err(look_again_at)
    }

    fn is_waited_for(&self, node: usize) -> bool {
        self.state(node).is_some_and(|state| !state.waiting.is_empty())
    }

    fn has_established(&self, node: usize) -> bool {
        let connections = self.state(node).map_or(&[][..], |state| &state.connections);
        connections.iter().any(|c| c.is_established() && !c.is_draining())
    }

    /// Ends the forwards that wait for a node, as no connection to it could be made: all of them if there is none, else
    /// the oldest, for which it was to be made.
    fn fail_waiting(&mut self, node: usize, reason: EndReason) {
        let only_oldest = self.has_established(node);
        let Some(state) = self.state_mut(node) else { return };
        let failed: Vec<_> = if only_oldest {
            state.waiting.pop().map(|forward| forward.key).into_iter().collect()
        } else {
            state.waiting.take_all().collect()
        };
        for ForwardKey { hit, hop } in failed {
            self.inbox.push_forward_end(hit, hop, reason, false);
        }
    }

    /// Handles a change of a connection that was opened to the node at this address.
    pub fn connection_changed(&mut self, node: usize, addr: SocketAddr, change: NodeConnectionChange) {
        match change {
            NodeConnectionChange::NotEstablished(reason) if self.addr(node) == addr => {
                self.fail_waiting(node, reason)
            }
            NodeConnectionChange::NotEstablished(_) | NodeConnectionChange::Established => {}
            NodeConnectionChange::Ended => {
                self.pending_replacements = self.pending_replacements.saturating_sub(1)
            }
        }
    }

    /// Stops waiting for a forward. One that is not fully written never reaches its node; the connection of one that is
    /// gets closed, as its reply may still come.
    pub fn abort_forward(&mut self, place: &ForwardPlace, key: ForwardKey, reason: EndReason) {
        let (reason, sent) = match place {
            ForwardPlace::Sent(connection) => match connection.give_up(key, reason) {
                GiveUp::NotCarried => return,
                GiveUp::Written => (reason, true),
                GiveUp::Unwritten | GiveUp::CutOff => (reason, false),
            },
            ForwardPlace::Waiting(node) => {
                let Some(state) = self.state_mut(*node) else { return };
                if !state.waiting.remove(key) {
                    return;
                }
                let is_connecting = state.connections.iter().any(|c| !c.is_established() && !c.is_draining());
                // Where no connection to the node is under way, only this marshal's own limits held the forward up.
                let is_own_limit = reason == EndReason::WaitedOut && !is_connecting;
                (if is_own_limit { EndReason::NoSocket } else { reason }, false)
            }
        };
        self.inbox.push_forward_end(key.hit, key.hop, reason, sent);
    }

    /// Stops a forward that is not fully written; one that is written goes on.
    pub fn withdraw_forward(&mut self, place: &ForwardPlace, key: ForwardKey) {
        let is_written = match place {
            ForwardPlace::Sent(connection) => !connection.is_unfinished(key),
            ForwardPlace::Waiting(_) => false,
        };
        if !is_written {
            self.abort_forward(place, key, EndReason::CalledOff);
        }
    }

    /// Closes connections idle for too long: otherwise the node would, and a hit sent at that moment could be
    /// lost. Drops nodes removed for the keepalive time (with `drop_removed`, all removed nodes) and returns
    /// their numbers.
    pub fn sweep(&mut self, drop_removed: bool) -> Vec<usize> {
        let now = self.clock.now();
        let under_pressure = self.ledger.reclaim_action(Purpose::NodeConnections) == ReclaimAction::CloseIdle;
        let max_idle =
            self.keepalive * IDLE_CLOSE_FRACTION * if under_pressure { PRESSURE_IDLE_FACTOR } else { 1.0 };
        for state in self.nodes.iter_mut().flatten() {
            state.connections.retain(|c| !c.is_draining());
            for connection in
                state.connections.iter().filter(|c| c.is_idle() && now - c.last_used() >= max_idle)
            {
                if under_pressure {
                    self.ledger.record_reclaimed(Purpose::NodeConnections, NODE_CONNECTION_BYTES);
                }
                connection.close(EndReason::Idle);
            }
        }
        let retention = if drop_removed { Span::ZERO } else { self.keepalive };
        let expired = |s: &NodeState| {
            s.connections.is_empty()
                && s.waiting.is_empty()
                && s.removed_at.is_some_and(|at| now - at >= retention)
        };
        let take_expired = |(number, state): (usize, &mut Option<NodeState>)| {
            state.take_if(|state| expired(state)).map(|_| number)
        };
        self.nodes.iter_mut().enumerate().filter_map(take_expired).collect()
    }
}
