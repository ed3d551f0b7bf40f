//! The core task: sole owner of the decision module, its timers and the numbers that identify hits. Socket
//! tasks reach it only through the inbox; the module's calls on its host are carried out here.

use crate::client::{Client, Reply};
use crate::clock::Clock;
use crate::command::{self, Command};
use crate::discovery::Discovery;
use crate::endings::EndReason;
use crate::inbox::{ControlEvent, HitEvent, Inbox, IncomingHit, NodeEntry, StageReport};
use crate::metrics::{Answer, Metrics, Refusal};
use crate::nodes::{ForwardPlace, NodePool, ReadyForward};
use crate::platform::Platform;
use crate::reactor;
use futures_lite::future::{or, yield_now};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use stonescale::host::{BuildStatus, ForwardOutcome, GiveUpReason, Host, ListUpdate, Verdict};
use stonescale::policy::Marshal;
use stonescale::start_times::StartTimes;
use stonescale::state::Timer;
use stonescale::time::{Span, Time};
use stonescale_budget::buffer::Block;
use stonescale_budget::plan::NODE_RECORD_BYTES;
use stonescale_budget::purpose::ReclaimAction;
use stonescale_budget::{Charge, Ledger, Purpose};
use stonescale_connection::{ForwardKey, HitId, HitIds};
use stonescale_store::{Slots, TimerHandle, TimerWheel};
use tracing::{debug, info, trace, warn};

/// Interval between sweeps of idle connections and removed nodes.
const SWEEP_INTERVAL: Span = Span::millis(500);
/// Hits handled in one batch, after which control events and hit events are processed again.
const MAX_HITS_PER_BATCH: usize = 64;

/// Event of the timer wheel.
#[derive(Clone, Copy)]
enum TimerEvent {
    MarshalTimer(u64),
    ForwardTimeout(u32, u8),
    /// Connections that rest may be used again by now; forwards wait for them.
    ServeWaitingForwards,
    Sweep,
}

/// A hit whose reply, or the end of one of whose forwards, is still outstanding.
struct PendingHit {
    id: HitId,
    client: Rc<Client>,
    sequence: u64,
    command: Command,
    answered: bool,
    /// A forward of it ended, and may have run.
    may_have_run: bool,
    forwards: Vec<ForwardState>,
    /// Timers of the decision module, cancelled with the hit: a client that may wait for minutes is often
    /// answered at once, and its timers would otherwise accumulate.
    deadline_timer: Option<TimerHandle>,
    hedge_timer: Option<TimerHandle>,
}

/// One forward of a pending hit.
struct ForwardState {
    sent_at: Time,
    /// Where it is until its end has been reported; `None` if it could not be sent.
    place: Option<ForwardPlace>,
    ended: bool,
    /// Fires when the forward's timeout expires.
    timeout_timer: Option<TimerHandle>,
}

/// Implements the decision module's calls on its host.
pub struct MarshalHost {
    clock: Clock,
    now: Time,
    timers: TimerWheel<TimerEvent>,
    hits: Slots<PendingHit>,
    hit_ids: HitIds,
    hits_received: u64,
    ledger: Ledger,
    /// Node numbers by listed id, with the memory charge of each node's records.
    node_numbers: HashMap<String, (usize, Charge)>,
    /// Whether room for nodes was already reclaimed while applying the current list.
    reclaimed_for_list: bool,
    /// Numbers of dropped nodes, free for reuse.
    free_numbers: Vec<usize>,
    start_times: StartTimes,
    inbox: Rc<Inbox>,
    nodes: NodePool,
    /// When the waiting forwards are looked at next by a timer.
    waiting_forwards_served_at: Option<Time>,
    discovery: Discovery,
    platform: Rc<Platform>,
    metrics: Rc<Metrics>,
}

