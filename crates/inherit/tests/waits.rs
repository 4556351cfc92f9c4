//! What a record says of a worker, and whom a new owner waits for.

use base::prelude::*;
use fakes::timing::processor_time;
use inherit::{Holding, Inherited, Knowledge, is_outdated, record_of};

const DRAINED: Knowledge = Knowledge {
    takes_starts: false,
    is_complete: true,
};

fn only(tasks: &[u32]) -> Holding<u32> {
    Holding::Only(tasks.to_vec())
}

#[test]
fn record_lists_tasks_only_where_nothing_else_can_start() {
    let takes_starts = Knowledge {
        takes_starts: true,
        ..DRAINED
    };
    let is_incomplete = Knowledge {
        is_complete: false,
        ..DRAINED
    };

    assert_eq!(record_of(takes_starts, [1]), Some(Holding::Any));
    assert_eq!(record_of(is_incomplete, [1]), Some(Holding::Any));
    assert_eq!(record_of(DRAINED, [1, 2]), Some(only(&[1, 2])));
    assert_eq!(record_of::<u32>(DRAINED, []), None);
}

#[test]
fn record_is_replaced_if_it_is_wrong_or_dear() {
    let stored = only(&[1, 2]);
    let is_outdated =
        |wanted: &Holding<u32>| is_outdated(Some(&stored), Some(wanted), |task| *task == 2);

    assert!(!is_outdated(&only(&[1, 2])));
    assert!(!is_outdated(&only(&[2])), "a cheap task has left");
    assert!(is_outdated(&only(&[1])), "a dear task has left");
    assert!(is_outdated(&only(&[1, 2, 3])), "a task is missing");
    assert!(is_outdated(&Holding::Any));
}

#[test]
fn tasks_wait_for_the_workers_that_may_run_them() {
    let (any, some): (Name, Name) = ("any".into(), "some".into());
    let mut inherited = Inherited::default();
    inherited.add(Arc::clone(&any), Holding::Any);
    inherited.add(Arc::clone(&some), only(&[1]));
    assert!(inherited.holds(&1) && inherited.holds(&2));

    assert!(inherited.settle(&any));
    assert!(inherited.holds(&1) && !inherited.holds(&2));

    assert!(inherited.settle(&some));
    assert!(!inherited.settle(&some));
    assert!(!inherited.holds_some());
}

/// Guards against a draining worker whose record of thousands of tasks is compared pair by pair with each
/// report, which holds up all other reports.
#[test]
fn long_records_are_compared_in_little_time() {
    let tasks: Vec<u32> = (0..10_000).collect();
    let (stored, wanted) = (only(&tasks), only(&tasks));

    let began = processor_time();
    let is_changed = is_outdated(Some(&stored), Some(&wanted), |_| true);
    let took = processor_time() - began;

    assert!(!is_changed);
    assert!(took < Duration::from_millis(100), "{took:?}");
}
