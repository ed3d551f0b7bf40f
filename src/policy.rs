//! All decisions of one marshal. A host owns one `Marshal` and calls one method per event: `on_list_*`,
//! `on_stage`, `on_platform_counts`, `on_hit`, `on_forward_completed`, `on_wrong_answer_report`,
//! `on_client_left`, `on_timer`. The module answers through the trait `Host` of `host.rs`. State lies in
//! `state.rs`, settings in `settings.rs`.
//!
//! Ordinary path (the design): the build on trial gets hits up to its cap, the cheapest path groups first;
//! hashed voters compare its failure-or-slow share with the earlier build's, hold the clock until they have
//! seen enough, vote back when it is clearly exceeded. docs/design.md says when the exceptions act.
//!
//! Mechanisms beside the design:
//! 1. Room: token buckets for exposure and for cold nodes; hits without room are held, then bounced.
//! 2. Expected wait: a node's pace and load, and blame for failures or silence, choose the node.
//! 3. Second chances: further forwards and second copies, where lawful, under one budget.
//! 4. Shedding: a hit that can't be answered in time is bounced at once, the least benefit first.
//! 5. Wrong answers: running odds on clients' reports.
//! 6. Drag: slowness in time, of the newest build, or of the whole fleet in step with its traffic.

use crate::outcomes::{Count, by_group, total};
use crate::{host::*, index::lot, load_shedding::*, settings::*, state::*, time::Span, time::Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const WINDOW: Span = Span::millis(5_000);
const FLOOR: f64 = 0.05; // this and the next three: the gate, from the design page
const EXCESS: f64 = 3.0;
const MARGIN: f64 = 1.5;
const ENOUGH: f64 = 20.0;
const CHANCE: f64 = 2.0; // standard deviations by which one path group alone must stand out
const HOLD: Span = Span::millis(3_000);
const VOTERS: usize = 3;
const HOLDERS: f64 = 1.2; // for each hold needed
const KEPT_WINDOWS: f64 = 4.0; // evidence kept, for marshals whose traffic doesn't fill one window
const LOOK: f64 = 1.0 / 20.0; // of a window: grain of the evidence, pace of the judging
const LEFT_OUT: f64 = 0.2; // of the stated warm-up after a listed start; late outcomes, the whole of it
const QUICKER: usize = 3; // the fleet's pace is read off the answer at this part of them, quickest first
const LATELY: f64 = 0.4; // of a window, where its answers are enough
const LIKE_LOAD: f64 = 1.2; // work a node up to which times compare
const SLOW_LOOKS: u32 = 7; // in a row, to a drag
const SLOWEST: f64 = 2.0; // times the usual time for like work that one answer counts at most
const RENEW: f64 = 0.6; // of a vote's life
const RENEW_OF_MANY: f64 = 0.9; // where many must vote: each call that renews one is missing for another
const CONVICT: f64 = 6.9; // log odds at which reports of wrong answers convict: one in a thousand
const CONVICT_OF_MANY: f64 = 1.0; // where many must vote: one report, till some 35 right answers follow
const MISTAKEN: f64 = 1.0 / 4.0; // reports by mistake, against those of a build that is wrong at the floor

const LEARN: f64 = 0.1; // weight of one outcome in a node's pace
const FLEET_LEARN: f64 = 0.4; // of that, in the fleet's pace
const BLAME: f64 = 0.2; // weight of one failure in its blame
const FORGIVE: Span = Span::millis(3_000); // blame fades with this, so that a node is tried again
const BLAME_COST: f64 = 2.0; // target latencies
const BLAME_COST_MUTATING: f64 = 6.0; // for a hit that can't run again
const SILENT: f64 = 5.0; // expected answer times without an answer that make a node silent
const UNLUCKY: f64 = 0.01; // so many forwards in a row must go unheard that chance is out of the question
const PREFER: f64 = 1.2; // times the best other wait up to which the build on trial is preferred
const LEAST_WORK: f64 = 0.2; // of the mean work: no hit counts as less
const COLD_PUSH: f64 = 0.6; // of the multiple at which a cold node falls: what the marshal allows itself
const AHEAD: f64 = 4.0; // times its fair part that a warm node of a build on trial gets at most
const TOUCH: Span = Span::millis(750); // within which each node of the hand is to be met
const LEAST_HAND: usize = 5;
const COPY_AFTER: f64 = 3.5; // expected times to a second copy
const COPY_WITHIN: f64 = 0.6; // of the target latency, if that is sooner
const EXTRA: f64 = 0.15; // further forwards and copies per hit taken
const EXTRA_SPAN: Span = Span::millis(1_500); // whose hits' part may go at once, when nodes are lost
const TENANT_BURST: f64 = 20.0; // hits within a tenant's share at once
const COPY_PRICE: f64 = 5.0; // of those, as the first one's work still runs
const HELD: f64 = 0.1; // longest hold for room, by the target latency
const COME_BACK: f64 = 0.2; // of the target latency: then a bounced hit may still be answered in time
/// Keys remembered as answered by the newest build: 57,344 fill a table of 64 Ki places, some 600 KB. Past
/// it, new keys stay with the earlier build as long as that has nodes: a key forgotten might return.
pub const MAX_ANSWERED_KEYS: usize = (1 << 16) / 8 * 7;
const ASK_AGAIN: Span = Span::millis(500); // first wait after a failed call for the list, then doubled
const ASK_LONGEST: f64 = 0.5; // of the time in which the list must be asked

fn fade(since: Span) -> f64 {
    (-since.ratio_to(FORGIVE)).exp()
}

/// When a bounced client may come back: soon enough to be answered in time, if it obeys so short a wait.
pub fn retry_after(target: Span, longest: Span) -> Span {
    (target * COME_BACK).min(longest)
}

impl Desk {
    /// Worth of a hit for shedding, 0 to 1: its benefit, or the best one's where it goes `alike`; less past its
    /// tenant's share of the own traffic.
    fn value(&mut self, group: usize, tenant: usize, alike: bool) -> f64 {
        let best = self.groups.iter().map(|g| g.benefit).fold(f64::MIN_POSITIVE, f64::max);
        let benefit = self.groups[group].benefit;
        let full = if alike && benefit > 0.0 { 1.0 } else { benefit / best };
        for (credit, share) in self.credits.iter_mut().zip(&self.tenancy.shares) {
            *credit = (*credit + share).min(TENANT_BURST);
        }
        let Some(credit) = self.credits.get_mut(tenant) else { return full };
        let within = *credit >= 1.0;
        *credit -= f64::from(within);
        if within { full } else { full * self.tenancy.over_share_factor }
    }

    /// Rule 2: may this hit be forwarded to a node at `place` now?
    fn may_run(&self, hit: &Hit, place: NodeAttributes, now: Time) -> bool {
        if hit.forwards.len() >= self.handling.max_forwards || (hit.out() && !self.handling.hedging) {
            return false;
        }
        let mut risky = hit.forwards.iter().filter(|f| !f.never_ran());
        match self.groups[hit.group].effect {
            Effect::Repeatable => true,
            Effect::Mutating => risky.next().is_none(),
            // One tick short: the forward takes effect when this batch is answered.
            Effect::Tagged { scope, dedup_window } => risky.all(|f| {
                now + self.handling.tick < f.sent + dedup_window && scope.same_group(f.place, place)
            }),
        }
    }

    /// Rule 2: may the client be told that trying again is harmless?
    fn may_bounce(&self, hit: &Hit) -> bool {
        match self.groups[hit.group].effect {
            Effect::Repeatable | Effect::Tagged { scope: DedupScope::All, .. } => true,
            _ => hit.forwards.iter().all(Forward::never_ran),
        }
    }
}

/// Rule 5 by this marshal's own count: a bucket as deep as the allowance, filled with the cap by each hit
/// taken, bounds every window without keeping one. Full from the start, many would push over the first node.
impl Exposure {
    /// No further key can be remembered.
    fn full(&self) -> bool {
        self.trial.sticky_keys && self.answered.len() >= MAX_ANSWERED_KEYS
    }

    fn bucket(&mut self, build: u16, group: usize) -> &mut f64 {
        let group = if self.trial.per_group { group } else { 0 };
        let (salt, depth) = (self.salt, self.trial.allowance);
        let start = || lot(salt, lot(u64::from(build), group as u64)) as f64 / u64::MAX as f64 * depth;
        self.buckets.entry((build, group)).or_insert_with(start)
    }

    fn fill(&mut self, group: usize, cap: impl Fn(u16) -> Option<f64>) {
        let group = if self.trial.per_group { group } else { 0 };
        for (&(build, counted), bucket) in &mut self.buckets {
            if counted == group {
                *bucket = (*bucket + cap(build).unwrap_or(0.0)).min(self.trial.allowance);
            }
        }
    }
}

impl Gate {
    fn newest(&self) -> Option<u16> {
        self.told.map(|t| t.0)
    }

    /// Stage and cap of a build on trial for this marshal; unannounced builds are in stage 0.
    fn trial(&self, build: u16) -> Option<(u8, f64)> {
        match self.told {
            Some((newest, stage, standing, cap, _)) if newest == build => {
                (standing != BuildStatus::Released).then_some((stage, cap))
            }
            Some((newest, ..)) => (build > newest).then_some((0, self.first_cap)),
            None => None,
        }
    }

    fn rank(&self, build: u16, stage: u8) -> usize {
        let draw = |m: usize| lot(u64::from(build) << 8 | u64::from(stage), m as u64);
        let mine = draw(self.ballot.marshal_index);
        (0..self.ballot.marshal_count).filter(|m| draw(*m) < mine).count()
    }

    /// Voters have the lowest lots for a build and stage, three for each vote needed; all draw alike.
    fn voters(&self) -> usize {
        (VOTERS * self.ballot.votes_needed.max(1)).min(self.ballot.marshal_count.max(1))
    }

    /// So many votes are needed that they tell a bad build from chance together: each marshal then votes on
    /// what is unlikely by chance alone (one in ten or less), where one on its own must be sure. With 20 of
    /// 80 needed, 8 are expected by chance, and 20 lie over four deviations off.
    /// May harm: what strikes all marshals, the new build's nodes more than others, and is not the build.
    fn of_many(&self) -> bool {
        self.ballot.votes_needed as f64 >= ENOUGH
    }

    /// Clearly exceeded: by 3 and by half again, as if at least 20 outcomes were in, the missing ones good.
    /// Rows are a path group's outcomes, its e, and how many outcomes of earlier builds tell that.
    fn exceeds(rows: &[(Count, f64, f64)], whole: f64, of_many: bool) -> bool {
        // All path groups together, then each by itself.
        std::iter::once(rows).chain(rows.chunks(1)).any(|part| {
            let sum = |f: fn(&(Count, f64, f64)) -> f64| part.iter().map(f).sum::<f64>();
            let (n, bad, expected) = (sum(|r| r.0.n), sum(|r| r.0.bad), sum(|r| r.0.n * r.1));
            let filled = if of_many { 1.0 } else { (ENOUGH * whole / n.max(1.0)).max(1.0) };
            let predicted = expected * filled;
            // Many groups judged look after look make one verdict's error that of many, most of all where
            // the earlier build drains and few outcomes tell e: alone, a group must stand out beyond chance,
            // that of e too.
            // May harm: a build that fails one dear path group a little and is met late.
            let guess = predicted * (1.0 + n / sum(|r| r.2).max(ENOUGH));
            let excess = match (of_many, part.len() < rows.len()) {
                (true, alone) => CHANCE * if alone { MARGIN } else { 1.0 } * guess.sqrt(),
                (false, true) => (EXCESS * whole).max(CHANCE * guess.sqrt()),
                (false, false) => EXCESS * whole,
            };
            n > 0.0 && bad >= predicted + excess && bad >= predicted * MARGIN
        })
    }

    /// Does the build fail clearly more than the earlier ones, or is it clearly slower? Says how if so.
    fn judge(&mut self, build: u16, fleet: &Nodes, now: Time) -> Option<String> {
        // With little traffic, evidence may be older; for e just as for the build on trial.
        let (from, older) = (now - WINDOW, now - WINDOW * KEPT_WINDOWS);
        let groups = self.e.len();
        let mut nodes = self.seen.by_source(from, groups, |b| b == build);
        let mut earlier = self.seen.by_source(from, groups, |b| b < build);
        let (n, lately) = (total(&nodes).n, total(&earlier));
        if n < ENOUGH {
            nodes = self.seen.by_source(older, groups, |b| b == build);
        }
        if lately.n < ENOUGH {
            earlier = self.seen.by_source(older, groups, |b| b < build);
        }
        let all = total(&earlier);
        // With no earlier node left, e is a memory, and going back may leave nothing to send to.
        if all.n < ENOUGH || lately.n < ENOUGH / KEPT_WINDOWS {
            return None;
        }
        // Missing outcomes stand at the share of all, old or latest: by a floor that light traffic never
        // replaced, the build would be blamed for what strikes every one.
        let share = all.share().max(lately.share());
        let (of_many, floor) = (self.of_many(), if self.of_many() { FLOOR / VOTERS as f64 } else { FLOOR });
        let known = by_group(&earlier, groups);
        for (e, c) in self.e.iter_mut().zip(&known) {
            let missing = (ENOUGH - c.n).max(0.0);
            *e = ((c.bad + missing * share) / (c.n + missing)).max(floor);
        }
        // Sick nodes are not the build: it must fail clearly without the worst third of them, or without one
        // more than look sick elsewhere.
        let ill = |n: &&Node| n.build != build && n.blame >= BLAME && !n.silent(now);
        let sick = fleet.ready().filter(ill).count();
        let usual_spare = (1 + sick).max(nodes.len().div_ceil(3));
        // One of many meets few nodes of the build: of those the part that looks sick elsewhere.
        let part = (sick * nodes.len()).div_ceil(earlier.len().max(1));
        let spare = if of_many { part } else { usual_spare }.min(nodes.len());
        let given_up = if self.ballot.votes_needed > VOTERS { spare } else { 0 };
        let sure = 1.0 - given_up as f64 / nodes.len().max(1) as f64;
        let rows = |counts: Vec<Count>, e: &[f64], known: &[Count]| {
            let told = std::iter::zip(e, known).map(|(e, k)| (*e, k.n));
            std::iter::zip(counts, told).map(|(c, (e, n))| (c, e, n)).collect::<Vec<_>>()
        };
        let met = rows(by_group(&nodes, groups), &self.e, &known);
        let mut worst_first = nodes.clone();
        worst_first.sort_by(|a, b| Count::of(&b.1).bad.total_cmp(&Count::of(&a.1).bad));
        let left = by_group(&worst_first[spare..], groups);
        let failed = left.iter().map(|c| c.failures()).collect();
        let spared = rows(left, &self.e, &known);
        // Lateness that strikes all builds lifts e, and would hide the failures of one: they count apart too.
        let usual = all.failures().share();
        let e = known.iter().map(|k| (k.failed + (ENOUGH - k.n).max(0.0) * usual) / k.n.max(ENOUGH));
        let failed = rows(failed, &e.map(|e| e.max(floor)).collect::<Vec<_>>(), &known);
        let own = (Self::exceeds(&met, 1.0, of_many) && Self::exceeds(&spared, sure, of_many))
            || (of_many && Self::exceeds(&failed, sure, of_many));
        // With few own outcomes, the platform's sums judge if any own one points the same way.
        let sums = |of: &dyn Fn(u16) -> bool| by_group(&self.sums.by_source(from, groups, of), groups);
        let told = || {
            let before = sums(&|b| b < build);
            let e: Vec<f64> = before.iter().map(|c| c.share().max(FLOOR)).collect();
            Self::exceeds(&rows(sums(&|b| b == build), &e, &before), 1.0, false)
        };
        if own || (n < ENOUGH && total(&nodes).bad > 0.0 && told()) {
            let shown: String =
                met.iter().map(|(c, e, n)| format!(" {}/{} at {e:.2} by {n}", c.bad, c.n)).collect();
            return Some(format!("failing:{shown}"));
        }
        // A build may be slow within the target latency: half again as long for like work at like load.
        nodes.sort_by(|a, b| Count::of(&b.1).pace().total_cmp(&Count::of(&a.1).pace()));
        let (quicker, usual) = (total(&nodes[spare..]), all.pace().max(lately.pace()));
        let like = total(&nodes).n * earlier.len() as f64 <= LIKE_LOAD * all.n * nodes.len() as f64;
        let slow = like && quicker.timed >= ENOUGH / 2.0 && quicker.pace() >= MARGIN * usual;
        slow.then(|| format!("slow: {:.2} over {usual:.2}", quicker.pace()))
    }

    /// Where more votes must stand at once than the platform takes calls in a vote's life, marshals that
    /// voted as they please would never be enough. It saves up calls that nobody makes (32 were taken at once
    /// where it takes 16 a second), so all vote back in one span and rest in the next, by the stage's age,
    /// which all know; the holds at a stage's begin come before. May harm: a bad build stays a rest longer.
    fn in_turn(&self, standing: BuildStatus, age: Span) -> bool {
        let VotingRules { votes_needed: needed, vote_lifetime: stands, calls_per_s, .. } = self.ballot;
        let (turn, round) = (stands * RENEW_OF_MANY, needed as f64 * HOLDERS / calls_per_s.max(1.0));
        let begin = if standing == BuildStatus::OnTrial { HOLD } else { Span::ZERO };
        let at = (age - begin).seconds().rem_euclid(round);
        !self.of_many() || round <= turn.seconds() || (age >= begin && at < turn.seconds())
    }

    fn wanted(&self, enough: bool, now: Time) -> (u16, u8, Verdict) {
        let stands = self.ballot.vote_lifetime;
        let Some((build, stage, standing, _, since)) = self.told else { return (0, 0, Verdict::None) };
        let (clock, age) = (self.ballot.control == StageControl::Clock, now - since);
        // Few more than needed hold, so that the platform can take their withdrawals in time.
        let holder =
            (self.record.rank as f64) < (self.ballot.holds_needed as f64 * HOLDERS).max(VOTERS as f64);
        let verdict = match standing {
            // A stage that moves on draws other voters; who votes back stays.
            _ if self.record.rank >= self.voters() && self.vote.2 != Verdict::Back => Verdict::None,
            // Its hold lapses by itself, and gives the others time for their votes.
            _ if self.of_many() && self.vote == (build, stage, Verdict::Hold) && now - self.cast < stands => {
                Verdict::Hold
            }
            _ if standing.is_active() && now < self.record.back_until && self.in_turn(standing, age) => {
                Verdict::Back
            }
            BuildStatus::OnTrial if clock && !enough && age < HOLD && holder => Verdict::Hold,
            BuildStatus::OnTrial if !clock && enough && age >= HOLD => Verdict::On,
            _ => Verdict::None,
        };
        (build, stage, verdict)
    }

    fn vote(&mut self, host: &mut impl Host, now: Time) {
        let VotingRules { vote_lifetime: stands, call_timeout, calls_per_s, .. } = self.ballot;
        // Each voter keeps to its part of the calls that the platform takes.
        let mut gap = Span::from_seconds(self.voters() as f64 / calls_per_s.max(1.0));
        let (since, mut renew) = (now - self.cast, stands * RENEW);
        self.pending &= since <= call_timeout * 1.5;
        let wanted = self.wanted(self.record.stage_outcomes >= ENOUGH, now);
        let none = wanted.2 == Verdict::None;
        if since >= stands && none {
            self.vote.2 = Verdict::None; // it lapsed by itself: to take it back would cost a call
        }
        if self.of_many() && self.ballot.control == StageControl::Clock {
            // By turns so long, votes would lapse before enough stand. Whom the platform turns away asks
            // again soon, each at a time of its own; who stands lets the others have the calls.
            let scatter = lot(self.ballot.marshal_index as u64, (self.cast - EPOCH).as_nanos()) as f64
                / u64::MAX as f64;
            gap = gap * ((0.5 + scatter) / (VOTERS * VOTERS) as f64);
            renew = stands * if wanted.2 == Verdict::Hold { 1.0 } else { RENEW_OF_MANY };
            if none {
                return;
            }
        }
        let same = self.vote == wanted || (none && self.vote.2 == Verdict::None);
        if self.pending || since < gap || (same && (none || since < renew)) {
            return;
        }
        host.vote(wanted.0, wanted.1, wanted.2);
        (self.vote, self.cast, self.pending) = (wanted, now, true);
    }
}

impl Fleet {
    /// Share of its capacity that a node surely has: 1 when warm.
    fn ramp(&self, node: &Node, now: Time) -> f64 {
        let age = node.age(now).ratio_to(self.warm_up.duration);
        (self.warm_up.initial_share + (1.0 - self.warm_up.initial_share) * age).min(1.0)
    }

    /// The nodes in use: of each build and zone those that rank highest in a hash of this marshal's number
    /// and theirs, as many as its traffic can keep in touch with; and each one's fair part of the hits.
    fn deal(&mut self) {
        let width = ((self.rate * TOUCH.seconds()) as usize).max(LEAST_HAND);
        let ranked = self.nodes.ranked(self.listed.marshal_index);
        // Where a new build's nodes stand beside the earlier ones, either can carry the whole traffic.
        let of = |build| ranked.iter().filter(|(k, _)| k.0 == build).map(|(_, v)| v.len()).sum::<usize>();
        let most = ranked.keys().map(|k| of(k.0)).max().unwrap_or(0);
        let places = if self.listed.parallel_layout { most } else { ranked.values().map(Vec::len).sum() };
        self.hand.clear();
        let mut start = 0.0;
        for of_kind in ranked.values() {
            let used = of_kind.len().min(width);
            for at in &of_kind[..used] {
                let part = of_kind.len() as f64 / (used * places) as f64;
                (self.nodes.rows[*at].part, self.nodes.rows[*at].start) = (part, start);
                start += part;
                self.hand.push(*at);
            }
        }
        self.width = width;
    }

    /// Rule 4: a hit is open to a cold node by its lot, a point on a circle where the node holds its part, so
    /// many times over. Lots add up alike for any number of marshals; whole credits would make a burst.
    fn open_to(&self, node: &Node, hit: &Hit, on_trial: bool, usual: f64, shed: f64, now: Time) -> bool {
        let (ramp, surge) = (self.ramp(node, now), (self.rate / self.calm).max(1.0));
        let times = match (ramp < 1.0, on_trial) {
            // Not again: where all are cold, a failed hit's lot would lead to the same node each time.
            (true, _) if !hit.forwards.is_empty() => 0.0,
            (true, _) => {
                self.warm_up.overload_multiple * COLD_PUSH * ramp * (1.0 - shed) * usual / hit.work / surge
            }
            (false, true) => AHEAD,
            (false, false) => return true,
        };
        (hit.luck - node.start).rem_euclid(1.0) < times * node.part
    }

    /// Expected seconds to an answer, a figure to rank nodes by, and blame from 0 to 1: for failures, or for
    /// silence. Ranking counts the crowd in full once more: a busy node is avoided before it slows down.
    fn outlook(&self, node: &Node, work: f64, now: Time) -> (f64, f64, f64) {
        let trust = fade(now - node.timed);
        let usual = self.paces[usize::from(node.place.kind)];
        let pace = usual + (node.pace - usual) * trust;
        let crowd = f64::from(node.open) + 1.0;
        let wait = work * pace * (crowd / (node.usual + 1.0)).max(1.0);
        let blame = node.blame * fade(now - node.blamed);
        (wait, work * pace * crowd, if node.silent(now) { 1.0 } else { blame })
    }
}

pub struct Marshal {
    desk: Desk,
    exposure: Exposure,
    gate: Gate,
    fleet: Fleet,
    hits: Hits,
    waiting: Vec<u32>,
    chance: Pcg64Mcg,
    now: Time,
}

impl Marshal {
    pub fn new(
        host: &mut impl Host, now: Time, seed: u64,
        (groups, tenancy, handling): (Vec<PathGroup>, Tenancy, SiteLimits), trial: ExposureLimits,
        ballot: VotingRules, (listed, warm_up): (NodeListSettings, WarmUp),
    ) -> Self {
        if listed.on_request {
            host.watch(true);
        }
        host.set_timer(WINDOW * LOOK, Timer::Evaluate.token());
        let first_cap = trial.stage_caps.first().copied().unwrap_or(0.0);
        let waits = Waits::of(&groups);
        let work = groups.first().map_or(1.0, |_| waits.usual(0));
        let (e, credits) = (vec![FLOOR; groups.len()], vec![1.0; tenancy.shares.len()]);
        Marshal {
            desk: Desk { groups, tenancy, handling, waits, credits, extra: COPY_PRICE, work },
            gate: Gate { ballot, first_cap, e, ..Gate::default() },
            fleet: Fleet { listed, warm_up, waits: ASK_AGAIN, ..Fleet::default() },
            exposure: Exposure { trial, salt: seed, ..Exposure::default() },
            hits: Hits::default(),
            waiting: Vec::new(),
            chance: Pcg64Mcg::seed_from_u64(seed),
            now,
        }
    }

    pub fn on_list_begin(&mut self, now: Time, how: ListUpdate) {
        self.now = now;
        self.fleet.nodes.begin_list(how != ListUpdate::Delta);
        self.fleet.waits = ASK_AGAIN;
    }

    pub fn on_list_entry(
        &mut self, id: u64, place: NodeAttributes, ready: Readiness, build: u16, started: Time,
    ) {
        let pace = self.fleet.usual(place.kind);
        self.fleet.nodes.update_entry(Node { pace, ..Node::new(id, place, ready, build, started) });
    }

    pub fn on_list_end(&mut self, host: &mut impl Host) {
        self.fleet.nodes.end_list();
        self.fleet.deal();
        self.use_room(host);
    }

    /// A call for the list failed, or the watch was dropped: ask again, later each time, out of step.
    pub fn on_list_failed(&mut self, host: &mut impl Host, now: Time) {
        self.now = now;
        let fleet = &mut self.fleet;
        host.set_timer(fleet.waits * self.chance.random_range(0.5..1.5), Timer::RequestList.token());
        fleet.waits = (fleet.waits * 2.0).min(fleet.listed.max_request_interval * ASK_LONGEST);
    }

    pub fn on_stage(
        &mut self, host: &mut impl Host, now: Time, (build, stage): (u16, u8), standing: BuildStatus,
        cap: f64, age: Span, reply: Option<ForwardOutcome>,
    ) {
        self.now = now;
        let gate = &mut self.gate;
        gate.pending &= reply.is_none();
        match reply {
            // An unanswered vote may stand: it stays booked, and is cast again while meant.
            Some(ForwardOutcome::TimedOut) => gate.cast = now - gate.ballot.vote_lifetime,
            Some(ForwardOutcome::Ok) | None => {
                let before = gate.told.map(|t| (t.0, t.1));
                let another = before.is_none_or(|t| t.0 != build);
                if another {
                    gate.record = Record::default();
                    self.exposure.buckets.retain(|(of, _), _| *of >= build);
                }
                if another || !standing.is_active() {
                    self.exposure.answered = Default::default();
                }
                if before != Some((build, stage)) {
                    gate.record.stage_outcomes = 0.0;
                    gate.record.rank = gate.rank(build, stage);
                }
                gate.record.offered |= standing == BuildStatus::OnTrial;
                gate.told = Some((build, stage, standing, cap, now - age));
            }
            _ => gate.vote.2 = Verdict::None,
        }
        self.gate.vote(host, now);
        self.use_room(host);
    }

    /// Seconds late, the platform's sums only help marshals whose own outcomes are few.
    pub fn on_platform_counts(&mut self, now: Time, (build, group): (u16, usize), (n, bad): (u32, u32)) {
        self.now = now;
        let count = Count { n: f64::from(n), bad: f64::from(bad), ..Count::default() };
        if group < self.desk.groups.len() {
            self.gate.sums.note(build, group, 0, now, WINDOW * LOOK, count);
        }
    }

    pub fn on_wrong_answer_report(&mut self, now: Time, node: u64, _group: usize, age: Span) {
        self.now = now;
        let node = self.fleet.nodes.named.find(node).map(|at| &self.fleet.nodes.rows[at]);
        if node.is_some_and(|n| now - age >= n.started && Some(n.build) == self.gate.newest()) {
            self.gate.record.odds -= MISTAKEN.ln();
        }
    }

    pub fn on_hit(
        &mut self, host: &mut impl Host, now: Time, id: u32, (group, tenant): (usize, usize), key: u64,
        grace: Span, work: Option<Span>,
    ) {
        self.now = now;
        if group >= self.desk.groups.len() {
            return;
        }
        let alike = self.chance.random_bool(ALIKE);
        let value = self.desk.value(group, tenant, alike);
        let work = work.map_or(self.desk.waits.usual(group), Span::seconds);
        self.desk.work += LEARN * LEARN * (work - self.desk.work);
        // Hints are rough, and each answer has costs of its own: none counts as next to nothing.
        let work = work.max(self.desk.work * LEAST_WORK);
        let ends = now + (grace - self.desk.handling.tick * 2.0);
        let luck = self.chance.random_range(0.0..1.0);
        let slot = self.hits.enter(Hit::taken(id, group, key, now, ends, work, value, luck));
        host.set_timer(ends - now, Timer::Deadline(id).token());
        // A burst is a part of the own traffic too: whole ones of many marshals would crowd the fleet.
        let burst = (EXTRA * self.fleet.rate * EXTRA_SPAN.seconds()).max(COPY_PRICE);
        self.desk.extra = (self.desk.extra + EXTRA + self.fleet.astray).min(burst);
        self.fleet.taken += 1.0;
        self.desk.waits.taken(group);
        self.exposure.fill(group, |build| self.gate.trial(build).map(|t| t.1));
        self.waiting.push(id);
        self.use_room(host);
        let shed = self.hits[slot].state.ended();
        self.gate.shed += LEARN * LEARN * (f64::from(shed) - self.gate.shed);
    }

    /// Cheapest first: dearer path groups follow as good outcomes come in, or as the build passes stages.
    /// Where many vote, each brings its part of the proof: a dear path group that fails should be met while
    /// the cap is least. May harm: the first dear hits of a build that fails them all.
    fn proven(&self, effect: Effect) -> bool {
        let proof = self.gate.record.good + ENOUGH * self.gate.told.map_or(0.0, |t| f64::from(t.1));
        let enough = if self.gate.of_many() { ENOUGH / self.gate.ballot.votes_needed as f64 } else { ENOUGH };
        match effect {
            Effect::Repeatable => true,
            Effect::Tagged { .. } => proof >= enough,
            Effect::Mutating => proof >= enough * 2.0,
        }
    }

    /// Picks a node for a hit, if there is room; with the expected wait, and whether it is a try.
    fn pick(&mut self, slot: usize, reason: Reason) -> Option<(usize, f64, bool)> {
        let now = self.now;
        let hit = &self.hits[slot];
        let group = &self.desk.groups[hit.group];
        let fear = if group.effect == Effect::Mutating { BLAME_COST_MUTATING } else { BLAME_COST };
        let first = reason == Reason::First;
        let may_try = first && group.effect == Effect::Repeatable && self.desk.extra >= 1.0;
        let returning = self.exposure.trial.sticky_keys && self.exposure.answered.contains(&hit.key);
        let earlier = |n: &Node| Some(n.build) < self.gate.newest();
        let unknown = hit.key != 0 && !returning && self.exposure.full();
        let keeps = unknown && self.fleet.nodes.ready().any(earlier);
        let target = group.target_latency.seconds();
        let listed = &self.fleet.listed;
        let mut best: [Option<(f64, usize, f64, f64)>; 2] = [None, None];
        let hunger = if self.gate.record.stage_outcomes < ENOUGH { 0.0 } else { 1.0 };
        let (mut curious, mut old_sum, mut olds) = (None, 0.0, 0.0);
        let newest = self.gate.newest().filter(|_| self.gate.record.offered);
        for &at in &self.fleet.hand {
            let node = &self.fleet.nodes.rows[at];
            if !self.desk.may_run(hit, node.place, now) {
                continue;
            }
            let trial = self.gate.trial(node.build);
            if let Some((stage, cap)) = trial {
                let closed =
                    stage < self.exposure.trial.repeatable_only_stages && group.effect != Effect::Repeatable;
                if closed || keeps || cap <= 0.0 || *self.exposure.bucket(node.build, hit.group) < 1.0 {
                    continue;
                }
            } else if returning && Some(node.build) < self.gate.newest() {
                continue;
            }
            if !self.fleet.open_to(node, hit, trial.is_some(), self.desk.work, self.gate.shed, now) {
                continue;
            }
            let (wait, rank_by, blame) = self.fleet.outlook(node, hit.work, now);
            let tried = hit.forwards.iter().filter(|f| f.node == at).count() as f64;
            let crossing = f64::from(node.place.zone != listed.zone) * listed.cross_zone_cost;
            let fears = ((blame + tried) * fear + crossing) * target;
            let cost = rank_by * self.chance.random_range(0.9..1.1) + fears;
            // Lest judging starve, hits that can run again overlook failures, and slowness up to 20 outcomes.
            let overlooks = first && group.effect == Effect::Repeatable && blame < 1.0;
            let against_old = if overlooks { rank_by * hunger } else { cost };
            let side = usize::from(trial.is_some() || Some(node.build) == newest);
            if side == 0 {
                (old_sum, olds) = (old_sum + cost, olds + 1.0);
            }
            if best[side].is_none_or(|b| cost < b.0) {
                best[side] = Some((cost, at, wait, against_old));
            }
            // A blamed node is tried now and then, by a hit that can run again.
            if may_try && blame > 0.5 && now - node.tried >= FORGIVE * 0.5 {
                curious = Some((at, wait.min(target * COPY_WITHIN)));
            }
        }
        if let Some((at, wait)) = curious {
            self.fleet.nodes.rows[at].tried = now;
            return Some((at, wait, true));
        }
        let eager = first && self.proven(group.effect) && now >= self.gate.record.back_until;
        let choice = match (best[0], best[1]) {
            // Few new nodes are open to a hit: they stand against the usual earlier one, not the luckiest.
            (Some(old), Some(new)) if !eager || new.3 > old_sum / olds * PREFER => old,
            (old, new) => new.or(old)?,
        };
        Some((choice.1, choice.2, false))
    }

    /// Forwards a hit if there is room and sense in it; else holds it, or gives up.
    fn place(&mut self, host: &mut impl Host, slot: usize, reason: Reason) {
        let now = self.now;
        let price = match reason {
            Reason::First => 0.0,
            Reason::Again => 1.0,
            // Less the likelier it is that the first one's work is done, and its answer gone astray.
            Reason::Copy => (COPY_PRICE * FLOOR / self.fleet.astray.max(FLOOR)).max(1.0),
        };
        let picked = if self.desk.extra < price { None } else { self.pick(slot, reason) };
        let hit = &self.hits[slot];
        let (group, waited) = (&self.desk.groups[hit.group], now - hit.taken);
        let Some((at, wait, curious)) = picked else {
            match reason {
                Reason::Copy => {}
                Reason::Again => self.give_up(host, slot, GiveUpReason::NoSecond),
                Reason::First if waited >= group.target_latency * HELD => {
                    self.give_up(host, slot, GiveUpReason::NoRoom)
                }
                Reason::First => self.waiting.push(hit.id),
            }
            return;
        };
        // What a usual hit would wait there: a heavy one is not to blame for its own work.
        let (expected, waited) = (wait / hit.work * self.desk.work, waited.seconds());
        let shed = self.desk.waits.shed((hit.group, hit.value), waited, expected);
        if hit.forwards.is_empty() && shed > 0.0 && self.chance.random_bool(shed) {
            return self.give_up(host, slot, GiveUpReason::TooLate);
        }
        self.desk.extra -= price;
        let build = self.fleet.nodes.rows[at].build;
        if self.gate.trial(build).is_some() {
            *self.exposure.bucket(build, hit.group) -= 1.0;
        }
        // The more answers go astray, the more in a row must be missing before it is the node.
        let chance = UNLUCKY.ln() / self.fleet.astray.clamp(FLOOR, 0.5).ln();
        let node = &mut self.fleet.nodes.rows[at];
        let held = node.sends(now);
        if f64::from(node.since) >= chance && node.due == NEVER {
            node.due = now + Span::from_seconds(wait * SILENT);
        }
        let (id, place, kind) = (node.id, node.place, usize::from(node.place.kind));
        let hit = &mut self.hits[slot];
        host.forward(hit.id, id, hit.ends - now);
        if group.effect != Effect::Mutating && hit.forwards.len() + 1 < self.desk.handling.max_forwards {
            let patience = (wait * COPY_AFTER).min(group.target_latency.seconds() * COPY_WITHIN);
            let patience = patience.max(hit.work * self.fleet.paces[kind]);
            host.set_timer(
                Span::from_seconds(patience),
                Timer::Hedge(hit.id, hit.forwards.len() as u8).token(),
            );
        }
        hit.forwards.push(Forward { node: at, place, build, sent: now, held, curious, fate: None });
        self.shift(host, slot, State::Out);
    }

    /// The only place where a hit changes state; an end is told here, and forwards still out called off.
    fn shift(&mut self, host: &mut impl Host, slot: usize, to: State) {
        let hit = &mut self.hits[slot];
        if hit.state.ended() {
            return;
        }
        hit.state = to;
        let soon =
            retry_after(self.desk.groups[hit.group].target_latency, self.desk.handling.max_retry_after);
        match to {
            State::Bounced => host.bounce(hit.id, soon),
            State::Errored => host.error(hit.id),
            _ => {}
        }
        if to.ended() {
            let out = hit.forwards.iter().enumerate().filter(|(_, f)| f.fate.is_none());
            for (hop, _) in out.filter(|_| self.desk.handling.cancellation) {
                host.cancel(hit.id, hop as u8);
            }
            self.hits.release(slot);
        }
    }

    fn give_up(&mut self, host: &mut impl Host, slot: usize, why: GiveUpReason) {
        host.report_give_up(self.hits[slot].id, why);
        let lawful = self.desk.may_bounce(&self.hits[slot]);
        self.shift(host, slot, if lawful { State::Bounced } else { State::Errored });
    }

    /// The most worthy go first: where room is short for long, it should not be those that are left over.
    fn use_room(&mut self, host: &mut impl Host) {
        for slot in self.hits.waiting(std::mem::take(&mut self.waiting)) {
            self.place(host, slot, Reason::First);
        }
    }

    pub fn on_forward_completed(
        &mut self, host: &mut impl Host, now: Time, (id, hop): (u32, u8), fate: ForwardOutcome, last: bool,
        latency: Span,
    ) {
        self.now = now;
        let Some(slot) = self.hits.find(id) else { return };
        let hit = &mut self.hits[slot];
        let (group, work, key) = (hit.group, hit.work, hit.key);
        let Some(forward) = hit.forwards.get_mut(usize::from(hop)) else { return };
        forward.fate = Some(fate);
        let (forward, build) = (*forward, forward.build);
        self.weigh(&forward, group, fate, latency, work);
        self.learn(&forward, fate, latency, work);
        if fate == ForwardOutcome::Ok {
            let kept = self.exposure.trial.sticky_keys && !self.exposure.full();
            if kept && key != 0 && Some(build) == self.gate.newest() {
                self.exposure.answered.insert(key);
            }
            self.desk.waits.answered(group, latency.seconds());
            self.shift(host, slot, State::Delivered);
        } else if last {
            self.shift(host, slot, State::Left);
        } else if !self.hits[slot].state.ended() && !self.hits[slot].out() {
            self.shift(host, slot, State::Waiting);
            self.place(host, slot, Reason::Again);
        }
        self.hits.release(slot);
        self.use_room(host);
    }

    fn learn(&mut self, forward: &Forward, fate: ForwardOutcome, latency: Span, work: f64) {
        let (now, fleet) = (self.now, &mut self.fleet);
        let node = &mut fleet.nodes.rows[forward.node];
        if !node.hears(
            now,
            forward,
            matches!(fate, ForwardOutcome::Ok | ForwardOutcome::Error | ForwardOutcome::Rejected),
        ) {
            return; // it was another process
        }
        let pace = latency.seconds() / work;
        // Where later forwards were answered, this answer went astray: that says nothing of the node's pace.
        let lost = matches!(fate, ForwardOutcome::Cancelled | ForwardOutcome::TimedOut) && pace > node.pace;
        let astray = lost && node.answered > forward.sent;
        if astray || matches!(fate, ForwardOutcome::Ok | ForwardOutcome::Error) {
            self.desk.waits.done();
        }
        // By work, so that light hits, whose ratios scatter most, count least.
        let weight = LEARN * (work / self.desk.work).min(2.0);
        // A loss tells little of the pace: the answer may have gone astray.
        let bound = if fate == ForwardOutcome::Ok { 10.0 } else { 3.0 };
        if fate == ForwardOutcome::Ok || (lost && !astray) {
            node.pace += weight * (pace.min(node.pace * bound) - node.pace);
            node.usual += LEARN * (forward.held - node.usual);
            node.timed = now;
        }
        if fate == ForwardOutcome::Ok || astray {
            fleet.astray += LEARN.powi(2) * (f64::from(astray) - fleet.astray);
        }
        if fate == ForwardOutcome::Ok {
            // Answers only: were losses to count, a fleet that stands idle would pass for a slow one.
            let usual = &mut fleet.paces[usize::from(node.place.kind)];
            *usual += FLEET_LEARN * weight * (pace.min(*usual * bound) - *usual);
        }
        let blame = node.blame * fade(now - node.blamed);
        node.blame = match fate {
            ForwardOutcome::Ok => blame * (1.0 - BLAME),
            ForwardOutcome::Unreached => 1.0,
            ForwardOutcome::Cancelled | ForwardOutcome::Unsent if !astray => blame,
            _ => blame + BLAME * (1.0 - blame),
        };
        node.blamed = now;
    }

    /// What an outcome says of its build: the design's evidence. Left out are tries of blamed nodes, first
    /// outcomes of a started node, late ones while it is cold, and losses on a node silent since.
    fn weigh(&mut self, forward: &Forward, group: usize, fate: ForwardOutcome, latency: Span, work: f64) {
        let Forward { node: at, build, sent, curious, .. } = *forward;
        let node = &self.fleet.nodes.rows[at];
        let young = |share| node.age(sent) < self.fleet.warm_up.duration * share;
        let failed = matches!(fate, ForwardOutcome::Error | ForwardOutcome::Reset);
        let late =
            !failed && (fate == ForwardOutcome::TimedOut || latency > self.desk.groups[group].target_latency);
        let lost =
            matches!(fate, ForwardOutcome::TimedOut | ForwardOutcome::Reset | ForwardOutcome::Cancelled);
        let silent =
            matches!(fate, ForwardOutcome::Rejected | ForwardOutcome::Unreached | ForwardOutcome::Unsent)
                || (lost && node.unheard.is_some_and(|t| t <= sent));
        let early = young(LEFT_OUT) || (young(1.0) && (late || lost));
        if node.build != build || curious || silent || early || (fate == ForwardOutcome::Cancelled && !late) {
            return;
        }
        let pace = latency.seconds() / work;
        let timed = f64::from((late || fate == ForwardOutcome::Ok) && !young(1.0));
        let time = timed * (pace / self.fleet.paces[usize::from(node.place.kind)]).min(SLOWEST);
        let count = Count { n: 1.0, bad: f64::from(failed || late), failed: f64::from(failed), timed, time };
        if timed > 0.0 {
            self.gate.answers.push_back((self.now, pace, build));
        }
        self.gate.seen.note(build, group, at, self.now, WINDOW * LOOK, count);
        if Some(build) == self.gate.newest() {
            self.gate.record.stage_outcomes += 1.0;
            self.gate.record.good += 1.0 - 2.0 * count.bad;
            let unreported = self.gate.ballot.reported_share * FLOOR * (1.0 - MISTAKEN);
            self.gate.record.odds = (self.gate.record.odds - unreported).max(0.0);
        }
    }

    pub fn on_client_left(&mut self, host: &mut impl Host, now: Time, id: u32) {
        self.now = now;
        if let Some(slot) = self.hits.find(id) {
            self.shift(host, slot, State::Left);
        }
    }

    pub fn on_timer(&mut self, host: &mut impl Host, now: Time, token: u64) {
        self.now = now;
        match Timer::from(token) {
            Timer::Evaluate => self.look(host),
            Timer::RequestList => host.watch(true),
            Timer::Deadline(id) => {
                if let Some(slot) = self.hits.find(id) {
                    self.give_up(host, slot, GiveUpReason::TimeUp);
                }
            }
            Timer::Hedge(id, hop) => {
                let Some(slot) = self.hits.find(id) else { return };
                let hit = &self.hits[slot];
                let forward = hit.forwards.get(usize::from(hop)).filter(|_| !hit.state.ended());
                let out = forward.is_some_and(|f| f.fate.is_none());
                if out && self.desk.handling.hedging {
                    self.place(host, slot, Reason::Copy);
                } else if out && self.desk.handling.cancellation {
                    host.cancel(id, hop);
                }
            }
        }
    }

    /// Twenty times a window: judge the newest build, vote, and see to held hits.
    fn look(&mut self, host: &mut impl Host) {
        let now = self.now;
        host.set_timer(WINDOW * LOOK, Timer::Evaluate.token());
        self.gate.seen.forget(now - WINDOW * KEPT_WINDOWS);
        self.gate.sums.forget(now - WINDOW);
        if let Some((build, _, standing, ..)) = self.gate.told {
            let drag = self.dragging().then(|| "the whole fleet slowed down".into());
            let bar = if self.gate.of_many() { CONVICT_OF_MANY } else { CONVICT };
            let wrong = (self.gate.record.odds >= bar).then(|| "answers reported wrong".into());
            let why = self.gate.judge(build, &self.fleet.nodes, now).or(wrong).or(drag);
            if let (true, Some(why)) = (standing.is_active() && self.gate.record.offered, why) {
                if now >= self.gate.record.back_until {
                    host.log(&format!("vote {build} back, {why}"));
                }
                self.gate.record.back_until = now + WINDOW * LATELY;
            }
        }
        self.gate.vote(host, now);
        let fleet = &mut self.fleet;
        let queued = self.hits.forwards_out().filter(|f| fleet.nodes.rows[f.node].queues(f, now)).count();
        self.desk.waits.look(queued as f64, (WINDOW * LOOK).seconds());
        fleet.measure((WINDOW * LOOK).seconds(), LEARN, LEARN * LEARN);
        // Half again more or less traffic calls for another hand.
        let wanted = (fleet.rate * TOUCH.seconds()).max(LEAST_HAND as f64) / fleet.width.max(1) as f64;
        if !(1.0 / MARGIN..MARGIN).contains(&wanted) {
            fleet.deal();
        }
        self.use_room(host);
    }

    /// Does the fleet as a whole slow down in step with the newest build's traffic, and not for more work a
    /// node? That lifts e as well, and shedding keeps answers in time, so it doesn't show in the shares.
    fn dragging(&mut self) -> bool {
        let gate = &mut self.gate;
        let nodes = &self.fleet.nodes;
        let fit = |at: &&usize| !nodes.rows[**at].silent(self.now) && nodes.rows[**at].blame < BLAME;
        let fit = self.fleet.hand.iter().filter(fit).count() as f64 / self.fleet.hand.len().max(1) as f64;
        let load = self.fleet.rate * self.desk.work / (fit * nodes.ready().count() as f64).max(1.0);
        let span =
            if self.fleet.rate * (WINDOW * LATELY).seconds() < ENOUGH { WINDOW } else { WINDOW * LATELY };
        gate.answers.retain(|a| self.now - a.0 < span);
        let (met, newest) = (gate.answers.len() as f64, gate.newest());
        if met < ENOUGH / KEPT_WINDOWS {
            gate.record.course.clear();
            return false;
        }
        let pace = gate.quicker(QUICKER) / (1.0 - gate.shed).max(FLOOR);
        let mix = gate.answers.iter().filter(|a| Some(a.2) == newest).count() as f64 / met;
        gate.record.course.push_back((mix, pace, load));
        if gate.record.course.len() > (1.0 / LOOK) as usize {
            gate.record.course.pop_front();
        }
        let (before, was, at) = gate.record.course[0];
        let like = LIKE_LOAD + 2.0 / (self.fleet.rate * WINDOW.seconds()).max(1.0).sqrt();
        if gate.of_many() && like >= MARGIN {
            return false; // so little traffic does not tell a slower fleet from a busier one
        }
        let slow = mix > (before + FLOOR) * MARGIN && pace > was * MARGIN && load < at * like;
        gate.record.slow_looks = if slow { gate.record.slow_looks + 1 } else { 0 };
        gate.record.slow_looks
            >= if gate.ballot.votes_needed > VOTERS { SLOW_LOOKS * 3 / 4 } else { SLOW_LOOKS }
    }
}
