//! Tests of the ledger, buffers, levels, plans and eviction: random sequences of operations, and single scenarios.

use proptest::prelude::*;
use rstest::rstest;
use stonescale::time::{Span, Time};
use stonescale_budget::buffer::MIN_CAPACITY_BYTES;
use stonescale_budget::plan::{MAX_MESSAGE_BYTES, NODE_CONNECTION_BYTES, PlanError, Share};
use stonescale_budget::purpose::FIXED_PURPOSES;
use stonescale_budget::{Buffer, Charge, Ledger, Level, Plan, ProcessLimits, Purpose, Shares, eviction};

const MIB: usize = 1 << 20;

fn limits(memory_mib: usize, sockets: usize) -> ProcessLimits {
    ProcessLimits {
        memory_bytes: memory_mib * MIB,
        max_clients: sockets / 2,
        max_node_connections: sockets / 3,
        path_groups: 4,
    }
}

fn plan(memory_mib: usize, sockets: usize) -> Plan {
    Plan::new(limits(memory_mib, sockets), &Shares::default()).unwrap()
}

fn purposes() -> Vec<Purpose> {
    FIXED_PURPOSES.into_iter().chain((0..4).map(Purpose::in_flight)).collect()
}

// ---- Sums, caps and reserves over random operations ----

