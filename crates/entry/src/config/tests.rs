use base::prelude::*;

use super::sync::{Source, TablesSync};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn first_read_is_full_and_later_reads_fetch_changes() {
    let start = Instant::now();
    let mut sync = TablesSync::new(Vec::new(), start);

    let first = sync.needs_full_read();
    sync.record_full_read();
    sync.record_response(start, 7);

    assert!(first);
    assert!(!sync.needs_full_read());
    assert_eq!(sync.seen(), 7);
}

#[test]
fn compaction_triggers_a_single_full_read() {
    let start = Instant::now();
    let mut sync = TablesSync::new(Vec::new(), start);
    sync.record_full_read();
    sync.record_response(start, 7);

    sync.record_changes(20_000, true);
    let after_compaction = (sync.needs_full_read(), sync.seen());
    sync.record_full_read();
    sync.record_response(start, 7);

    assert_eq!(after_compaction, (true, 20_000));
    assert_eq!((sync.needs_full_read(), sync.seen()), (false, 20_000));
}

#[test]
fn lower_store_revision_triggers_full_read() {
    let start = Instant::now();
    let mut sync = TablesSync::new(Vec::new(), start);
    sync.record_full_read();
    sync.record_response(start, 500);

    sync.record_changes(3, false);
    sync.record_response(start, 3);

    assert_eq!((sync.needs_full_read(), sync.seen()), (true, 3));
}

#[test]
fn peers_are_queried_only_while_store_is_unresponsive() {
    let start = Instant::now();
    let seed = "127.0.0.1:1".parse().unwrap();
    let mut sync = TablesSync::new(vec![seed], start);

    let at_start = sync.peers_to_query(start);
    let during_outage = sync.peers_to_query(start + 3 * SECOND);
    sync.record_response(start + 3 * SECOND, 1);
    let after = sync.peers_to_query(start + 4 * SECOND);

    assert_eq!(at_start, []);
    assert_eq!(during_outage, [Source::Entry(seed)]);
    assert_eq!(after, []);
}

#[test]
fn failed_watches_back_off_until_success() {
    let mut sync = TablesSync::new(Vec::new(), Instant::now());

    let pauses = (0..8).map(|_| sync.watch_ended(false)).collect::<Vec<_>>();
    let after_success = sync.watch_ended(true);

    assert!(pauses.is_sorted());
    assert_eq!(pauses.last(), Some(&(5 * SECOND)));
    assert_eq!(after_success, Duration::ZERO);
}