impl MarshalHost {
    /// Creates a host that knows no nodes yet; [`Core::apply_node_list`] adds them.
    pub fn new(
        clock: Clock, ledger: Ledger, inbox: Rc<Inbox>, nodes: NodePool, discovery: Discovery,
        platform: Rc<Platform>, hit_ids: HitIds, metrics: Rc<Metrics>,
    ) -> Self {
        let (now, node_numbers, free_numbers) = (clock.now(), HashMap::new(), Vec::new());
        MarshalHost {
            clock,
            now,
            timers: TimerWheel::new(now),
            hits: Slots::default(),
            hit_ids,
            hits_received: 0,
            ledger,
            node_numbers,
            reclaimed_for_list: false,
            free_numbers,
            start_times: StartTimes::default(),
            inbox,
            nodes,
            waiting_forwards_served_at: None,
            discovery,
            platform,
            metrics,
        }
    }

    /// Returns the number assigned to a node's listed id; `None` for a new node without room for its records.
    fn node_number(&mut self, id: String) -> Option<usize> {
        if let Some((number, _)) = self.node_numbers.get(&id) {
            return Some(*number);
        }
        let charge = self.ledger.charge(Purpose::Nodes, NODE_RECORD_BYTES).or_else(|_| {
            // Removed nodes are dropped before their retention ends. At most once a list, as that scans all
            // nodes.
            if !std::mem::replace(&mut self.reclaimed_for_list, true) {
                self.sweep_nodes(true);
            }
            self.ledger.charge(Purpose::Nodes, NODE_RECORD_BYTES)
        });
        let charge = charge.ok()?;
        let next = self.node_numbers.len() + self.free_numbers.len();
        let number = self.free_numbers.pop().unwrap_or(next);
        self.start_times.forget(number);
        self.node_numbers.insert(id, (number, charge));
        Some(number)
    }

    /// Closes idle connections, and drops nodes removed some time ago (with `drop_removed`, all removed
    /// nodes).
    fn sweep_nodes(&mut self, drop_removed: bool) {
        let removed = self.nodes.sweep(drop_removed);
        if drop_removed {
            self.ledger.record_reclaimed(Purpose::Nodes, removed.len() * NODE_RECORD_BYTES);
        }
        if !removed.is_empty() {
            let removed_set: HashSet<usize> = removed.iter().copied().collect();
            self.node_numbers.retain(|_, (number, _)| !removed_set.contains(number));
            self.free_numbers.extend(&removed);
        }
    }

    /// Replies to a hit unless it has been answered.
    fn reply(&mut self, hit: u32, answer: Answer, line: impl FnOnce() -> Vec<u8>) {
        self.finish(hit, answer, || Reply::Line(line()));
        self.release_if_done(hit);
    }

    /// Gives a hit its final answer, unless it has one; forwards of it that are not written yet are withdrawn.
    fn finish(&mut self, hit: u32, answer: Answer, reply: impl FnOnce() -> Reply) {
        let Some(pending) = self.hits.get_mut(hit).filter(|pending| !pending.answered) else { return };
        pending.answered = true;
        self.metrics.hit_ended(answer);
        pending.client.reply(pending.sequence, reply());
        for (hop, forward) in pending.forwards.iter().enumerate().filter(|(_, forward)| !forward.ended) {
            if let Some(place) = &forward.place {
                self.nodes.withdraw_forward(place, ForwardKey { hit, hop: hop as u8 });
            }
        }
    }

    /// Drops a hit that is answered once the ends of all its forwards have been reported.
    fn release_if_done(&mut self, hit: u32) {
        if self
            .hits
            .get(hit)
            .is_some_and(|pending| pending.answered && pending.forwards.iter().all(|f| f.ended))
        {
            let Some(pending) = self.hits.remove(hit) else { return };
            let may_not_run_again = pending.may_have_run && !pending.command.request.repeatable;
            self.hit_ids.end(pending.id, may_not_run_again, self.now);
            let handles = [pending.deadline_timer, pending.hedge_timer];
            for handle in handles.into_iter().flatten() {
                self.timers.cancel(handle);
            }
        }
    }