#[derive(Clone, Debug)]
enum Step {
    Charge(usize, usize),
    Resize(usize, usize),
    Transfer(usize, usize),
    Split(usize, usize),
    Merge(usize, usize),
    Drop(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = prop_oneof![0..200usize, 0..(1usize << 20)];
    prop_oneof![
        (0..13usize, bytes.clone()).prop_map(|(purpose, bytes)| Step::Charge(purpose, bytes)),
        (any::<usize>(), bytes.clone()).prop_map(|(charge, bytes)| Step::Resize(charge, bytes)),
        (any::<usize>(), 0..13usize).prop_map(|(charge, purpose)| Step::Transfer(charge, purpose)),
        (any::<usize>(), bytes).prop_map(|(charge, bytes)| Step::Split(charge, bytes)),
        (any::<usize>(), any::<usize>()).prop_map(|(charge, into)| Step::Merge(charge, into)),
        any::<usize>().prop_map(Step::Drop),
    ]
}

/// Compares the live charges with what the ledger reports.
fn check_ledger(ledger: &Ledger, plan: &Plan, charges: &[Charge]) -> Result<(), TestCaseError> {
    let mut lent = 0;
    for row in ledger.report() {
        let held: usize = charges.iter().filter(|c| c.purpose() == row.purpose).map(Charge::bytes).sum();
        prop_assert_eq!(row.account.held, held, "{:?}", row.purpose);
        prop_assert!(held <= row.account.cap && held <= row.account.high_water);
        lent += held.saturating_sub(row.account.reserve);
        // The reserve is available to its owner, whatever the others hold.
        prop_assert!(ledger.available(row.purpose) >= row.account.reserve.saturating_sub(held));
    }
    let reserved: usize = plan.accounts.iter().map(|(_, a)| a.reserve).sum();
    prop_assert!(lent + reserved <= plan.total_bytes);
    prop_assert_eq!(ledger.total_held(), charges.iter().map(Charge::bytes).sum::<usize>());
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn bytes_are_conserved_and_caps_and_reserves_respected(
        steps in prop::collection::vec(step(), 1..120)
    ) {
        let (plan, purposes) = (plan(8, 256), purposes());
        let ledger = Ledger::new(&plan);
        let mut charges: Vec<Charge> = Vec::new();
        for step in steps {
            let index = |charge: usize| charge % charges.len().max(1);
            match step {
                Step::Charge(purpose, bytes) => charges.extend(ledger.charge(purposes[purpose], bytes)),
                Step::Resize(charge, bytes) if !charges.is_empty() => {
                    let charge = index(charge);
                    let (before, available) =
                        (charges[charge].bytes(), ledger.available(charges[charge].purpose()));
                    let granted = charges[charge].resize(bytes).is_ok();
                    prop_assert_eq!(granted, bytes <= before + available, "available bytes are never refused");
                }
                Step::Transfer(charge, purpose) if !charges.is_empty() => {
                    let charge = index(charge);
                    let before = (charges[charge].purpose(), charges[charge].bytes());
                    if charges[charge].transfer(purposes[purpose]).is_err() {
                        prop_assert_eq!((charges[charge].purpose(), charges[charge].bytes()), before);
                    }
                }
                Step::Split(charge, bytes) if !charges.is_empty() => {
                    let charge = index(charge);
                    let part = charges[charge].split(bytes);
                    charges.push(part);
                }
                Step::Merge(charge, into) if charges.len() > 1 => {
                    let other = charges.swap_remove(index(charge));
                    let into = into % charges.len();
                    let returned = charges[into].merge(other);
                    charges.extend(returned);
                }
                Step::Drop(charge) if !charges.is_empty() => drop(charges.swap_remove(index(charge))),
                _ => {}
            }
            check_ledger(&ledger, &plan, &charges)?;
        }
        charges.clear();
        prop_assert_eq!(ledger.total_held(), 0);
        // Nothing is still lent: every purpose can be charged its reserve.
        for (purpose, account) in &plan.accounts {
            prop_assert!(ledger.charge(*purpose, account.reserve).is_ok());
        }
    }

    #[test]
    fn a_buffer_keeps_its_bytes_and_is_charged_for_its_capacity(
        prepaid in any::<bool>(), pieces in prop::collection::vec((0..5_000usize, 0..6_000usize), 1..60)
    ) {
        let ledger = Ledger::new(&plan(8, 256));
        let mut buffer = if prepaid {
            Buffer::with_prepaid(&ledger, Purpose::PartialCommands)
        } else {
            Buffer::new(&ledger, Purpose::PartialCommands)
        };
        let mut expected: Vec<u8> = Vec::new();
        for (round, (appended, taken)) in pieces.into_iter().enumerate() {
            let piece = vec![round as u8; appended];
            if buffer.extend(&piece).is_ok() {
                expected.extend(&piece);
            }
            prop_assert_eq!(buffer.as_slice(), &expected[..]);
            let taken = taken.min(expected.len());
            if round % 3 == 0 {
                let block = buffer.take_block(taken, Purpose::in_flight(1)).unwrap();
                prop_assert_eq!(block.as_slice(), &expected[..taken]);
                prop_assert!(block.charged_bytes() >= taken);
            } else {
                buffer.consume(taken, 4096);
            }
            expected.drain(..taken);
            prop_assert_eq!(ledger.held(Purpose::PartialCommands), buffer.charged_bytes());
            let charged = buffer.charged_bytes() + if prepaid { MIN_CAPACITY_BYTES } else { 0 };
            prop_assert!(charged >= buffer.len());
            prop_assert_eq!(ledger.held(Purpose::in_flight(1)), 0);
        }
    }

    #[test]
    fn a_level_changes_at_most_once_while_the_fill_hovers_at_its_threshold(
        noise in prop::collection::vec(0..60usize, 200)
    ) {
        // The fill hovers around the entry threshold of the elevated level (70 of 100) by less than the distance
        // between its entry and exit thresholds.
        let ledger = Ledger::new(&plan(8, 256));
        let limit = ledger.available(Purpose::PartialCommands);
        let mut charge = ledger.empty_charge(Purpose::PartialCommands);
        let mut changes = 0;
        for step in noise {
            let fill = (64.0 + step as f64 * 0.2) / 100.0;
            charge.resize((limit as f64 * fill) as usize).unwrap();
            changes += ledger.drain_changes().len();
        }
        prop_assert!(changes <= 1);
    }
}

// ---- Reserves under pressure ----

#[test]
fn a_flood_of_one_path_group_leaves_the_reserves_of_the_others() {
    let ledger = Ledger::new(&plan(32, 1024));
    let mut flood = Vec::new();
    while let Ok(charge) = ledger.charge(Purpose::in_flight(1), 40_000) {
        flood.push(charge);
    }
    assert_eq!(ledger.level(Purpose::in_flight(1)), Level::Critical);
    for group in [0, 2, 3] {
        assert!(ledger.available(Purpose::in_flight(group)) >= MAX_MESSAGE_BYTES, "path group {group}");
        assert_eq!(ledger.level(Purpose::in_flight(group)), Level::Normal);
    }
}

#[test]
fn bytes_freed_by_a_transfer_are_available_to_it() {
    // A partial command becomes an in-flight hit in one step: while the whole shared part is lent, the transfer itself
    // frees the bytes that it needs.
    let ledger = Ledger::new(&plan(8, 256));
    let mut partial =
        ledger.charge(Purpose::PartialCommands, ledger.available(Purpose::PartialCommands)).unwrap();
    let mut rest = Vec::new();
    for purpose in [
        Purpose::ClientOutput,
        Purpose::NodeReplies,
        Purpose::NodeConnections,
        Purpose::Nodes,
        Purpose::Discovery,
    ] {
        rest.push(ledger.charge(purpose, ledger.available(purpose)).unwrap());
    }
    let mut command = partial.split(60_000);
    assert!(command.transfer(Purpose::in_flight(0)).is_ok());
    assert_eq!(ledger.held(Purpose::in_flight(0)), 60_000);
}

#[test]
fn level_changes_and_refusals_are_reported() {
    let ledger = Ledger::new(&plan(8, 256));
    let available = ledger.available(Purpose::ClientOutput);
    let charge = ledger.charge(Purpose::ClientOutput, available).unwrap();
    assert!(ledger.charge(Purpose::ClientOutput, 1).is_err());
    drop(charge);
    let changes: Vec<_> = ledger.drain_changes().iter().map(|c| (c.purpose, c.from, c.to)).collect();
    let output = Purpose::ClientOutput;
    assert_eq!(changes, [(output, Level::Normal, Level::Critical), (output, Level::Critical, Level::Normal)]);
    let row = ledger.report().into_iter().find(|r| r.purpose == output).unwrap();
    assert_eq!((row.account.held, row.account.high_water, row.refusals), (0, available, 1));
}

#[test]
fn bytes_held_above_the_cap_of_a_new_plan_are_kept_until_released() {
    let (wide, narrow) = (plan(32, 256), plan(8, 256));
    let ledger = Ledger::new(&wide);
    let mut held = ledger.charge(Purpose::ClientOutput, wide.account(Purpose::ClientOutput).cap).unwrap();
    ledger.apply_plan(&narrow);
    assert!(ledger.available(Purpose::ClientOutput) == 0 && ledger.charge(Purpose::ClientOutput, 1).is_err());
    assert!(ledger.available(Purpose::PartialCommands) >= narrow.account(Purpose::PartialCommands).reserve);
    held.resize(0).unwrap();
    assert_eq!(ledger.available(Purpose::ClientOutput), narrow.account(Purpose::ClientOutput).cap);
}

// ---- Plans ----

#[rstest]
#[case(8, 256)]
#[case(8, 1024)]
#[case(32, 256)]
#[case(192, 1024)]
fn a_plan_fits_the_limit_and_reserves_a_whole_message_for_every_purpose_with_messages(
    #[case] memory: usize, #[case] sockets: usize,
) {
    let plan = plan(memory, sockets);
    assert!(plan.total_bytes <= memory * MIB * 7 / 8);
    assert!(plan.accounts.iter().map(|(_, a)| a.reserve).sum::<usize>() <= plan.total_bytes);
    for purpose in
        [Purpose::PartialCommands, Purpose::ClientOutput, Purpose::NodeReplies, Purpose::in_flight(3)]
    {
        assert!(plan.account(purpose).reserve >= MAX_MESSAGE_BYTES, "{purpose:?}");
    }
    assert!(plan.account(Purpose::NodeConnections).reserve >= sockets / 3 * NODE_CONNECTION_BYTES);
}

#[rstest]
#[case(4, 1024)]
#[case(2, 256)]
#[case(0, 16)]
fn a_limit_too_small_is_rejected_with_the_missing_bytes(#[case] memory: usize, #[case] sockets: usize) {
    let Err(PlanError::InsufficientMemory { missing_bytes, .. }) =
        Plan::new(limits(memory, sockets), &Shares::default())
    else {
        panic!("{memory} MiB and {sockets} descriptors were accepted");
    };
    let sufficient = memory + missing_bytes.div_ceil(MIB);
    assert!(
        Plan::new(limits(sufficient, sockets), &Shares::default()).is_ok(),
        "{missing_bytes} bytes missing"
    );
}

#[rstest]
#[case("halves", 0.0, 0.0, PlanError::ZeroCap("halves"))]
#[case("work", 0.0, 0.0, PlanError::ZeroCap("work"))]
#[case("owed", 1.5, 0.1, PlanError::NotAFraction("owed"))]
#[case("owed", 0.5, -0.1, PlanError::NotAFraction("owed"))]
#[case("log", 0.1, 0.2, PlanError::ReserveAboveCap("log", Share { cap: 0.1, reserve: 0.2 }))]
fn invalid_shares_are_rejected(
    #[case] name: &str, #[case] cap: f64, #[case] reserve: f64, #[case] error: PlanError,
) {
    let mut shares = Shares::default();
    assert!(shares.set(name, Share { cap, reserve }));
    assert_eq!(shares.check(), Err(error));
}

#[test]
fn reserves_above_the_total_are_rejected() {
    let mut shares = Shares::default();
    for name in ["work", "halves", "owed"] {
        shares.set(name, Share { cap: 0.5, reserve: 0.4 });
    }
    assert!(matches!(shares.check(), Err(PlanError::ReservesAboveTotal(sum)) if sum > 1.0));
    assert!(!shares.set("hats", Share { cap: 0.5, reserve: 0.4 }));
}

// ---- Selection of connections to close ----

fn client(
    offered_bytes: usize, inactive_ms: u64, commands: u64, has_pending_hits: bool,
) -> eviction::ClientState {
    let last_activity = Time::at(100_000_000_000) - Span::millis(inactive_ms);
    eviction::ClientState {
        offered_bytes,
        waiting_bytes: 0,
        last_activity,
        accepted_at: last_activity,
        commands,
        has_sent_hit: commands > 0,
        receiving_since: None,
        has_pending_hits,
        closing: false,
    }
}

#[test]
fn unproductive_connections_are_selected_before_their_command_is_complete() {
    let now = Time::at(100_000_000_000);
    let receiving = |ms| eviction::ClientState {
        receiving_since: Some(now - Span::millis(ms)),
        ..client(0, 900, 2, false)
    };
    let only_unsound_commands = eviction::ClientState { has_sent_hit: false, ..client(0, 700, 90, false) };
    let clients = [
        receiving(100),
        receiving(300),
        only_unsound_commands,
        client(0, 900, 2, false),
        client(0, 500, 0, false),
        client(0, 900, 1, true),
    ];
    assert_eq!(eviction::select_unproductive(&clients, now, Span::millis(200), 16), [2, 4, 1]);
    assert_eq!(eviction::select_unproductive(&clients, now, Span::millis(200), 1), [2]);
}

#[test]
fn a_connection_in_the_middle_of_a_command_is_not_idle() {
    let now = Time::at(100_000_000_000);
    let receiving = eviction::ClientState { receiving_since: Some(now), ..client(0, 9_000, 1, false) };
    assert_eq!(eviction::select_idle(&[receiving], now, (Span::ZERO, Span::ZERO), 16), []);
}

#[test]
fn idle_connections_with_one_command_time_out_sooner_and_none_with_pending_hits_is_selected() {
    let clients = [
        client(0, 900, 1, false),
        client(0, 900, 5, false),
        client(0, 3_000, 5, false),
        client(0, 9_000, 1, true),
    ];
    let now = Time::at(100_000_000_000);
    let idle_timeouts = (Span::millis(2_000), Span::millis(200));
    assert_eq!(eviction::select_idle(&clients, now, idle_timeouts, 16), [2, 0]);
    assert_eq!(eviction::select_idle(&clients, now, idle_timeouts, 1), [2]);
}

#[test]
fn stalled_connections_with_the_most_unsent_bytes_are_selected_until_enough_is_freed() {
    let clients = [
        client(10, 900, 1, false),
        client(500, 900, 1, true),
        client(900, 10, 1, false),
        client(400, 2_000, 1, false),
    ];
    let now = Time::at(100_000_000_000);
    assert_eq!(eviction::select_stalled(&clients, now, Span::millis(500), 600), [1, 3]);
    assert_eq!(eviction::select_stalled(&clients, now, Span::millis(500), 1), [1]);
}

/// The marshal itself holds back what waits for an earlier reply: its client reads all that it is sent.
#[test]
fn a_connection_whose_replies_only_wait_for_an_earlier_one_is_not_stalled() {
    let waiting = eviction::ClientState { waiting_bytes: 900, ..client(0, 9_000, 5, true) };
    let both = eviction::ClientState { waiting_bytes: 300, ..client(100, 9_000, 5, true) };
    let offered = client(350, 9_000, 5, true);
    let now = Time::at(100_000_000_000);
    assert_eq!(eviction::select_stalled(&[waiting, offered, both], now, Span::millis(500), 1_000), [2, 1]);
}

#[test]
fn waiting_replies_are_given_up_where_there_are_most_until_enough_is_freed() {
    let waiting = |bytes: usize| eviction::ClientState { waiting_bytes: bytes, ..client(0, 0, 5, true) };
    let clients = [waiting(100), waiting(0), waiting(900), waiting(300)];
    assert_eq!(eviction::select_waiting(&clients, 1_000), [2, 3]);
    assert_eq!(eviction::select_waiting(&clients, 10_000), [2, 3, 0]);
}

#[test]
fn the_longest_connected_are_rotated_after_a_minimum_tenure() {
    let clients = [client(0, 1_500, 3, true), client(0, 900, 1, true), client(0, 4_000, 90, true)];
    let now = Time::at(100_000_000_000);
    assert_eq!(eviction::select_rotated(&clients, now, Span::millis(1_000), 5), [2, 0]);
    assert_eq!(eviction::select_rotated(&clients, now, Span::millis(1_000), 1), [2]);
}
