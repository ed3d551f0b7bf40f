//! What the ledger promises, by chance sequences and short stories.

use proptest::prelude::*;
use rstest::rstest;
use stonescale::time::{Span, Time};
use stonescale_budget::buffer::LEAST;
use stonescale_budget::plan::{LINK, MESSAGE, Share, Wrong};
use stonescale_budget::purpose::FIXED;
use stonescale_budget::{Buffer, Charge, Ledger, Level, Plan, Process, Purpose, Shares, victims};

const MIB: usize = 1 << 20;

fn process(memory_mib: usize, sockets: usize) -> Process {
    Process { memory: memory_mib * MIB, clients: sockets / 2, links: sockets / 3, groups: 4 }
}

fn plan(memory_mib: usize, sockets: usize) -> Plan {
    Plan::new(process(memory_mib, sockets), &Shares::default()).unwrap()
}

fn purposes() -> Vec<Purpose> {
    FIXED.into_iter().chain((0..4).map(Purpose::work)).collect()
}

// ---- Sums, caps and reserves, whatever happens ----

#[derive(Clone, Debug)]
enum Step {
    Charge(usize, usize),
    Resize(usize, usize),
    Shift(usize, usize),
    Split(usize, usize),
    Join(usize, usize),
    Free(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = prop_oneof![0..200usize, 0..(1usize << 20)];
    prop_oneof![
        (0..13usize, bytes.clone()).prop_map(|(p, n)| Step::Charge(p, n)),
        (any::<usize>(), bytes.clone()).prop_map(|(c, n)| Step::Resize(c, n)),
        (any::<usize>(), 0..13usize).prop_map(|(c, p)| Step::Shift(c, p)),
        (any::<usize>(), bytes).prop_map(|(c, n)| Step::Split(c, n)),
        (any::<usize>(), any::<usize>()).prop_map(|(c, d)| Step::Join(c, d)),
        any::<usize>().prop_map(Step::Free),
    ]
}

/// What the charges at hand say, against the ledger's own books.
fn agree(ledger: &Ledger, plan: &Plan, charges: &[Charge]) -> Result<(), TestCaseError> {
    let mut lent = 0;
    for row in ledger.report() {
        let held: usize = charges.iter().filter(|c| c.purpose() == row.purpose).map(Charge::bytes).sum();
        prop_assert_eq!(row.account.held, held, "{:?}", row.purpose);
        prop_assert!(held <= row.account.cap && held <= row.account.high);
        lent += held.saturating_sub(row.account.reserve);
        // A reserve is there for its owner, whatever the others hold.
        prop_assert!(ledger.room(row.purpose) >= row.account.reserve.saturating_sub(held));
    }
    let reserved: usize = plan.accounts.iter().map(|(_, a)| a.reserve).sum();
    prop_assert!(lent + reserved <= plan.total);
    prop_assert_eq!(ledger.sum(), charges.iter().map(Charge::bytes).sum::<usize>());
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn no_byte_is_lost_or_doubled_no_cap_passed_and_no_reserve_lent_out(
        steps in prop::collection::vec(step(), 1..120)
    ) {
        let (plan, purposes) = (plan(8, 256), purposes());
        let ledger = Ledger::new(&plan);
        let mut charges: Vec<Charge> = Vec::new();
        for step in steps {
            let at = |c: usize| c % charges.len().max(1);
            match step {
                Step::Charge(p, n) => charges.extend(ledger.charge(purposes[p], n)),
                Step::Resize(c, n) if !charges.is_empty() => {
                    let c = at(c);
                    let (before, room) = (charges[c].bytes(), ledger.room(charges[c].purpose()));
                    let done = charges[c].resize(n).is_ok();
                    prop_assert_eq!(done, n <= before + room, "what there is room for is never refused");
                }
                Step::Shift(c, p) if !charges.is_empty() => {
                    let c = at(c);
                    let before = (charges[c].purpose(), charges[c].bytes());
                    if charges[c].shift(purposes[p]).is_err() {
                        prop_assert_eq!((charges[c].purpose(), charges[c].bytes()), before);
                    }
                }
                Step::Split(c, n) if !charges.is_empty() => {
                    let c = at(c);
                    let part = charges[c].split(n);
                    charges.push(part);
                }
                Step::Join(c, d) if charges.len() > 1 => {
                    let other = charges.swap_remove(at(c));
                    let d = d % charges.len();
                    let back = charges[d].join(other);
                    charges.extend(back);
                }
                Step::Free(c) if !charges.is_empty() => drop(charges.swap_remove(at(c))),
                _ => {}
            }
            agree(&ledger, &plan, &charges)?;
        }
        charges.clear();
        prop_assert_eq!(ledger.sum(), 0);
        // Nothing is left lent: every purpose can fill its cap again, or what is nobody's reserve.
        for (purpose, account) in &plan.accounts {
            prop_assert!(ledger.charge(*purpose, account.reserve).is_ok());
        }
    }

    #[test]
    fn a_buffer_holds_what_was_put_in_and_occupies_what_is_charged(
        own in any::<bool>(), pieces in prop::collection::vec((0..5_000usize, 0..6_000usize), 1..60)
    ) {
        let ledger = Ledger::new(&plan(8, 256));
        let mut buffer =
            if own { Buffer::with_own(&ledger, Purpose::Halves) } else { Buffer::new(&ledger, Purpose::Halves) };
        let mut wanted: Vec<u8> = Vec::new();
        for (at, (put, taken)) in pieces.into_iter().enumerate() {
            let piece = vec![at as u8; put];
            if buffer.extend(&piece).is_ok() {
                wanted.extend(&piece);
            }
            prop_assert_eq!(buffer.as_slice(), &wanted[..]);
            let taken = taken.min(wanted.len());
            if at % 3 == 0 {
                let block = buffer.take(taken, Purpose::work(1)).unwrap();
                prop_assert_eq!(block.as_slice(), &wanted[..taken]);
                prop_assert!(block.occupies() >= taken);
            } else {
                buffer.consume(taken, 4096);
            }
            wanted.drain(..taken);
            prop_assert_eq!(ledger.held(Purpose::Halves), buffer.occupies());
            let charged = buffer.occupies() + if own { LEAST } else { 0 };
            prop_assert!(charged >= buffer.len());
            prop_assert_eq!(ledger.held(Purpose::work(1)), 0);
        }
    }

    #[test]
    fn a_level_changes_at_most_once_a_crossing(noise in prop::collection::vec(0..60usize, 200)) {
        // The load hovers at the mark for tight (70 of 100) by less than what lies between entry and exit.
        let ledger = Ledger::new(&plan(8, 256));
        let reach = ledger.room(Purpose::Halves);
        let mut charge = ledger.open(Purpose::Halves);
        let mut changes = 0;
        for part in noise {
            let part = (64.0 + part as f64 * 0.2) / 100.0;
            charge.resize((reach as f64 * part) as usize).unwrap();
            changes += ledger.changes().len();
        }
        prop_assert!(changes <= 1);
    }
}

// ---- Reserves under pressure ----

#[test]
fn a_flood_of_one_path_group_leaves_the_others_their_part() {
    let ledger = Ledger::new(&plan(32, 1024));
    let mut flood = Vec::new();
    while let Ok(charge) = ledger.charge(Purpose::work(1), 40_000) {
        flood.push(charge);
    }
    assert_eq!(ledger.level(Purpose::work(1)), Level::Short);
    for group in [0, 2, 3] {
        assert!(ledger.room(Purpose::work(group)) >= MESSAGE, "path group {group}");
        assert_eq!(ledger.level(Purpose::work(group)), Level::Easy);
    }
}

#[test]
fn what_a_purpose_moves_to_another_is_room_for_that_one() {
    // Half-read commands become hits in work in one step: where the shared part is all lent, that frees it.
    let ledger = Ledger::new(&plan(8, 256));
    let mut half = ledger.charge(Purpose::Halves, ledger.room(Purpose::Halves)).unwrap();
    let mut rest = Vec::new();
    for purpose in [Purpose::Owed, Purpose::Answers, Purpose::Links, Purpose::Nodes, Purpose::Discovery] {
        rest.push(ledger.charge(purpose, ledger.room(purpose)).unwrap());
    }
    let mut command = half.split(60_000);
    assert!(command.shift(Purpose::work(0)).is_ok());
    assert_eq!(ledger.held(Purpose::work(0)), 60_000);
}

#[test]
fn changes_of_level_are_told_with_what_was_held() {
    let ledger = Ledger::new(&plan(8, 256));
    let room = ledger.room(Purpose::Owed);
    let owed = ledger.charge(Purpose::Owed, room).unwrap();
    assert!(ledger.charge(Purpose::Owed, 1).is_err());
    drop(owed);
    let told: Vec<_> = ledger.changes().iter().map(|c| (c.purpose, c.from, c.to)).collect();
    let owed = Purpose::Owed;
    assert_eq!(told, [(owed, Level::Easy, Level::Short), (owed, Level::Short, Level::Easy)]);
    let row = ledger.report().into_iter().find(|r| r.purpose == owed).unwrap();
    assert_eq!((row.account.held, row.account.high, row.refusals), (0, room, 1));
}

#[test]
fn under_a_new_plan_what_is_held_past_a_cap_is_kept_until_it_is_given_back() {
    let (wide, narrow) = (plan(32, 256), plan(8, 256));
    let ledger = Ledger::new(&wide);
    let mut held = ledger.charge(Purpose::Owed, wide.of(Purpose::Owed).cap).unwrap();
    ledger.replan(&narrow);
    assert!(ledger.room(Purpose::Owed) == 0 && ledger.charge(Purpose::Owed, 1).is_err());
    assert!(ledger.room(Purpose::Halves) >= narrow.of(Purpose::Halves).reserve);
    held.resize(0).unwrap();
    assert_eq!(ledger.room(Purpose::Owed), narrow.of(Purpose::Owed).cap);
}

// ---- Plans ----

#[rstest]
#[case(8, 256)]
#[case(8, 1024)]
#[case(32, 256)]
#[case(192, 1024)]
fn a_plan_keeps_within_the_limit_and_leaves_every_purpose_a_message(
    #[case] memory: usize, #[case] sockets: usize,
) {
    let plan = plan(memory, sockets);
    assert!(plan.total <= memory * MIB * 7 / 8);
    assert!(plan.accounts.iter().map(|(_, a)| a.reserve).sum::<usize>() <= plan.total);
    for purpose in [Purpose::Halves, Purpose::Owed, Purpose::Answers, Purpose::work(3)] {
        assert!(plan.of(purpose).reserve >= MESSAGE, "{purpose:?}");
    }
    assert!(plan.of(Purpose::Links).reserve >= sockets / 3 * LINK);
}

#[rstest]
#[case(4, 1024)]
#[case(2, 256)]
#[case(0, 16)]
fn a_limit_too_small_is_refused_with_what_is_missing(#[case] memory: usize, #[case] sockets: usize) {
    let Err(Wrong::TooLittle { missing, .. }) = Plan::new(process(memory, sockets), &Shares::default())
    else {
        panic!("{memory} MiB and {sockets} descriptors passed");
    };
    let enough = memory + missing.div_ceil(MIB);
    assert!(Plan::new(process(enough, sockets), &Shares::default()).is_ok(), "{missing} missing");
}

#[rstest]
#[case("halves", 0.0, 0.0, Wrong::NoCap("halves"))]
#[case("work", 0.0, 0.0, Wrong::NoCap("work"))]
#[case("owed", 1.5, 0.1, Wrong::NoPart("owed"))]
#[case("owed", 0.5, -0.1, Wrong::NoPart("owed"))]
#[case("log", 0.1, 0.2, Wrong::ReserveOverCap("log", Share { cap: 0.1, reserve: 0.2 }))]
fn wrong_shares_are_refused(
    #[case] name: &str, #[case] cap: f64, #[case] reserve: f64, #[case] wrong: Wrong,
) {
    let mut shares = Shares::default();
    assert!(shares.set(name, Share { cap, reserve }));
    assert_eq!(shares.check(), Err(wrong));
}

#[test]
fn reserves_of_more_than_all_are_refused() {
    let mut shares = Shares::default();
    for name in ["work", "halves", "owed"] {
        shares.set(name, Share { cap: 0.5, reserve: 0.4 });
    }
    assert!(matches!(shares.check(), Err(Wrong::ReservesOverAll(sum)) if sum > 1.0));
    assert!(!shares.set("hats", Share { cap: 0.5, reserve: 0.4 }));
}

// ---- Whose memory goes first ----

fn client(owed: usize, still_ms: u64, asked: u64, working: bool) -> victims::Client {
    let moved = Time::at(100_000_000_000) - Span::millis(still_ms);
    victims::Client { owed, moved, taken: moved, asked, working, leaving: false }
}

#[test]
fn idle_clients_that_asked_once_go_first_and_none_with_a_hit_in_work() {
    let clients = [
        client(0, 900, 1, false),
        client(0, 900, 5, false),
        client(0, 3_000, 5, false),
        client(0, 9_000, 1, true),
    ];
    let now = Time::at(100_000_000_000);
    let spared = (Span::millis(2_000), Span::millis(200));
    assert_eq!(victims::idle(&clients, now, spared, 16), [2, 0]);
    assert_eq!(victims::idle(&clients, now, spared, 1), [2]);
}

#[test]
fn of_those_that_take_nothing_the_most_owed_go_until_enough_is_free() {
    let clients = [
        client(10, 900, 1, false),
        client(500, 900, 1, true),
        client(900, 10, 1, false),
        client(400, 2_000, 1, false),
    ];
    let now = Time::at(100_000_000_000);
    assert_eq!(victims::stuck(&clients, now, Span::millis(500), 600), [1, 3]);
    assert_eq!(victims::stuck(&clients, now, Span::millis(500), 1), [1]);
}

#[test]
fn where_all_are_busy_those_here_longest_make_room_after_a_tenure() {
    let clients = [client(0, 1_500, 3, true), client(0, 900, 1, true), client(0, 4_000, 90, true)];
    let now = Time::at(100_000_000_000);
    assert_eq!(victims::rotate(&clients, now, Span::millis(1_000), 5), [2, 0]);
    assert_eq!(victims::rotate(&clients, now, Span::millis(1_000), 1), [2]);
}
