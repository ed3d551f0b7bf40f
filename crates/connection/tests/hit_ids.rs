//! Copies of ids are recognized while their hit is open and after it may have run, within a bounded memory.

use stonescale::state::EPOCH;
use stonescale::time::Span;
use stonescale_connection::HitIds;
use stonescale_connection::hit_ids::{ID_RETENTION, IdInUse};

#[test]
fn the_id_of_an_open_hit_is_in_use() {
    let mut ids = HitIds::new(8);
    ids.open(b"a", EPOCH).unwrap();
    assert_eq!(ids.open(b"a", EPOCH), Err(IdInUse));
    assert!(ids.open(b"b", EPOCH).is_ok());
}

#[test]
fn an_id_is_free_again_once_its_hit_ended_without_running() {
    let mut ids = HitIds::new(8);
    let id = ids.open(b"a", EPOCH).unwrap();
    ids.end(id, false, EPOCH);
    assert!(ids.open(b"a", EPOCH).is_ok());
}

#[test]
fn an_id_that_may_have_run_is_in_use_for_the_retention() {
    let mut ids = HitIds::new(8);
    let id = ids.open(b"a", EPOCH).unwrap();
    ids.end(id, true, EPOCH);
    assert_eq!(ids.open(b"a", EPOCH + (ID_RETENTION - Span::millis(1))), Err(IdInUse));
    assert!(ids.open(b"a", EPOCH + ID_RETENTION).is_ok());
}

#[test]
fn ever_new_ids_are_remembered_up_to_the_bound_the_latest_ones() {
    let mut ids = HitIds::new(8);
    for number in 0..1_000_u32 {
        let id = ids.open(&number.to_le_bytes(), EPOCH).unwrap();
        ids.end(id, true, EPOCH);
    }
    assert_eq!(ids.ended_count(), 8);
    assert_eq!(ids.open(&999_u32.to_le_bytes(), EPOCH), Err(IdInUse));
    assert!(ids.open(&991_u32.to_le_bytes(), EPOCH).is_ok());
}