    fn abort_forward(&mut self, hit: u32, hop: u8, reason: EndReason) {
        let forward = self.hits.get(hit).and_then(|pending| pending.forwards.get(usize::from(hop)));
        if let Some(ForwardState { place: Some(place), ended: false, .. }) = forward {
            self.nodes.abort_forward(place, ForwardKey { hit, hop }, reason);
        }
    }

    /// Sends the waiting forwards for which there is a connection now.
    fn serve_waiting_forwards(&mut self) {
        loop {
            match self.nodes.next_ready() {
                Ok(ready) => self.send_ready(ready),
                Err(look_again_at) => return self.schedule_waiting_forwards(look_again_at),
            }
        }
    }

    fn send_ready(&mut self, ReadyForward { forward, connection }: ReadyForward) {
        let ForwardKey { hit, hop } = forward.key;
        let Some(pending) = self.hits.get_mut(hit) else { return };
        let Some(state) = pending.forwards.get_mut(usize::from(hop)).filter(|state| !state.ended) else {
            return;
        };
        let now = self.clock.now();
        // The node is told what is left of the time by now.
        match connection.send(forward.key, &pending.command, forward.deadline - now, now) {
            Ok(()) => state.place = Some(ForwardPlace::Sent(connection)),
            Err(reason) => {
                state.place = None;
                self.inbox.push_forward_end(hit, hop, reason, false);
            }
        }
    }

    fn schedule_waiting_forwards(&mut self, at: Option<Time>) {
        let Some(at) = at else { return };
        if self.waiting_forwards_served_at.is_none_or(|scheduled| at < scheduled) {
            self.waiting_forwards_served_at = Some(at);
            self.timers.schedule(at, TimerEvent::ServeWaitingForwards);
        }
    }
}

impl Host for MarshalHost {
    fn forward(&mut self, hit: u32, node: u64, timeout: Span) {
        let Some(pending) = self.hits.get_mut(hit) else { return };
        let hop = pending.forwards.len() as u8;
        let place = match pending.answered {
            true => Err(EndReason::NoSuchNode),
            false => self.nodes.forward(node as usize, ForwardKey { hit, hop }, &pending.command, timeout),
        };
        let mut timeout_timer = None;
        match &place {
            Ok(_) => {
                trace!("hit {} forward {hop} to {}", pending.command.id(), self.nodes.addr(node as usize));
                let timeout_event = TimerEvent::ForwardTimeout(hit, hop);
                timeout_timer = Some(self.timers.schedule(self.now + timeout, timeout_event));
            }
            Err(reason) => {
                debug!("forward could not be sent: {reason:?}");
                self.inbox.push_forward_end(hit, hop, *reason, false);
            }
        }
        let (sent_at, place, ended) = (self.now, place.ok(), false);
        pending.forwards.push(ForwardState { sent_at, place, ended, timeout_timer });
    }

    fn bounce(&mut self, hit: u32, retry_after: Span) {
        self.reply(hit, Answer::Bounced, || command::bounced_reply(retry_after));
    }

    fn report_give_up(&mut self, hit: u32, reason: GiveUpReason) {
        self.metrics.hit_given_up(reason);
        if let Some(pending) = self.hits.get(hit) {
            trace!("hit {} given up: {reason:?}, {} forwards", pending.command.id(), pending.forwards.len());
        }
    }

    fn error(&mut self, hit: u32) {
        self.reply(hit, Answer::Errored, command::errored_reply);
    }

    fn cancel(&mut self, hit: u32, hop: u8) {
        self.abort_forward(hit, hop, EndReason::CalledOff);
    }

    fn vote(&mut self, build: u16, stage: u8, verdict: Verdict) {
        debug!("vote on build {build}, stage {stage}: {verdict:?}");
        self.platform.vote(build, stage, verdict);
    }

    fn watch(&mut self, on: bool) {
        self.discovery.watch(on);
    }

