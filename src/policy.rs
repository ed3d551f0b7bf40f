//! All decisions of one marshal. A host owns one `Marshal` and calls one method per event: `on_list_*`,
//! `on_stage`, `on_platform_counts`, `on_hit`, `on_forward_completed`, `on_wrong_answer_report`,
//! `on_client_left`, `on_timer`, and those on discovery that `follow_discovery` names. The module answers through the trait `Host` of `host.rs`. State is in
//! `state.rs`, settings are in `settings.rs`.
//!
//! Ordinary path (the design): the build on trial gets hits up to its cap, the cheapest path groups first;
//! voters chosen by a hash compare its share of failed or late outcomes with the earlier build's, hold the
//! clock until they have seen enough outcomes, and vote back when the share is clearly exceeded.
//! docs/design.md says when the exceptions act.
//!
//! Comments refer by number to rules that a marshal must never break:
//! - Rule 2: no hit has its effect twice.
//! - Rule 4: no marshal overloads a cold node.
//! - Rule 5: forwards to a build on trial stay within the allowance plus the cap times the hits.
//!
//! Mechanisms beside the design:
//! 1. Room: token buckets for exposure and for cold nodes; hits without room are held, then bounced.
//! 2. Expected wait: a node is chosen by its latency estimate, its load, and its error score, which rises
//!    with failures and silence.
//! 3. Retries and hedged requests, where the path group permits them, under one budget.
//! 4. Load shedding: a hit that can't be answered in time is bounced at once, the least benefit first.
//! 5. Wrong answers: running log odds on clients' reports.
//! 6. Slowdown over time, of the newest build, or of the whole fleet in step with that build's traffic.

