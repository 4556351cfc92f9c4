//! Tests of applies with concurrent operators, lost responses and outages.

use crate::common::{Fault, MemStore, change};
use base::ManualClock;
use base::prelude::*;
use ops::{Applied, Applier, Change, Exit, Failure, HISTORY_KEPT, TablesStore};
use tables::TablesDoc;

fn apply(store: &MemStore, change: Change, base: Option<u64>) -> Result<Applied, Failure> {
    let clock = ManualClock::new();
    let applier = Applier::new(store, &clock, |_| {});
    let plan = applier.plan(change, base.map(Generation))?;
    applier.apply(plan)
}

fn current(store: &MemStore) -> TablesDoc {
    TablesStore::new(store).current().unwrap().unwrap().doc
}

/// Returns a store whose tables are at generation 1, by Ana.
fn store_with_tables() -> MemStore {
    let store = MemStore::default();
    apply(&store, change(1, "Ana", "2s"), None).expect("first apply");
    store
}

/// Returns the tables that another operator applies as generation 2.
fn concurrent_change(nonce: u64) -> TablesDoc {
    let change = change(nonce, "Bula", "5s");
    TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(2),
        routes: change.routes,
        pools: change.pools,
        author: change.author,
        applied_at_ms: 0,
        comment: change.comment,
        nonce: change.nonce,
    }
}

#[test]
fn generations_count_up_and_earlier_ones_are_kept() {
    let store = store_with_tables();

    let applied = apply(&store, change(2, "Bula", "3s"), Some(1)).unwrap();

    assert_eq!(applied, Applied::New(Generation(2)));
    let kept = TablesStore::new(&store).all().unwrap();
    let authors = kept.iter().map(|doc| &*doc.author).collect::<Vec<_>>();
    assert_eq!(authors, ["Ana", "Bula"]);
}

#[test]
fn history_is_bounded() {
    let store = store_with_tables();
    let rounds = HISTORY_KEPT + 10;

    for round in 1..rounds {
        let change = change(round + 1, "Ana", &format!("{}s", round + 2));
        apply(&store, change, Some(round)).unwrap();
    }

    let kept = TablesStore::new(&store).all().unwrap();
    assert_eq!(kept.len() as u64, HISTORY_KEPT + 1);
    assert_eq!(kept.last().unwrap().generation, Generation(rounds));
}

#[test]
fn conflict_lists_what_the_other_operator_changed() {
    let store = store_with_tables();
    apply(&store, change(2, "Bula", "5s"), Some(1)).unwrap();

    let failure = apply(&store, change(3, "Cama", "7s"), Some(1)).unwrap_err();

    assert_eq!(failure.exit(), Exit::Conflict);
    assert_eq!(current(&store).nonce, Nonce(2));
    insta::assert_snapshot!(failure);
}

#[test]
fn change_between_plan_and_swap_is_a_conflict() {
    let store = store_with_tables();
    store.write_before_next_swap(concurrent_change(2));

    let failure = apply(&store, change(3, "Cama", "7s"), Some(1)).unwrap_err();

    assert_eq!(failure.exit(), Exit::Conflict);
    assert_eq!(current(&store).nonce, Nonce(2));
    assert!(
        failure
            .to_string()
            .contains("theirs: routes.style-check: deadline: 2s -> 5s")
    );
}

#[test]
fn lost_response_to_the_swap_is_resolved() {
    let store = store_with_tables();
    store.fail_writes(&[Fault::None, Fault::ResponseLost]);

    let applied = apply(&store, change(2, "Bula", "3s"), Some(1)).unwrap();

    assert_eq!(applied, Applied::New(Generation(2)));
    assert_eq!(current(&store).nonce, Nonce(2));
}

#[test]
fn lost_response_is_resolved_after_a_later_apply() {
    let store = store_with_tables();
    let clock = ManualClock::new();
    let applier = Applier::new(&store, &clock, |_| {});
    let plan = applier
        .plan(change(2, "Bula", "3s"), Some(Generation(1)))
        .unwrap();
    // The same swap took effect before, its response was lost, and generation 3 replaced it.
    apply(&store, change(2, "Bula", "3s"), Some(1)).unwrap();
    apply(&store, change(3, "Cama", "4s"), Some(2)).unwrap();

    let applied = applier.apply(plan).unwrap();

    assert_eq!(applied, Applied::New(Generation(2)));
    assert_eq!(current(&store).nonce, Nonce(3));
}

#[test]
fn lost_call_is_retried() {
    let store = store_with_tables();
    store.fail_writes(&[Fault::CallLost, Fault::None, Fault::CallLost, Fault::Down]);

    let applied = apply(&store, change(2, "Bula", "3s"), Some(1)).unwrap();

    assert_eq!(applied, Applied::New(Generation(2)));
}

#[test]
fn outage_before_the_apply_changes_nothing() {
    let store = store_with_tables();
    store.set_reads_down(true);

    let failure = apply(&store, change(2, "Bula", "3s"), Some(1)).unwrap_err();

    assert_eq!(failure.exit(), Exit::Unreachable);
    store.set_reads_down(false);
    assert_eq!(current(&store).nonce, Nonce(1));
}

#[test]
fn outage_before_the_swap_changes_nothing() {
    let store = store_with_tables();
    store.fail_writes(&[Fault::Down; 20]);

    let failure = apply(&store, change(2, "Bula", "3s"), Some(1)).unwrap_err();

    assert_eq!(failure.exit(), Exit::Unreachable);
    assert_eq!(current(&store).nonce, Nonce(1));
}

#[test]
fn outage_during_the_swap_has_an_unknown_outcome_until_a_repeat() {
    let store = store_with_tables();
    store.fail_writes(&[
        Fault::None,
        Fault::ResponseLost,
        Fault::Down,
        Fault::Down,
        Fault::Down,
        Fault::Down,
    ]);
    let clock = ManualClock::new();
    let applier = Applier::new(&store, &clock, |_| {});
    let plan = applier
        .plan(change(2, "Bula", "3s"), Some(Generation(1)))
        .unwrap();
    store.set_reads_down(true);

    let failure = applier.apply(plan).unwrap_err();
    store.set_reads_down(false);
    store.fail_writes(&[]);
    let again = apply(&store, change(3, "Bula", "3s"), Some(1)).unwrap();

    assert_eq!(failure.exit(), Exit::Unknown);
    assert_eq!(again, Applied::Already(Generation(2)));
}

#[test]
fn lost_swaps_that_may_still_arrive_have_an_unknown_outcome() {
    let store = store_with_tables();
    store.fail_writes(&[
        Fault::None,
        Fault::CallLost,
        Fault::CallLost,
        Fault::CallLost,
        Fault::CallLost,
        Fault::CallLost,
    ]);

    let failure = apply(&store, change(2, "Bula", "3s"), Some(1)).unwrap_err();

    assert_eq!(failure.exit(), Exit::Unknown);
}

#[test]
fn generations_keep_increasing_after_the_key_is_deleted() {
    let store = store_with_tables();
    apply(&store, change(2, "Bula", "3s"), Some(1)).unwrap();
    apply(&store, change(3, "Cama", "4s"), Some(2)).unwrap();
    store.delete(TablesDoc::KEY);

    let applied = apply(&store, change(4, "Ana", "2s"), None).unwrap();

    assert_eq!(applied, Applied::New(Generation(4)));
}