    fn set_timer(&mut self, delay: Span, token: u64) {
        let handle = self.timers.schedule(self.now + delay, TimerEvent::MarshalTimer(token));
        match Timer::from(token) {
            Timer::Deadline(hit) => {
                self.hits.get_mut(hit).map(|pending| pending.deadline_timer = Some(handle))
            }
            // The timer of an earlier forward stays scheduled; when it fires, that forward has ended.
            Timer::Hedge(hit, _) => self.hits.get_mut(hit).map(|pending| pending.hedge_timer = Some(handle)),
            Timer::Evaluate | Timer::RequestList => None,
        };
    }

    fn log(&mut self, text: &str) {
        info!("{text}");
    }
}

/// The decision module together with its host.
pub struct Core {
    marshal: Marshal,
    host: MarshalHost,
    /// Build, stage, status and cap as last reported: forwards that wait were decided under them.
    stage: Option<(u16, u8, BuildStatus, f64)>,
}

impl Core {
    /// Schedules the first sweep of idle connections and removed nodes.
    pub fn new(marshal: Marshal, mut host: MarshalHost) -> Self {
        host.timers.schedule(host.now, TimerEvent::Sweep);
        Core { marshal, host, stage: None }
    }

    /// Begins to follow discovery, whose lists count from now on.
    pub fn follow_discovery(&mut self) {
        let now = self.host.clock.now();
        self.marshal.follow_discovery(&mut self.host, now);
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let inbox = self.host.inbox.clone();
        loop {
            if inbox.is_empty() {
                let next_timer = self.host.timers.next_wakeup().map(|at| self.host.clock.instant(at));
                let timer_due = async {
                    match next_timer {
                        Some(at) => reactor::Timer::at(at).await,
                        None => std::future::pending().await,
                    }
                };
                or(inbox.signal.wait(), timer_due).await;
            } else {
                // Let the socket tasks deliver pending input first.
                yield_now().await;
            }
            self.process_batch(&inbox);
        }
    }

    /// Control events come first, so that drains and caps take effect at once; then forward ends, due timers,
    /// and new hits.
    fn process_batch(&mut self, inbox: &Inbox) {
        while let Some(event) = self.pop_next(&inbox.control_events) {
            self.handle_control_event(event);
        }
        while let Some(event) = self.pop_next(&inbox.hit_events) {
            match event {
                HitEvent::ForwardEnded { hit, hop, reason, sent, value } => {
                    self.handle_forward_end(hit, hop, reason, sent, value)
                }
                HitEvent::ClientLeft(hits) => hits.into_iter().for_each(|hit| self.handle_client_left(hit)),
                HitEvent::NodeConnection { node, addr, change } => {
                    self.host.nodes.connection_changed(node, addr, change)
                }
            }
        }
        let now = self.host.clock.now();
        self.host.now = now;
        while let Some((_, event)) = self.host.timers.pop(now) {
            match event {
                TimerEvent::MarshalTimer(token) => self.marshal.on_timer(&mut self.host, now, token),
                TimerEvent::ForwardTimeout(hit, hop) => {
                    self.host.abort_forward(hit, hop, EndReason::WaitedOut)
                }
                // They are served at the end of the batch.
                TimerEvent::ServeWaitingForwards => self.host.waiting_forwards_served_at = None,
                TimerEvent::Sweep => {
                    let drop_removed =
                        self.host.ledger.reclaim_action(Purpose::Nodes) == ReclaimAction::DropRemovedNodes;
                    self.host.sweep_nodes(drop_removed);
                    debug!(
                        "{} hits pending, {} received in total, {} node connections",
                        self.host.hits.len(),
                        self.host.hits_received,
                        self.host.nodes.open_connections()
                    );
                    self.host.timers.schedule(now + SWEEP_INTERVAL, TimerEvent::Sweep);
                }
            }
        }
        for _ in 0..MAX_HITS_PER_BATCH {
            let Some(hit) = self.pop_next(&inbox.incoming_hits) else { break };
            self.handle_hit(hit);
        }
        self.serve_waiting_forwards();
    }