use crate::list_lease::{LeaseTerms, ListCallFailure, ListLease, WatchEnd};
use crate::outcomes::{OutcomeCounts, sum_all, sum_by_group};
use crate::{host::*, index::hash_pair, load_shedding::*, settings::*, state::*, time::Span, time::Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const WINDOW: Span = Span::millis(5_000); // of the outcomes by which a build is judged
// The next four define the gate; see the design page.
const SHARE_FLOOR: f64 = 0.05; // least expected share of bad outcomes
const EXCESS_COUNT: f64 = 3.0; // bad outcomes past the expected number
const EXCESS_RATIO: f64 = 1.5; // of the bad outcomes to the expected number
const MIN_OUTCOMES: f64 = 20.0;
/// Standard deviations by which a single path group must stand out; where many votes are needed, all path
/// groups together.
const EXCESS_SIGMAS: f64 = 2.0;
const HOLD_SPAN: Span = Span::millis(3_000); // from the start of a stage
const VOTERS_PER_VOTE: usize = 3;
const HOLDERS_PER_HOLD: f64 = 1.2; // holding marshals per hold needed, and calls in a round per vote needed
const KEPT_WINDOWS: f64 = 4.0; // evidence kept, for marshals whose traffic doesn't fill one window
const INTERVAL_WINDOWS: f64 = 1.0 / 20.0; // evaluation interval, and time resolution of the evidence
/// Share of the stated warm-up after a node's listed start in which its outcomes are ignored; late outcomes
/// are ignored for the whole warm-up.
const IGNORED_WARM_UP_SHARE: f64 = 0.2;
/// The latency ratio of the whole fleet is the 1/3 quantile of its recent answers, fastest first.
const LATENCY_QUANTILE_DIVISOR: usize = 3;
/// Span of the recent answers, if it holds enough of them, else a whole window; and how long a vote back is
/// wanted after its last reason.
const RECENT_WINDOWS: f64 = 0.4;
const COMPARABLE_LOAD_RATIO: f64 = 1.2; // ratio of work per node up to which answer times are compared
const SLOW_INTERVALS: u32 = 7; // in a row, until the fleet counts as slowed down
const MAX_SLOWDOWN: f64 = 2.0; // most that one answer counts, as a multiple of the usual time for like work
const RENEW_SHARE: f64 = 0.6; // of a vote's lifetime
const RENEW_SHARE_MANY_VOTES: f64 = 0.9; // each call that renews a vote is missing for another voter
const WRONG_ANSWER_LOG_ODDS: f64 = 6.9; // a thousand to one that reports of wrong answers are right
const WRONG_ANSWER_LOG_ODDS_MANY_VOTES: f64 = 1.0; // one report, until some 35 right answers follow
/// Rate of mistaken reports, relative to the reports of a build whose answers are wrong at `SHARE_FLOOR`.
const MISTAKEN_REPORT_RATIO: f64 = 1.0 / 4.0;

const OUTCOME_WEIGHT: f64 = 0.1; // of one outcome in a node's latency ratio
const KIND_WEIGHT: f64 = 0.4; // factor on that weight, for the latency ratio of the node's kind
const FAILURE_WEIGHT: f64 = 0.2; // of one failure in a node's error score
const ERROR_SCORE_DECAY: Span = Span::millis(3_000); // time constant, so that a node is tried again
/// Target latencies, for an error score of 1 or for each earlier forward of the hit to the node.
const ERROR_COST_TARGETS: f64 = 2.0;
const ERROR_COST_TARGETS_MUTATING: f64 = 6.0; // for a hit that can't run again
const SILENCE_WAITS: f64 = 5.0; // expected answer times without an answer that make a node silent
const LOSS_RUN_PROBABILITY: f64 = 0.01; // of a run of lost answers, below which the node is suspected
/// Of the mean cost of earlier nodes, up to which a node of the build on trial is preferred.
const TRIAL_PREFERENCE_RATIO: f64 = 1.2;
const MIN_WORK_RATIO: f64 = 0.2; // of the mean work: no hit counts as less
const COLD_LOAD_SHARE: f64 = 0.6; // of the multiple at which a cold node is overloaded
const MAX_TRIAL_NODE_SHARES: f64 = 4.0; // most that a warm node of a build on trial gets, in fair shares
const SUBSET_CONTACT_SPAN: Span = Span::millis(750); // within which each node of the subset should get a hit
const MIN_SUBSET_WIDTH: usize = 5; // nodes of a build and zone
const HEDGE_DELAY_WAITS: f64 = 3.5; // expected answer times until a hedged request
const HEDGE_DELAY_TARGET_SHARE: f64 = 0.6; // of the target latency, if that is sooner
const RETRY_BUDGET_PER_HIT: f64 = 0.15; // retries and hedged requests per hit received
/// The budget of this span's hits may be spent at once, when nodes are lost.
const RETRY_BURST_SPAN: Span = Span::millis(1_500);
const TENANT_BURST_HITS: f64 = 20.0; // within a tenant's share
const HEDGE_COST: f64 = 5.0; // in retries, as the first forward's work still runs
const MAX_HOLD_TARGET_SHARE: f64 = 0.1; // longest hold for room, of the target latency
/// Of the target latency: a hit that is sent again so soon after a bounce may still be answered in time.
const RETRY_AFTER_TARGET_SHARE: f64 = 0.2;

fn error_score_decay(elapsed: Span) -> f64 {
    (-elapsed.ratio_to(ERROR_SCORE_DECAY)).exp()
}

/// Retry-after for a bounced hit: short enough that a retry can be answered within the target latency, and
/// at most `longest`, the longest wait that clients obey.
pub fn retry_after(target: Span, longest: Span) -> Span {
    (target * RETRY_AFTER_TARGET_SHARE).min(longest)
}

impl HitHandling {
    /// Value of a hit for load shedding, 0 to 1: its benefit relative to the highest one, or 1 if
    /// `value_blind` and the benefit isn't zero; reduced past its tenant's share of this marshal's traffic.
    fn value(&mut self, group: usize, tenant: usize, value_blind: bool) -> f64 {
        let best = self.groups.iter().map(|g| g.benefit).fold(f64::MIN_POSITIVE, f64::max);
        let benefit = self.groups[group].benefit;
        let full = if value_blind && benefit > 0.0 { 1.0 } else { benefit / best };
        for (credit, share) in self.tenant_credits.iter_mut().zip(&self.tenancy.shares) {
            *credit = (*credit + share).min(TENANT_BURST_HITS);
        }
        let Some(credit) = self.tenant_credits.get_mut(tenant) else { return full };
        let within_share = *credit >= 1.0;
        *credit -= f64::from(within_share);
        if within_share { full } else { full * self.tenancy.over_share_factor }
    }

    /// Rule 2: may this hit be forwarded to a node with these attributes now?
    fn may_run(&self, hit: &Hit, attributes: NodeAttributes, now: Time) -> bool {
        if hit.forwards.len() >= self.limits.max_forwards || (hit.in_flight() && !self.limits.hedging) {
            return false;
        }
        let mut may_have_run = hit.forwards.iter().filter(|f| !f.never_ran());
        match self.groups[hit.group].effect {
            Effect::Repeatable => true,
            Effect::Mutating => may_have_run.next().is_none(),
            // One tick short: the forward takes effect when this batch is answered.
            Effect::Tagged { scope, dedup_window } => may_have_run.all(|f| {
                now + self.limits.tick < f.sent_at + dedup_window
                    && scope.same_group(f.attributes, attributes)
            }),
        }
    }

    /// Rule 2: may the client be told that a retry is harmless?
    fn may_bounce(&self, hit: &Hit) -> bool {
        match self.groups[hit.group].effect {
            Effect::Repeatable | Effect::Tagged { scope: DedupScope::All, .. } => true,
            _ => hit.forwards.iter().all(Forward::never_ran),
        }
    }
}

/// Rule 5 by this marshal's own count: a token bucket as deep as the allowance gets the cap as tokens for
/// each hit received, which bounds every window without keeping one. Buckets start at a hashed level: if
/// all were full from the start, many marshals together would overload the first node.
impl Exposure {
    /// No further answered key can be remembered.
    fn is_key_table_full(&self) -> bool {
        self.limits.sticky_keys && self.answered_keys.is_full()
    }

    fn bucket(&mut self, build: u16, group: usize) -> &mut f64 {
        let group = if self.limits.per_group { group } else { 0 };
        let (salt, depth) = (self.salt, self.limits.allowance);
        let initial =
            || hash_pair(salt, hash_pair(u64::from(build), group as u64)) as f64 / u64::MAX as f64 * depth;
        self.buckets.entry((build, group)).or_insert_with(initial)
    }

    /// Adds the tokens of one hit of `group`; `cap` gives the cap of a build, if it is on trial.
    fn refill(&mut self, group: usize, cap: impl Fn(u16) -> Option<f64>) {
        let group = if self.limits.per_group { group } else { 0 };
        for (&(build, bucket_group), bucket) in &mut self.buckets {
            if bucket_group == group {
                *bucket = (*bucket + cap(build).unwrap_or(0.0)).min(self.limits.allowance);
            }
        }
    }
}

impl ReleaseGate {
    fn newest(&self) -> Option<u16> {
        self.announced.map(|a| a.0)
    }

    /// Stage and cap of a build on trial for this marshal; unannounced builds are in stage 0.
    fn trial(&self, build: u16) -> Option<(u8, f64)> {
        match self.announced {
            Some((newest, stage, status, cap, _)) if newest == build => {
                (status != BuildStatus::Released).then_some((stage, cap))
            }
            Some((newest, ..)) => (build > newest).then_some((0, self.first_stage_cap)),
            None => None,
        }
    }

    /// How many marshals have a lower hash than this one for a build and stage.
    fn rank(&self, build: u16, stage: u8) -> usize {
        let draw = |marshal: usize| hash_pair(u64::from(build) << 8 | u64::from(stage), marshal as u64);
        let own_draw = draw(self.voting.marshal_index);
        (0..self.voting.marshal_count).filter(|marshal| draw(*marshal) < own_draw).count()
    }

    /// Number of voters for a build and stage, three for each vote needed. They are the marshals with the
    /// lowest hashes, which all marshals compute alike.
    fn voter_count(&self) -> usize {
        (VOTERS_PER_VOTE * self.voting.votes_needed.max(1)).min(self.voting.marshal_count.max(1))
    }

    /// So many votes are needed that together they tell a bad build from chance: each marshal then votes on
    /// what is unlikely by chance alone (one in ten or less), where a single vote would need certainty. With
    /// 20 of 80 needed, 8 are expected by chance, and 20 are over four standard deviations off.
    /// Limitation: a fault that strikes all marshals, and the new build's nodes more than others, without
    /// being the build's, can send the build back.
    fn needs_many_votes(&self) -> bool {
        self.voting.votes_needed as f64 >= MIN_OUTCOMES
    }

    /// Is the expected number of bad outcomes clearly exceeded: by 3 and by half again, as if at least 20
    /// outcomes were in, the missing ones good? Where many votes are needed: by two standard deviations,
    /// three for a single path group, and by half again, with no outcomes filled in. Rows are, by path group:
    /// the counts of outcomes, the expected share of bad ones, and the number of outcomes of earlier builds
    /// behind that expectation. `kept_share` is the share of the build's nodes that the counts cover; the 3
    /// and the 20 shrink with it.
    fn exceeds(rows: &[(OutcomeCounts, f64, f64)], kept_share: f64, many_votes: bool) -> bool {
        // All path groups together, then each by itself.
        std::iter::once(rows).chain(rows.chunks(1)).any(|part| {
            let sum = |of: fn(&(OutcomeCounts, f64, f64)) -> f64| part.iter().map(of).sum::<f64>();
            let (total, bad, expected) = (sum(|r| r.0.total), sum(|r| r.0.bad), sum(|r| r.0.total * r.1));
            let fill_factor =
                if many_votes { 1.0 } else { (MIN_OUTCOMES * kept_share / total.max(1.0)).max(1.0) };
            let predicted = expected * fill_factor;
            // Judging many path groups at every interval multiplies the error of a single test, most of all
            // where the earlier build drains and few outcomes give the expectation: a single path group must
            // exceed chance, including the chance in its expectation.
            // Limitation: a build that fails one expensive path group a little is detected late.
            let variance = predicted * (1.0 + total / sum(|r| r.2).max(MIN_OUTCOMES));
            let min_excess = match (many_votes, part.len() < rows.len()) {
                (true, single) => EXCESS_SIGMAS * if single { EXCESS_RATIO } else { 1.0 } * variance.sqrt(),
                (false, true) => (EXCESS_COUNT * kept_share).max(EXCESS_SIGMAS * variance.sqrt()),
                (false, false) => EXCESS_COUNT * kept_share,
            };
            total > 0.0 && bad >= predicted + min_excess && bad >= predicted * EXCESS_RATIO
        })
    }

    /// Does the build fail clearly more than the earlier ones, or is it clearly slower? Returns the reason
    /// if so.
    fn judge(&mut self, build: u16, nodes: &Nodes, now: Time) -> Option<String> {
        // With little traffic, evidence may be older; for the earlier builds as for the build on trial.
        let (from, older) = (now - WINDOW, now - WINDOW * KEPT_WINDOWS);
        let groups = self.expected_bad_shares.len();
        let mut build_by_node = self.own_counts.by_source(from, groups, |b| b == build);
        let mut earlier_by_node = self.own_counts.by_source(from, groups, |b| b < build);
        let (recent_total, earlier_recent) = (sum_all(&build_by_node).total, sum_all(&earlier_by_node));
        if recent_total < MIN_OUTCOMES {
            build_by_node = self.own_counts.by_source(older, groups, |b| b == build);
        }
        if earlier_recent.total < MIN_OUTCOMES {
            earlier_by_node = self.own_counts.by_source(older, groups, |b| b < build);
        }
        let earlier_sum = sum_all(&earlier_by_node);
        // With no earlier node left, the expectation is out of date, and going back may leave no node to
        // send to.
        if earlier_sum.total < MIN_OUTCOMES || earlier_recent.total < MIN_OUTCOMES / KEPT_WINDOWS {
            return None;
        }
        // Missing outcomes of a path group are filled in at the share of all groups, kept or recent,
        // whichever is higher: with a fixed floor that light traffic never replaces, the build would be
        // judged bad for faults that strike every build.
        let fill_share = earlier_sum.bad_share().max(earlier_recent.bad_share());
        let (many_votes, floor) = (
            self.needs_many_votes(),
            if self.needs_many_votes() { SHARE_FLOOR / VOTERS_PER_VOTE as f64 } else { SHARE_FLOOR },
        );
        let baseline = sum_by_group(&earlier_by_node, groups);
        for (expected, counts) in self.expected_bad_shares.iter_mut().zip(&baseline) {
            let missing = (MIN_OUTCOMES - counts.total).max(0.0);
            *expected = ((counts.bad + missing * fill_share) / (counts.total + missing)).max(floor);
        }
        // Unhealthy nodes are not the build's fault: it must fail clearly without its worst third of nodes,
        // or without one more than look unhealthy elsewhere, whichever are more.
        let is_unhealthy =
            |n: &&Node| n.build != build && n.error_score >= FAILURE_WEIGHT && !n.is_silent(now);
        let unhealthy = nodes.ready().filter(is_unhealthy).count();
        let usual_exclusion = (1 + unhealthy).max(build_by_node.len().div_ceil(3));
        // Where many votes are needed, each marshal sends to few nodes of the build: of those it excludes
        // the part that looks unhealthy elsewhere.
        let proportional = (unhealthy * build_by_node.len()).div_ceil(earlier_by_node.len().max(1));
        let excluded = if many_votes { proportional } else { usual_exclusion }.min(build_by_node.len());
        let discounted = if self.voting.votes_needed > VOTERS_PER_VOTE { excluded } else { 0 };
        let kept_share = 1.0 - discounted as f64 / build_by_node.len().max(1) as f64;
        let rows = |counts: Vec<OutcomeCounts>, shares: &[f64], baseline: &[OutcomeCounts]| {
            let expected = std::iter::zip(shares, baseline).map(|(share, known)| (*share, known.total));
            std::iter::zip(counts, expected).map(|(c, (share, known))| (c, share, known)).collect::<Vec<_>>()
        };
        let all_rows = rows(sum_by_group(&build_by_node, groups), &self.expected_bad_shares, &baseline);
        let mut worst_first = build_by_node.clone();
        worst_first.sort_by(|a, b| OutcomeCounts::sum(&b.1).bad.total_cmp(&OutcomeCounts::sum(&a.1).bad));
        let kept = sum_by_group(&worst_first[excluded..], groups);
        let kept_failures = kept.iter().map(|c| c.failures_only()).collect();
        let kept_rows = rows(kept, &self.expected_bad_shares, &baseline);
        // Lateness that strikes all builds raises the expected share and would hide the failures of one:
        // failures are tested separately too.
        let failure_share = earlier_sum.failures_only().bad_share();
        let expected_failure_shares = baseline.iter().map(|known| {
            (known.failed + (MIN_OUTCOMES - known.total).max(0.0) * failure_share)
                / known.total.max(MIN_OUTCOMES)
        });
        let failure_rows = rows(
            kept_failures,
            &expected_failure_shares.map(|share| share.max(floor)).collect::<Vec<_>>(),
            &baseline,
        );
        let exceeded = (Self::exceeds(&all_rows, 1.0, many_votes)
            && Self::exceeds(&kept_rows, kept_share, many_votes))
            || (many_votes && Self::exceeds(&failure_rows, kept_share, many_votes));
        // With few own outcomes, the platform's counts decide if any own outcome is bad as well.
        let platform = |of: &dyn Fn(u16) -> bool| {
            sum_by_group(&self.platform_counts.by_source(from, groups, of), groups)
        };
        let platform_exceeded = || {
            let before = platform(&|b| b < build);
            let shares: Vec<f64> = before.iter().map(|c| c.bad_share().max(SHARE_FLOOR)).collect();
            Self::exceeds(&rows(platform(&|b| b == build), &shares, &before), 1.0, false)
        };
        if exceeded
            || (recent_total < MIN_OUTCOMES && sum_all(&build_by_node).bad > 0.0 && platform_exceeded())
        {
            let shown: String = all_rows
                .iter()
                .map(|(c, share, known)| {
                    format!(
                        " {}/{} bad, expected share {share:.2} from {known} earlier outcomes;",
                        c.bad, c.total
                    )
                })
                .collect();
            return Some(format!("failing, by path group:{shown}"));
        }
        // A build may be slow within the target latency: half again as long for like work at like load.
        build_by_node.sort_by(|a, b| {
            OutcomeCounts::sum(&b.1).mean_slowdown().total_cmp(&OutcomeCounts::sum(&a.1).mean_slowdown())
        });
        let (kept_total, usual) = (
            sum_all(&build_by_node[excluded..]),
            earlier_sum.mean_slowdown().max(earlier_recent.mean_slowdown()),
        );
        let comparable_load = sum_all(&build_by_node).total * earlier_by_node.len() as f64
            <= COMPARABLE_LOAD_RATIO * earlier_sum.total * build_by_node.len() as f64;
        let slow = comparable_load
            && kept_total.timed >= MIN_OUTCOMES / 2.0
            && kept_total.mean_slowdown() >= EXCESS_RATIO * usual;
        slow.then(|| {
            format!("slow: mean slowdown {:.2}, of earlier builds {usual:.2}", kept_total.mean_slowdown())
        })
    }

    /// May a vote back be cast now? Where more votes must stand at once than the platform takes calls in a
    /// vote's lifetime, marshals that vote at any time would never reach the number needed. The platform
    /// accumulates calls that nobody makes (32 were taken at once where it takes 16 a second), so all
    /// marshals vote back in one turn and pause until the next, by the stage's age, which all know. Holds at
    /// the beginning of a stage come first. Limitation: a bad build stays for one pause longer.
    fn in_turn(&self, status: BuildStatus, stage_age: Span) -> bool {
        let VotingRules { votes_needed, vote_lifetime, calls_per_s, .. } = self.voting;
        let (turn, round_seconds) = (
            vote_lifetime * RENEW_SHARE_MANY_VOTES,
            votes_needed as f64 * HOLDERS_PER_HOLD / calls_per_s.max(1.0),
        );
        let begin = if status == BuildStatus::OnTrial { HOLD_SPAN } else { Span::ZERO };
        let seconds_into_round = (stage_age - begin).seconds().rem_euclid(round_seconds);
        !self.needs_many_votes()
            || round_seconds <= turn.seconds()
            || (stage_age >= begin && seconds_into_round < turn.seconds())
    }

    /// The vote that should stand now: build, stage and verdict.
    fn wanted_vote(&self, enough_outcomes: bool, now: Time) -> (u16, u8, Verdict) {
        let lifetime = self.voting.vote_lifetime;
        let Some((build, stage, status, _, since)) = self.announced else { return (0, 0, Verdict::None) };
        let (by_clock, age) = (self.voting.control == StageControl::Clock, now - since);
        // Few more than needed hold, so that the platform can take their withdrawals in time.
        let is_holder = (self.record.voter_rank as f64)
            < (self.voting.holds_needed as f64 * HOLDERS_PER_HOLD).max(VOTERS_PER_VOTE as f64);
        let verdict = match status {
            // A stage that advances draws other voters; a marshal that votes back stays a voter.
            _ if self.record.voter_rank >= self.voter_count() && self.last_vote.2 != Verdict::Back => {
                Verdict::None
            }
            // A hold lapses by itself, which leaves the calls to the other marshals' votes.
            _ if self.needs_many_votes()
                && self.last_vote == (build, stage, Verdict::Hold)
                && now - self.vote_cast_at < lifetime =>
            {
                Verdict::Hold
            }
            _ if status.is_active() && now < self.record.vote_back_until && self.in_turn(status, age) => {
                Verdict::Back
            }
            BuildStatus::OnTrial if by_clock && !enough_outcomes && age < HOLD_SPAN && is_holder => {
                Verdict::Hold
            }
            BuildStatus::OnTrial if !by_clock && enough_outcomes && age >= HOLD_SPAN => Verdict::On,
            _ => Verdict::None,
        };
        (build, stage, verdict)
    }

    /// Casts, renews or withdraws the marshal's vote where the platform's call rate permits.
    fn update_vote(&mut self, host: &mut impl Host, now: Time) {
        let VotingRules { vote_lifetime, call_timeout, calls_per_s, .. } = self.voting;
        // Each voter keeps to its share of the calls that the platform takes.
        let mut min_gap = Span::from_seconds(self.voter_count() as f64 / calls_per_s.max(1.0));
        let (since_cast, mut renew_after) = (now - self.vote_cast_at, vote_lifetime * RENEW_SHARE);
        self.vote_pending &= since_cast <= call_timeout * 1.5;
        let wanted = self.wanted_vote(self.record.stage_outcomes >= MIN_OUTCOMES, now);
        let none = wanted.2 == Verdict::None;
        if since_cast >= vote_lifetime && none {
            self.last_vote.2 = Verdict::None; // it lapsed by itself: a withdrawal would cost a call
        }
        if self.needs_many_votes() && self.voting.control == StageControl::Clock {
            // With gaps that long, votes would lapse before enough stand. A marshal that the platform turns
            // away retries soon, with jitter; one whose vote stands leaves the calls to the others.
            let jitter = hash_pair(self.voting.marshal_index as u64, (self.vote_cast_at - EPOCH).as_nanos())
                as f64
                / u64::MAX as f64;
            min_gap = min_gap * ((0.5 + jitter) / (VOTERS_PER_VOTE * VOTERS_PER_VOTE) as f64);
            renew_after =
                vote_lifetime * if wanted.2 == Verdict::Hold { 1.0 } else { RENEW_SHARE_MANY_VOTES };
            if none {
                return;
            }
        }
        let same = self.last_vote == wanted || (none && self.last_vote.2 == Verdict::None);
        if self.vote_pending || since_cast < min_gap || (same && (none || since_cast < renew_after)) {
            return;
        }
        host.vote(wanted.0, wanted.1, wanted.2);
        (self.last_vote, self.vote_cast_at, self.vote_pending) = (wanted, now, true);
    }
}

impl Fleet {
    /// Share of its capacity that a node is sure to have: 1 when warm.
    fn warm_share(&self, node: &Node, now: Time) -> f64 {
        let age = node.age(now).ratio_to(self.warm_up.duration);
        (self.warm_up.initial_share + (1.0 - self.warm_up.initial_share) * age).min(1.0)
    }

    /// Selects the subset of nodes in use: of each build and zone those with the lowest hashes of the node's
    /// id and this marshal's number, as many as its traffic can keep in touch with. Assigns each its fair
    /// share of the hits.
    fn select_subset(&mut self) {
        let width = ((self.hit_rate * SUBSET_CONTACT_SPAN.seconds()) as usize).max(MIN_SUBSET_WIDTH);
        let ranked = self.nodes.ranked(self.list_settings.marshal_index);
        // Where a new build's nodes run in parallel to the earlier ones, either can carry the whole traffic.
        let count_of_build =
            |build| ranked.iter().filter(|(k, _)| k.0 == build).map(|(_, v)| v.len()).sum::<usize>();
        let largest = ranked.keys().map(|k| count_of_build(k.0)).max().unwrap_or(0);
        let capacity =
            if self.list_settings.parallel_layout { largest } else { ranked.values().map(Vec::len).sum() };
        self.subset.clear();
        let mut ring_start = 0.0;
        for candidates in ranked.values() {
            let used = candidates.len().min(width);
            for at in &candidates[..used] {
                let share = candidates.len() as f64 / (used * capacity) as f64;
                (self.nodes.rows[*at].traffic_share, self.nodes.rows[*at].ring_start) = (share, ring_start);
                ring_start += share;
                self.subset.push(*at);
            }
        }
        self.subset_width = width;
    }

    /// Rule 4: a cold node accepts a hit only if the hit's random point on a ring falls into the node's share
    /// of the ring, taken a multiple of times; so does a warm node of a build on trial. The points of any
    /// number of marshals add up to the same load, where whole credits for each marshal would make a burst.
    fn accepts(
        &self, node: &Node, hit: &Hit, on_trial: bool, mean_work_seconds: f64, shed_share: f64, now: Time,
    ) -> bool {
        let (warm_share, surge) =
            (self.warm_share(node, now), (self.hit_rate / self.long_run_hit_rate).max(1.0));
        let multiple = match (warm_share < 1.0, on_trial) {
            // No retries: where all nodes are cold, a failed hit's point would lead to the same node each
            // time.
            (true, _) if !hit.forwards.is_empty() => 0.0,
            (true, _) => {
                self.warm_up.overload_multiple
                    * COLD_LOAD_SHARE
                    * warm_share
                    * (1.0 - shed_share)
                    * mean_work_seconds
                    / hit.work_seconds
                    / surge
            }
            (false, true) => MAX_TRIAL_NODE_SHARES,
            (false, false) => return true,
        };
        (hit.ring_point - node.ring_start).rem_euclid(1.0) < multiple * node.traffic_share
    }

    /// Expected seconds to an answer, a cost in seconds to rank nodes by, and an error score from 0 to 1, for
    /// failures or for silence. The cost counts the open forwards in full once more, so that a busy node is
    /// avoided before it slows down.
    fn estimate(&self, node: &Node, work_seconds: f64, now: Time) -> (f64, f64, f64) {
        let trust = error_score_decay(now - node.latency_updated_at);
        let usual = self.kind_latency_ratios[usize::from(node.attributes.kind)];
        let latency_ratio = usual + (node.latency_ratio - usual) * trust;
        let load = f64::from(node.open_forwards) + 1.0;
        let wait = work_seconds * latency_ratio * (load / (node.usual_load + 1.0)).max(1.0);
        let error_score = node.error_score * error_score_decay(now - node.error_score_updated_at);
        (wait, work_seconds * latency_ratio * load, if node.is_silent(now) { 1.0 } else { error_score })
    }
}

/// The decision state of one marshal.
pub struct Marshal {
    handling: HitHandling,
    exposure: Exposure,
    gate: ReleaseGate,
    fleet: Fleet,
    hits: Hits,
    /// Ids of hits that wait for room.
    waiting: Vec<u32>,
    rng: Pcg64Mcg,
    now: Time,
}

impl Marshal {
    /// Creates a marshal, subscribes to the node list where it answers only on request, and sets the first
    /// evaluation timer. The same seed and events lead to the same calls.
    pub fn new(
        host: &mut impl Host, now: Time, seed: u64,
        (groups, tenancy, limits): (Vec<PathGroup>, Tenancy, SiteLimits), exposure_limits: ExposureLimits,
        voting: VotingRules, (list_settings, warm_up): (NodeListSettings, WarmUp),
    ) -> Self {
        if list_settings.on_request {
            host.watch(true);
        }
        host.set_timer(WINDOW * INTERVAL_WINDOWS, Timer::Evaluate.token());
        let first_stage_cap = exposure_limits.stage_caps.first().copied().unwrap_or(0.0);
        let shedder = LoadShedder::new(&groups);
        let mean_work_seconds = groups.first().map_or(1.0, |_| shedder.usual_seconds(0));
        let (expected_bad_shares, tenant_credits) =
            (vec![SHARE_FLOOR; groups.len()], vec![1.0; tenancy.shares.len()]);
        Marshal {
            handling: HitHandling {
                groups,
                tenancy,
                limits,
                shedder,
                tenant_credits,
                retry_budget: HEDGE_COST,
                mean_work_seconds,
            },
            gate: ReleaseGate { voting, first_stage_cap, expected_bad_shares, ..ReleaseGate::default() },
            fleet: Fleet {
                list_settings,
                warm_up,
                list_lease: ListLease::new(LeaseTerms::new(&list_settings)),
                ..Fleet::default()
            },
            exposure: Exposure { limits: exposure_limits, salt: seed, ..Exposure::default() },
            hits: Hits::default(),
            waiting: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
        }
    }

    /// A node list begins; its entries follow by `on_list_entry`.
    pub fn on_list_begin(&mut self, now: Time, update: ListUpdate) {
        self.now = now;
        self.fleet.nodes.begin_list(update != ListUpdate::Delta);
        self.fleet.list_lease.reset_retry_delay();
    }

    /// An entry of the list; `started_at` is when the node's process started, `EPOCH` for long ago.
    pub fn on_list_entry(
        &mut self, id: u64, attributes: NodeAttributes, readiness: Readiness, build: u16, started_at: Time,
    ) {
        let latency_ratio = self.fleet.kind_latency_ratio(attributes.kind);
        self.fleet
            .nodes
            .update_entry(Node { latency_ratio, ..Node::new(id, attributes, readiness, build, started_at) });
    }

    /// The list is complete: what a full one left out is gone.
    pub fn on_list_end(&mut self, host: &mut impl Host) {
        self.fleet.nodes.end_list();
        self.fleet.select_subset();
        self.dispatch_waiting(host);
    }

    /// A request for the list failed, or the subscription was dropped: retry with exponential backoff and
    /// jitter. For hosts that follow discovery by calls of their own, see `follow_discovery`.
    pub fn on_list_failed(&mut self, host: &mut impl Host, now: Time) {
        self.now = now;
        let delay = self.fleet.list_lease.draw_retry_delay(&mut self.rng);
        host.set_timer(delay, Timer::RequestList.token());
    }

    /// The host follows discovery by calls from now on, whose ends it reports by `on_list_confirmed`,
    /// `on_list_call_failed`, `on_list_call_overdue`, `on_discovery_unreachable` and `on_watch_ended`. The list held is used only as long
    /// as its lease lasts.
    pub fn follow_discovery(&mut self, host: &mut impl Host, now: Time) {
        self.now = now;
        self.fleet.list_lease.start(now);
        match self.fleet.list_settings.on_request {
            // Called at the creation of the marshal.
            true => self.fleet.list_lease.record_call(now),
            false => self.call_discovery(host),
        }
    }

    /// A call delivered a list, or the word that the list held is current, and goes on as a watch.
    pub fn on_list_confirmed(&mut self, host: &mut impl Host, now: Time) {
        self.now = now;
        self.fleet.list_lease.record_list();
        self.dispatch_waiting(host);
    }

    /// The call to discovery that began at `started_at` failed.
    pub fn on_list_call_failed(
        &mut self, host: &mut impl Host, now: Time, started_at: Time, failure: ListCallFailure,
    ) {
        self.now = now;
        let lease = &mut self.fleet.list_lease;
        let delay = lease.record_call_failure(now, started_at, failure, &mut self.rng);
        host.set_timer(delay, Timer::RequestList.token());
        self.dispatch_waiting(host);
    }

    /// The call to discovery has waited for its answer for long; it goes on waiting.
    pub fn on_list_call_overdue(&mut self, host: &mut impl Host, now: Time) {
        self.now = now;
        let delay = self.fleet.list_lease.record_call_overdue(now, &mut self.rng);
        host.set_timer(delay, Timer::RequestList.token());
    }

    /// An attempt of the running call to connect to discovery, begun at `started_at`, has not come up in time.
    pub fn on_discovery_unreachable(&mut self, host: &mut impl Host, now: Time, started_at: Time) {
        self.now = now;
        self.fleet.list_lease.record_unreachable(started_at, &mut self.rng);
        self.dispatch_waiting(host);
    }

    /// The watch that delivered the list ended.
    pub fn on_watch_ended(&mut self, host: &mut impl Host, now: Time, end: WatchEnd) {
        self.now = now;
        let delay = self.fleet.list_lease.record_watch_end(now, end, &mut self.rng);
        host.set_timer(delay, Timer::RequestList.token());
    }

    /// The address of discovery has changed: it is called anew.
    pub fn on_discovery_moved(&mut self, host: &mut impl Host, now: Time) {
        self.now = now;
        self.fleet.list_lease.record_move(now);
        self.call_discovery(host);
    }

    /// May forwards be sent by the list held?
    pub fn is_list_usable(&self, now: Time) -> bool {
        self.fleet.list_lease.is_valid(now)
    }

    fn call_discovery(&mut self, host: &mut impl Host) {
        self.fleet.list_lease.record_call(self.now);
        host.watch(true);
    }

    /// The platform reported the state of the newest build; `age` is how long the stage has lasted. `reply`
    /// is how the call of this marshal's vote ended, if the report answers one.
    pub fn on_stage(
        &mut self, host: &mut impl Host, now: Time, (build, stage): (u16, u8), status: BuildStatus, cap: f64,
        age: Span, reply: Option<ForwardOutcome>,
    ) {
        self.now = now;
        let gate = &mut self.gate;
        gate.vote_pending &= reply.is_none();
        match reply {
            // An unanswered vote may stand: it stays recorded, and is cast again while wanted.
            Some(ForwardOutcome::TimedOut) => gate.vote_cast_at = now - gate.voting.vote_lifetime,
            Some(ForwardOutcome::Ok) | None => {
                let before = gate.announced.map(|a| (a.0, a.1));
                let new_build = before.is_none_or(|b| b.0 != build);
                if new_build {
                    gate.record = BuildRecord::default();
                    self.exposure.buckets.retain(|(of, _), _| *of >= build);
                }
                if !status.is_active() {
                    self.exposure.answered_keys.forget_withdrawn(build);
                } else if new_build && let Some((previous, _)) = before {
                    self.exposure.answered_keys.forget_before(previous.min(build));
                }
                if before != Some((build, stage)) {
                    gate.record.stage_outcomes = 0.0;
                    gate.record.voter_rank = gate.rank(build, stage);
                }
                gate.record.seen_on_trial |= status == BuildStatus::OnTrial;
                gate.announced = Some((build, stage, status, cap, now - age));
            }
            _ => gate.last_vote.2 = Verdict::None,
        }
        self.gate.update_vote(host, now);
        self.dispatch_waiting(host);
    }

    /// The platform's counts over all marshals, of outcomes in total and bad ones. They arrive seconds late
    /// and only help marshals whose own outcomes are few.
    pub fn on_platform_counts(&mut self, now: Time, (build, group): (u16, usize), (total, bad): (u32, u32)) {
        self.now = now;
        let counts =
            OutcomeCounts { total: f64::from(total), bad: f64::from(bad), ..OutcomeCounts::default() };
        if group < self.handling.groups.len() {
            self.gate.platform_counts.record(build, group, 0, now, WINDOW * INTERVAL_WINDOWS, counts);
        }
    }

    /// A client reported a wrong answer of a node; `age` is how long ago the answer was given. Ignored unless
    /// it came from the node's present process and from the newest build.
    pub fn on_wrong_answer_report(&mut self, now: Time, node: u64, _group: usize, age: Span) {
        self.now = now;
        let node = self.fleet.nodes.index.get(node).map(|at| &self.fleet.nodes.rows[at]);
        if node.is_some_and(|n| now - age >= n.started_at && Some(n.build) == self.gate.newest()) {
            self.gate.record.wrong_answer_log_odds -= MISTAKEN_REPORT_RATIO.ln();
        }
    }

    /// A client sent a hit. `patience` is how long the client waits for the answer; `work` is a hint of the
    /// processing time.
    pub fn on_hit(
        &mut self, host: &mut impl Host, now: Time, id: u32, (group, tenant): (usize, usize), key: u64,
        patience: Span, work: Option<Span>,
    ) {
        self.now = now;
        if group >= self.handling.groups.len() {
            return;
        }
        let value_blind = self.rng.random_bool(VALUE_BLIND_SHARE);
        let value = self.handling.value(group, tenant, value_blind);
        let work_seconds = work.map_or(self.handling.shedder.usual_seconds(group), Span::seconds);
        self.handling.mean_work_seconds +=
            OUTCOME_WEIGHT * OUTCOME_WEIGHT * (work_seconds - self.handling.mean_work_seconds);
        // Hints are rough, and each answer has a fixed cost: no hit counts as next to no work.
        let work_seconds = work_seconds.max(self.handling.mean_work_seconds * MIN_WORK_RATIO);
        let deadline = now + (patience - self.handling.limits.tick * 2.0);
        let ring_point = self.rng.random_range(0.0..1.0);
        let slot = self.hits.insert(Hit::new(id, group, key, now, deadline, work_seconds, value, ring_point));
        host.set_timer(deadline - now, Timer::Deadline(id).token());
        // The burst too is in proportion to this marshal's traffic: fixed ones of many marshals would
        // together overload the fleet.
        let burst = (RETRY_BUDGET_PER_HIT * self.fleet.hit_rate * RETRY_BURST_SPAN.seconds()).max(HEDGE_COST);
        self.handling.retry_budget =
            (self.handling.retry_budget + RETRY_BUDGET_PER_HIT + self.fleet.lost_answer_share).min(burst);
        self.fleet.interval_hits += 1.0;
        self.handling.shedder.record_hit(group);
        self.exposure.refill(group, |build| self.gate.trial(build).map(|t| t.1));
        self.waiting.push(id);
        self.dispatch_waiting(host);
        let shed = self.hits[slot].state.is_final();
        self.gate.shed_share += OUTCOME_WEIGHT * OUTCOME_WEIGHT * (f64::from(shed) - self.gate.shed_share);
    }

    /// Has the newest build enough good outcomes for hits of this effect? Cheapest first: more expensive path
    /// groups follow as good outcomes come in, or as the build passes stages. Where many votes are needed,
    /// each marshal contributes its part of the evidence: an expensive path group that fails should be found
    /// while the cap is lowest. Limitation: a build that fails all expensive hits gets the first ones.
    fn has_proven(&self, effect: Effect) -> bool {
        let evidence = self.gate.record.net_good_outcomes
            + MIN_OUTCOMES * self.gate.announced.map_or(0.0, |a| f64::from(a.1));
        let enough = if self.gate.needs_many_votes() {
            MIN_OUTCOMES / self.gate.voting.votes_needed as f64
        } else {
            MIN_OUTCOMES
        };
        match effect {
            Effect::Repeatable => true,
            Effect::Tagged { .. } => evidence >= enough,
            Effect::Mutating => evidence >= enough * 2.0,
        }
    }

    /// Picks a node for a hit, if there is room: its index, the expected wait in seconds, and whether the
    /// forward is a probe of a node with a high error score.
    fn pick_node(&mut self, slot: usize, reason: ForwardReason) -> Option<(usize, f64, bool)> {
        let now = self.now;
        let hit = &self.hits[slot];
        let group = &self.handling.groups[hit.group];
        let error_cost =
            if group.effect == Effect::Mutating { ERROR_COST_TARGETS_MUTATING } else { ERROR_COST_TARGETS };
        let first = reason == ForwardReason::First;
        let may_probe = first && group.effect == Effect::Repeatable && self.handling.retry_budget >= 1.0;
        let answered_by = self.exposure.answered_keys.build_of(hit.key);
        let is_earlier = |n: &Node| Some(n.build) < self.gate.newest();
        let untracked_key = hit.key != 0 && answered_by.is_none() && self.exposure.is_key_table_full();
        let keep_earlier = untracked_key && self.fleet.nodes.ready().any(is_earlier);
        let target_seconds = group.target_latency.seconds();
        let list_settings = &self.fleet.list_settings;
        // Of the earlier builds and of the newest one: cost, node, wait, and cost to compare the two by.
        let mut best: [Option<(f64, usize, f64, f64)>; 2] = [None, None];
        let latency_weight = if self.gate.record.stage_outcomes < MIN_OUTCOMES { 0.0 } else { 1.0 };
        let (mut probe, mut earlier_cost_sum, mut earlier_count) = (None, 0.0, 0.0);
        let newest = self.gate.newest().filter(|_| self.gate.record.seen_on_trial);
        for &at in &self.fleet.subset {
            let node = &self.fleet.nodes.rows[at];
            if !self.handling.may_run(hit, node.attributes, now) {
                continue;
            }
            if answered_by.is_some_and(|build| node.build < build) {
                continue;
            }
            let trial = self.gate.trial(node.build);
            if let Some((stage, cap)) = trial {
                let closed =
                    stage < self.exposure.limits.repeatable_only_stages && group.effect != Effect::Repeatable;
                if closed || keep_earlier || cap <= 0.0 || *self.exposure.bucket(node.build, hit.group) < 1.0
                {
                    continue;
                }
            }
            if !self.fleet.accepts(
                node,
                hit,
                trial.is_some(),
                self.handling.mean_work_seconds,
                self.gate.shed_share,
                now,
            ) {
                continue;
            }
            let (wait, latency_cost, error_score) = self.fleet.estimate(node, hit.work_seconds, now);
            let attempts = hit.forwards.iter().filter(|f| f.node == at).count() as f64;
            let zone_cost =
                f64::from(node.attributes.zone != list_settings.zone) * list_settings.cross_zone_cost;
            let penalty = ((error_score + attempts) * error_cost + zone_cost) * target_seconds;
            let cost = latency_cost * self.rng.random_range(0.9..1.1) + penalty;
            // So that the gate gets its outcomes, hits that can run again ignore failures of the build on
            // trial, and its slowness until 20 outcomes of the stage are in.
            let ignores_errors = first && group.effect == Effect::Repeatable && error_score < 1.0;
            let trial_cost = if ignores_errors { latency_cost * latency_weight } else { cost };
            let side = usize::from(trial.is_some() || Some(node.build) == newest);
            if side == 0 {
                (earlier_cost_sum, earlier_count) = (earlier_cost_sum + cost, earlier_count + 1.0);
            }
            if best[side].is_none_or(|b| cost < b.0) {
                best[side] = Some((cost, at, wait, trial_cost));
            }
            // A node with a high error score is probed now and then, by a hit that can run again.
            if may_probe && error_score > 0.5 && now - node.probed_at >= ERROR_SCORE_DECAY * 0.5 {
                probe = Some((at, wait.min(target_seconds * HEDGE_DELAY_TARGET_SHARE)));
            }
        }
        if let Some((at, wait)) = probe {
            self.fleet.nodes.rows[at].probed_at = now;
            return Some((at, wait, true));
        }
        let prefer_trial = first && self.has_proven(group.effect) && now >= self.gate.record.vote_back_until;
        let choice = match (best[0], best[1]) {
            // Few new nodes accept a hit: they are compared with the mean earlier one, not the best of many.
            (Some(earlier), Some(newest))
                if !prefer_trial || newest.3 > earlier_cost_sum / earlier_count * TRIAL_PREFERENCE_RATIO =>
            {
                earlier
            }
            (earlier, newest) => newest.or(earlier)?,
        };
        Some((choice.1, choice.2, false))
    }

    /// Forwards a hit if there is room and it can be answered in time; else holds it, or gives it up.
    fn dispatch(&mut self, host: &mut impl Host, slot: usize, reason: ForwardReason) {
        let now = self.now;
        if self.fleet.list_lease.is_renewal_due(now) {
            self.call_discovery(host);
        }
        if !self.fleet.list_lease.is_valid(now) {
            return self.hold_until_list_is_usable(host, slot, reason);
        }
        let budget_cost = match reason {
            ForwardReason::First => 0.0,
            ForwardReason::Retry => 1.0,
            // Lower the likelier it is that the first forward's work is done and its answer was lost.
            ForwardReason::Hedge => {
                (HEDGE_COST * SHARE_FLOOR / self.fleet.lost_answer_share.max(SHARE_FLOOR)).max(1.0)
            }
        };
        let picked =
            if self.handling.retry_budget < budget_cost { None } else { self.pick_node(slot, reason) };
        let hit = &self.hits[slot];
        let (group, waited) = (&self.handling.groups[hit.group], now - hit.received_at);
        let Some((at, wait, probe)) = picked else {
            match reason {
                ForwardReason::Hedge => {}
                ForwardReason::Retry => self.give_up(host, slot, GiveUpReason::NoSecond),
                ForwardReason::First if waited >= group.target_latency * MAX_HOLD_TARGET_SHARE => {
                    self.give_up(host, slot, GiveUpReason::NoRoom)
                }
                ForwardReason::First => self.waiting.push(hit.id),
            }
            return;
        };
        // The wait of a mean hit there: an expensive one is not shed for its own work.
        let (expected, waited) =
            (wait / hit.work_seconds * self.handling.mean_work_seconds, waited.seconds());
        let shed_probability =
            self.handling.shedder.shed_probability((hit.group, hit.value), waited, expected);
        if hit.forwards.is_empty() && shed_probability > 0.0 && self.rng.random_bool(shed_probability) {
            return self.give_up(host, slot, GiveUpReason::TooLate);
        }
        self.handling.retry_budget -= budget_cost;
        let build = self.fleet.nodes.rows[at].build;
        if self.gate.trial(build).is_some() {
            *self.exposure.bucket(build, hit.group) -= 1.0;
        }
        // The higher the share of lost answers, the more in a row must be missing before the node is
        // suspected.
        let losses_in_a_row =
            LOSS_RUN_PROBABILITY.ln() / self.fleet.lost_answer_share.clamp(SHARE_FLOOR, 0.5).ln();
        let node = &mut self.fleet.nodes.rows[at];
        let node_load = node.record_sent(now);
        if f64::from(node.sent_since_heard) >= losses_in_a_row && node.silence_deadline == NEVER {
            node.silence_deadline = now + Span::from_seconds(wait * SILENCE_WAITS);
        }
        let (id, attributes, kind) = (node.id, node.attributes, usize::from(node.attributes.kind));
        let hit = &mut self.hits[slot];
        host.forward(hit.id, id, hit.deadline - now);
        if group.effect != Effect::Mutating && hit.forwards.len() + 1 < self.handling.limits.max_forwards {
            let hedge_delay =
                (wait * HEDGE_DELAY_WAITS).min(group.target_latency.seconds() * HEDGE_DELAY_TARGET_SHARE);
            let hedge_delay = hedge_delay.max(hit.work_seconds * self.fleet.kind_latency_ratios[kind]);
            host.set_timer(
                Span::from_seconds(hedge_delay),
                Timer::Hedge(hit.id, hit.forwards.len() as u8).token(),
            );
        }
        hit.forwards.push(Forward {
            node: at,
            attributes,
            build,
            sent_at: now,
            node_load,
            probe,
            outcome: None,
        });
        self.set_state(host, slot, HitState::Forwarded);
    }

    /// Holds a hit while the lease on the list has expired, for as long as a hit without room is held.
    fn hold_until_list_is_usable(&mut self, host: &mut impl Host, slot: usize, reason: ForwardReason) {
        let hit = &self.hits[slot];
        let max_hold = self.handling.groups[hit.group].target_latency * MAX_HOLD_TARGET_SHARE;
        let is_hold_over = self.now - hit.received_at >= max_hold;
        match reason {
            ForwardReason::Hedge => {}
            _ if is_hold_over => self.give_up(host, slot, GiveUpReason::ListUnconfirmed),
            _ => self.waiting.push(hit.id),
        }
    }

    /// The only place where a hit changes state: it reports final states to the host and cancels forwards
    /// that are still in flight.
    fn set_state(&mut self, host: &mut impl Host, slot: usize, to: HitState) {
        let hit = &mut self.hits[slot];
        if hit.state.is_final() {
            return;
        }
        hit.state = to;
        let retry_after_span =
            retry_after(self.handling.groups[hit.group].target_latency, self.handling.limits.max_retry_after);
        match to {
            HitState::Bounced => host.bounce(hit.id, retry_after_span),
            HitState::Errored => host.error(hit.id),
            _ => {}
        }
        if to.is_final() {
            let in_flight = hit.forwards.iter().enumerate().filter(|(_, f)| f.outcome.is_none());
            for (hop, _) in in_flight.filter(|_| self.handling.limits.cancellation) {
                host.cancel(hit.id, hop as u8);
            }
            self.hits.release(slot);
        }
    }

    fn give_up(&mut self, host: &mut impl Host, slot: usize, reason: GiveUpReason) {
        host.report_give_up(self.hits[slot].id, reason);
        let may_bounce = self.handling.may_bounce(&self.hits[slot]);
        self.set_state(host, slot, if may_bounce { HitState::Bounced } else { HitState::Errored });
    }

    /// Dispatches held hits, those of the highest value first: where room is short for long, they should not
    /// be the ones that are left over.
    fn dispatch_waiting(&mut self, host: &mut impl Host) {
        for slot in self.hits.waiting_by_value(std::mem::take(&mut self.waiting)) {
            self.dispatch(host, slot, ForwardReason::First);
        }
    }

    /// A forward ended. `last` says that the hit is done with and needs no further forward; `latency` is the
    /// time since the forward was sent.
    pub fn on_forward_completed(
        &mut self, host: &mut impl Host, now: Time, (id, hop): (u32, u8), outcome: ForwardOutcome,
        last: bool, latency: Span,
    ) {
        self.now = now;
        let Some(slot) = self.hits.slot_of(id) else { return };
        let hit = &mut self.hits[slot];
        let (group, work_seconds, key) = (hit.group, hit.work_seconds, hit.key);
        let Some(forward) = hit.forwards.get_mut(usize::from(hop)) else { return };
        forward.outcome = Some(outcome);
        let (forward, build) = (*forward, forward.build);
        self.record_evidence(&forward, group, outcome, latency, work_seconds);
        self.update_node(&forward, outcome, latency, work_seconds);
        if outcome == ForwardOutcome::Ok {
            let newest = self.gate.newest().filter(|newest| build >= *newest);
            if let Some(newest) = newest.filter(|_| self.exposure.limits.sticky_keys && key != 0) {
                self.exposure.answered_keys.record(key, build, newest);
            }
            self.handling.shedder.record_answer(group, latency.seconds());
            self.set_state(host, slot, HitState::Delivered);
        } else if last {
            self.set_state(host, slot, HitState::Closed);
        } else if !self.hits[slot].state.is_final() && !self.hits[slot].in_flight() {
            self.set_state(host, slot, HitState::Waiting);
            self.dispatch(host, slot, ForwardReason::Retry);
        }
        self.hits.release(slot);
        self.dispatch_waiting(host);
    }

    /// Updates the node's latency and error estimates from the end of a forward.
    fn update_node(&mut self, forward: &Forward, outcome: ForwardOutcome, latency: Span, work_seconds: f64) {
        let (now, fleet) = (self.now, &mut self.fleet);
        let node = &mut fleet.nodes.rows[forward.node];
        if !node.record_end(
            now,
            forward,
            matches!(outcome, ForwardOutcome::Ok | ForwardOutcome::Error | ForwardOutcome::Rejected),
        ) {
            return; // it was another process
        }
        let latency_ratio = latency.seconds() / work_seconds;
        // Where later forwards were answered, this answer was lost: that says nothing of the node's latency.
        let unanswered = matches!(outcome, ForwardOutcome::Cancelled | ForwardOutcome::TimedOut)
            && latency_ratio > node.latency_ratio;
        let answer_lost = unanswered && node.answered_sent_at > forward.sent_at;
        if answer_lost || matches!(outcome, ForwardOutcome::Ok | ForwardOutcome::Error) {
            self.handling.shedder.record_dequeued();
        }
        // By work, so that light hits, whose ratios scatter most, count least.
        let weight = OUTCOME_WEIGHT * (work_seconds / self.handling.mean_work_seconds).min(2.0);
        // A missing answer says little of the latency, as it may have been lost.
        let bound = if outcome == ForwardOutcome::Ok { 10.0 } else { 3.0 };
        if outcome == ForwardOutcome::Ok || (unanswered && !answer_lost) {
            node.latency_ratio +=
                weight * (latency_ratio.min(node.latency_ratio * bound) - node.latency_ratio);
            node.usual_load += OUTCOME_WEIGHT * (forward.node_load - node.usual_load);
            node.latency_updated_at = now;
        }
        if outcome == ForwardOutcome::Ok || answer_lost {
            fleet.lost_answer_share +=
                OUTCOME_WEIGHT.powi(2) * (f64::from(answer_lost) - fleet.lost_answer_share);
        }
        if outcome == ForwardOutcome::Ok {
            // Answers only: if missing ones counted, an idle fleet would look like a slow one.
            let usual = &mut fleet.kind_latency_ratios[usize::from(node.attributes.kind)];
            *usual += KIND_WEIGHT * weight * (latency_ratio.min(*usual * bound) - *usual);
        }
        let error_score = node.error_score * error_score_decay(now - node.error_score_updated_at);
        node.error_score = match outcome {
            ForwardOutcome::Ok => error_score * (1.0 - FAILURE_WEIGHT),
            ForwardOutcome::Unreached => 1.0,
            ForwardOutcome::Cancelled | ForwardOutcome::Unsent if !answer_lost => error_score,
            _ => error_score + FAILURE_WEIGHT * (1.0 - error_score),
        };
        node.error_score_updated_at = now;
    }

    /// Records what an outcome says of its build: the design's evidence. Ignored are probes, forwards that
    /// never ran or were cancelled in time, the first outcomes of a started node, late or missing answers
    /// while it is cold, and missing answers of a node that has not been heard since.
    fn record_evidence(
        &mut self, forward: &Forward, group: usize, outcome: ForwardOutcome, latency: Span, work_seconds: f64,
    ) {
        let Forward { node: at, build, sent_at, probe, .. } = *forward;
        let node = &self.fleet.nodes.rows[at];
        let younger_than = |share| node.age(sent_at) < self.fleet.warm_up.duration * share;
        let failed = matches!(outcome, ForwardOutcome::Error | ForwardOutcome::Reset);
        let late = !failed
            && (outcome == ForwardOutcome::TimedOut || latency > self.handling.groups[group].target_latency);
        let unanswered =
            matches!(outcome, ForwardOutcome::TimedOut | ForwardOutcome::Reset | ForwardOutcome::Cancelled);
        let uninformative =
            outcome.proves_never_run() || (unanswered && node.unanswered_since.is_some_and(|t| t <= sent_at));
        let early = younger_than(IGNORED_WARM_UP_SHARE) || (younger_than(1.0) && (late || unanswered));
        if node.build != build
            || probe
            || uninformative
            || early
            || (outcome == ForwardOutcome::Cancelled && !late)
        {
            return;
        }
        let latency_ratio = latency.seconds() / work_seconds;
        let timed = f64::from((late || outcome == ForwardOutcome::Ok) && !younger_than(1.0));
        let slowdown_sum = timed
            * (latency_ratio / self.fleet.kind_latency_ratios[usize::from(node.attributes.kind)])
                .min(MAX_SLOWDOWN);
        let counts = OutcomeCounts {
            total: 1.0,
            bad: f64::from(failed || late),
            failed: f64::from(failed),
            timed,
            slowdown_sum,
        };
        if timed > 0.0 {
            self.gate.recent_answers.push_back((self.now, latency_ratio, build));
        }
        self.gate.own_counts.record(build, group, at, self.now, WINDOW * INTERVAL_WINDOWS, counts);
        if Some(build) == self.gate.newest() {
            self.gate.record.stage_outcomes += 1.0;
            self.gate.record.net_good_outcomes += 1.0 - 2.0 * counts.bad;
            let unreported_log_odds =
                self.gate.voting.reported_share * SHARE_FLOOR * (1.0 - MISTAKEN_REPORT_RATIO);
            self.gate.record.wrong_answer_log_odds =
                (self.gate.record.wrong_answer_log_odds - unreported_log_odds).max(0.0);
        }
    }

    /// The client of a hit is gone.
    pub fn on_client_left(&mut self, host: &mut impl Host, now: Time, id: u32) {
        self.now = now;
        if let Some(slot) = self.hits.slot_of(id) {
            self.set_state(host, slot, HitState::Closed);
        }
    }

    /// A timer that was set by `Host::set_timer` fired.
    pub fn on_timer(&mut self, host: &mut impl Host, now: Time, token: u64) {
        self.now = now;
        match Timer::from(token) {
            Timer::Evaluate => self.evaluate(host),
            Timer::RequestList if self.fleet.list_lease.is_retry_due(now) => self.call_discovery(host),
            Timer::RequestList => {}
            Timer::Deadline(id) => {
                if let Some(slot) = self.hits.slot_of(id) {
                    self.give_up(host, slot, GiveUpReason::TimeUp);
                }
            }
            Timer::Hedge(id, hop) => {
                let Some(slot) = self.hits.slot_of(id) else { return };
                let hit = &self.hits[slot];
                let forward = hit.forwards.get(usize::from(hop)).filter(|_| !hit.state.is_final());
                let in_flight = forward.is_some_and(|f| f.outcome.is_none());
                if in_flight && self.handling.limits.hedging {
                    self.dispatch(host, slot, ForwardReason::Hedge);
                } else if in_flight && self.handling.limits.cancellation {
                    host.cancel(id, hop);
                }
            }
        }
    }

    /// Runs every evaluation interval, twenty times a window: judges the newest build, votes, updates the
    /// traffic rates and retries held hits.
    fn evaluate(&mut self, host: &mut impl Host) {
        let now = self.now;
        host.set_timer(WINDOW * INTERVAL_WINDOWS, Timer::Evaluate.token());
        self.gate.own_counts.drop_before(now - WINDOW * KEPT_WINDOWS);
        self.gate.platform_counts.drop_before(now - WINDOW);
        if let Some((build, _, status, ..)) = self.gate.announced {
            let slowdown = self
                .fleet_slows_with_build()
                .then(|| "the whole fleet slowed down as the build's share of the traffic grew".into());
            let threshold = if self.gate.needs_many_votes() {
                WRONG_ANSWER_LOG_ODDS_MANY_VOTES
            } else {
                WRONG_ANSWER_LOG_ODDS
            };
            let wrong_answers = (self.gate.record.wrong_answer_log_odds >= threshold)
                .then(|| "clients report wrong answers".into());
            let reason = self.gate.judge(build, &self.fleet.nodes, now).or(wrong_answers).or(slowdown);
            if let (true, Some(reason)) = (status.is_active() && self.gate.record.seen_on_trial, reason) {
                if now >= self.gate.record.vote_back_until {
                    host.log(&format!("vote {build} back, {reason}"));
                }
                self.gate.record.vote_back_until = now + WINDOW * RECENT_WINDOWS;
            }
        }
        self.gate.update_vote(host, now);
        let fleet = &mut self.fleet;
        let queued = self.hits.open_forwards().filter(|f| fleet.nodes.rows[f.node].is_queued(f, now)).count();
        self.handling.shedder.end_interval(queued as f64, (WINDOW * INTERVAL_WINDOWS).seconds());
        fleet.update_rates(
            (WINDOW * INTERVAL_WINDOWS).seconds(),
            OUTCOME_WEIGHT,
            OUTCOME_WEIGHT * OUTCOME_WEIGHT,
        );
        // Half again more or less traffic calls for another subset.
        let width_ratio = (fleet.hit_rate * SUBSET_CONTACT_SPAN.seconds()).max(MIN_SUBSET_WIDTH as f64)
            / fleet.subset_width.max(1) as f64;
        if !(1.0 / EXCESS_RATIO..EXCESS_RATIO).contains(&width_ratio) {
            fleet.select_subset();
        }
        self.dispatch_waiting(host);
    }

    /// Does the fleet as a whole slow down in step with the newest build's traffic, and not because of more
    /// work per node? That raises the expected share of bad outcomes as well, and load shedding keeps answers
    /// in time, so it doesn't show in the shares.
    fn fleet_slows_with_build(&mut self) -> bool {
        let gate = &mut self.gate;
        let nodes = &self.fleet.nodes;
        let is_healthy = |at: &&usize| {
            !nodes.rows[**at].is_silent(self.now) && nodes.rows[**at].error_score < FAILURE_WEIGHT
        };
        let healthy_share = self.fleet.subset.iter().filter(is_healthy).count() as f64
            / self.fleet.subset.len().max(1) as f64;
        let load = self.fleet.hit_rate * self.handling.mean_work_seconds
            / (healthy_share * nodes.ready().count() as f64).max(1.0);
        let span = if self.fleet.hit_rate * (WINDOW * RECENT_WINDOWS).seconds() < MIN_OUTCOMES {
            WINDOW
        } else {
            WINDOW * RECENT_WINDOWS
        };
        gate.recent_answers.retain(|a| self.now - a.0 < span);
        let (answer_count, newest) = (gate.recent_answers.len() as f64, gate.newest());
        if answer_count < MIN_OUTCOMES / KEPT_WINDOWS {
            gate.record.slowdown_history.clear();
            return false;
        }
        let latency_ratio =
            gate.latency_ratio_quantile(LATENCY_QUANTILE_DIVISOR) / (1.0 - gate.shed_share).max(SHARE_FLOOR);
        let newest_share =
            gate.recent_answers.iter().filter(|a| Some(a.2) == newest).count() as f64 / answer_count;
        gate.record.slowdown_history.push_back((newest_share, latency_ratio, load));
        if gate.record.slowdown_history.len() > (1.0 / INTERVAL_WINDOWS) as usize {
            gate.record.slowdown_history.pop_front();
        }
        let (share_before, latency_ratio_before, load_before) = gate.record.slowdown_history[0];
        let max_load_ratio =
            COMPARABLE_LOAD_RATIO + 2.0 / (self.fleet.hit_rate * WINDOW.seconds()).max(1.0).sqrt();
        if gate.needs_many_votes() && max_load_ratio >= EXCESS_RATIO {
            return false; // so little traffic does not tell a slower fleet from a busier one
        }
        let slow = newest_share > (share_before + SHARE_FLOOR) * EXCESS_RATIO
            && latency_ratio > latency_ratio_before * EXCESS_RATIO
            && load < load_before * max_load_ratio;
        gate.record.slow_intervals = if slow { gate.record.slow_intervals + 1 } else { 0 };
        gate.record.slow_intervals
            >= if gate.voting.votes_needed > VOTERS_PER_VOTE {
                SLOW_INTERVALS * 3 / 4
            } else {
                SLOW_INTERVALS
            }
    }
}
