use base::prelude::*;

use super::sync::{Source, Sync};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn tables_are_read_whole_first_and_then_only_their_changes() {
    let start = Instant::now();
    let mut sync = Sync::new(Vec::new(), start);

    let first = sync.must_read();
    sync.was_read();
    sync.store_answered(start, 7);

    assert!(first);
    assert!(!sync.must_read());
    assert_eq!(sync.seen(), 7);
}

#[test]
fn forgotten_changes_make_the_tables_be_read_whole_without_a_loop() {
    let start = Instant::now();
    let mut sync = Sync::new(Vec::new(), start);
    sync.was_read();
    sync.store_answered(start, 7);

    sync.changes_told(20_000, true);
    let after_compaction = (sync.must_read(), sync.seen());
    sync.was_read();
    sync.store_answered(start, 7);

    assert_eq!(after_compaction, (true, 20_000));
    assert_eq!((sync.must_read(), sync.seen()), (false, 20_000));
}

#[test]
fn store_that_counts_from_below_is_read_whole() {
    let start = Instant::now();
    let mut sync = Sync::new(Vec::new(), start);
    sync.was_read();
    sync.store_answered(start, 500);

    sync.changes_told(3, false);
    sync.store_answered(start, 3);

    assert_eq!((sync.must_read(), sync.seen()), (true, 3));
}

#[test]
fn seeds_are_asked_only_while_the_store_is_silent() {
    let start = Instant::now();
    let seed = "127.0.0.1:1".parse().unwrap();
    let mut sync = Sync::new(vec![seed], start);

    let at_start = sync.ask_for_lack_of_store(start);
    let in_silence = sync.ask_for_lack_of_store(start + 3 * SECOND);
    sync.store_answered(start + 3 * SECOND, 1);
    let after = sync.ask_for_lack_of_store(start + 4 * SECOND);

    assert_eq!(at_start, []);
    assert_eq!(in_silence, [Source::Entry(seed)]);
    assert_eq!(after, []);
}

#[test]
fn failed_watches_are_tried_after_growing_pauses() {
    let mut sync = Sync::new(Vec::new(), Instant::now());

    let pauses = (0..8).map(|_| sync.watch_ended(false)).collect::<Vec<_>>();
    let after_success = sync.watch_ended(true);

    assert!(pauses.is_sorted());
    assert_eq!(pauses.last(), Some(&(5 * SECOND)));
    assert_eq!(after_success, Duration::ZERO);
}