    /// Sends the forwards for which there is a connection now; none while the lease on the list has expired, since they
    /// were decided before.
    fn serve_waiting_forwards(&mut self) {
        if self.marshal.is_list_usable(self.host.clock.now()) {
            self.host.serve_waiting_forwards();
        } else {
            self.host.nodes.withdraw_all_waiting();
        }
    }

    /// Takes the next item of a queue and updates the current time.
    fn pop_next<T>(&mut self, queue: &std::cell::RefCell<std::collections::VecDeque<T>>) -> Option<T> {
        let next = queue.borrow_mut().pop_front()?;
        self.host.now = self.host.clock.now();
        Some(next)
    }

    fn handle_control_event(&mut self, event: ControlEvent) {
        let now = self.host.now;
        match event {
            ControlEvent::NodeList(update, entries, _charge) => self.apply_node_list(update, entries),
            ControlEvent::ListConfirmed => self.marshal.on_list_confirmed(&mut self.host, now),
            ControlEvent::ListCallFailed { started_at, failure } => {
                self.marshal.on_list_call_failed(&mut self.host, now, started_at, failure)
            }
            ControlEvent::ListCallOverdue => self.marshal.on_list_call_overdue(&mut self.host, now),
            ControlEvent::DiscoveryUnreachable { started_at } => {
                self.marshal.on_discovery_unreachable(&mut self.host, now, started_at)
            }
            ControlEvent::WatchEnded(end) => self.marshal.on_watch_ended(&mut self.host, now, end),
            ControlEvent::Stage(stage, vote) => self.apply_stage(stage, vote),
            ControlEvent::WrongAnswerReport { node, group, age } => match self.host.node_numbers.get(&node) {
                Some((number, _)) => self.marshal.on_wrong_answer_report(now, *number as u64, group, age),
                None => warn!("ignoring a wrong-answer report about an unknown node"),
            },
            ControlEvent::AddressesChanged(discovery, platform) => {
                if let Some(addr) = discovery {
                    self.host.discovery.set_address(addr);
                    self.marshal.on_discovery_moved(&mut self.host, now);
                }
                platform.into_iter().for_each(|addr| self.host.platform.set_address(addr));
            }
            ControlEvent::PlatformCounts(build, group, forwards, failed) => {
                self.marshal.on_platform_counts(now, (build, group), (forwards, failed))
            }
        }
    }

    /// Passes a node list to the node connections and to the decision module.
    pub fn apply_node_list(&mut self, update: ListUpdate, entries: Vec<NodeEntry>) {
        debug!("list: {update:?}, {} entries", entries.len());
        let (now, wall_now) = (self.host.now, self.host.clock.wall_now());
        let (mut listed, mut left_out) = (HashSet::new(), 0);
        self.host.reclaimed_for_list = false;
        self.marshal.on_list_begin(now, update);
        for (id, addr, attributes, readiness, build, listed_start) in entries {
            let Some(number) = self.host.node_number(id) else {
                // A node left out only gets no forwards.
                left_out += 1;
                continue;
            };
            listed.insert(number);
            let started_at = self.host.start_times.host_time(number, listed_start, now, wall_now);
            self.host.nodes.update_node(number, addr, readiness, started_at);
            self.marshal.on_list_entry(number as u64, attributes, readiness, build, started_at);
        }
        if left_out > 0 {
            warn!("{left_out} nodes of the list are left out: no room for their records");
        }
        if update != ListUpdate::Delta {
            self.host.nodes.remove_unlisted(&listed);
        }
        self.marshal.on_list_end(&mut self.host);
    }

    /// Passes the newest build's state, and the outcome of a vote if any, to the decision module.
    pub fn apply_stage(
        &mut self, (build, stage, status, cap, age): StageReport, vote: Option<ForwardOutcome>,
    ) {
        debug!("platform: build {build}, stage {stage}, {status:?}, cap {cap}, vote {vote:?}");
        let now = self.host.now;
        // A report of a failed vote tells no stage.
        let tells_stage = vote.is_none_or(|outcome| outcome == ForwardOutcome::Ok);
        if tells_stage && self.stage != Some((build, stage, status, cap)) {
            self.stage = Some((build, stage, status, cap));
            self.host.nodes.withdraw_all_waiting();
        }
        self.marshal.on_stage(&mut self.host, now, (build, stage), status, cap, age, vote);
    }

    fn handle_hit(&mut self, IncomingHit { client, sequence, command, received_at }: IncomingHit) {
        if client.closed.get() {
            return;
        }
        if client.has_departed() {
            self.host.metrics.command_refused(Refusal::ConnectionEnding);
            return client.reply(sequence, Reply::Line(command::errored_reply()));
        }
        #[cfg(feature = "mutants")]
        crate::mutants::leak_on_hit();
        let now = self.host.now;
        let Ok(id) = self.host.hit_ids.open(command.id_bytes(), now) else {
            self.host.metrics.command_refused(Refusal::IdInUse);
            debug!("client {} sent hit {} again: its id is in use", client.number, command.id());
            return client.reply(sequence, Reply::Line(command::error_reply("id is in use")));
        };
        self.host.hits_received += 1;
        let (group, tenant, key) = (command.request.group, command.request.tenant, command.request.key);
        // The client's wait runs from the hit's arrival; time spent in this program's queues counts against
        // it.
        let remaining_wait = command.request.client_wait - (now - received_at);
        trace!(
            "hit {} received: group {group}, tenant {tenant}, waits {} ms",
            command.id(),
            remaining_wait.as_nanos() / 1_000_000
        );
        let forwards = Vec::new();
        let (hit_client, answered, deadline_timer, hedge_timer) = (client.clone(), false, None, None);
        let hit = self.host.hits.insert(PendingHit {
            id,
            client,
            sequence,
            command,
            answered,
            may_have_run: false,
            forwards,
            deadline_timer,
            hedge_timer,
        });
        hit_client.bind_hit(sequence, hit);
        self.marshal.on_hit(&mut self.host, now, hit, (group, tenant), key, remaining_wait, None);
    }

    fn handle_forward_end(&mut self, hit: u32, hop: u8, reason: EndReason, sent: bool, value: Option<Block>) {
        let now = self.host.now;
        let Some(pending) = self.host.hits.get_mut(hit) else { return };
        let Some(forward) = pending.forwards.get_mut(usize::from(hop)).filter(|f| !f.ended) else { return };
        (forward.place, forward.ended) = (None, true);
        if let Some(timeout_timer) = forward.timeout_timer.take() {
            self.host.timers.cancel(timeout_timer);
        }
        self.host.metrics.forward_ended(reason, sent);
        let (outcome, latency) = (reason.outcome(sent), now - forward.sent_at);
        pending.may_have_run |= !outcome.proves_never_run();
        trace!(
            "hit {} forward {hop}: {reason:?} after {} ms",
            pending.command.id(),
            latency.as_nanos() / 1_000_000
        );
        if let Some(value) = value {
            self.host.finish(hit, Answer::Delivered, || Reply::Value(value));
        }
        let answered = self.host.hits.get(hit).is_none_or(|pending| pending.answered);
        self.marshal.on_forward_completed(&mut self.host, now, (hit, hop), outcome, answered, latency);
        self.host.release_if_done(hit);
    }

    fn handle_client_left(&mut self, hit: u32) {
        let now = self.host.now;
        if let Some(pending) = self.host.hits.get_mut(hit).filter(|pending| !pending.answered) {
            trace!("hit {}: client disconnected", pending.command.id());
            // A client that only ended its sending may still read.
            self.host.finish(hit, Answer::ClientLeft, || Reply::Line(command::errored_reply()));
            self.marshal.on_client_left(&mut self.host, now, hit);
            self.host.release_if_done(hit);
        }
    }
}
