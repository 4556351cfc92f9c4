//! What is remembered of cancelled jobs, and for how long.

use base::prelude::*;
use tombstones::{Full, MAX_TOMBSTONES, Tombstones};

/// The time at which each test begins, in milliseconds since the Unix epoch.
const BEGAN: u64 = 1_000_000;

fn tombstones() -> Tombstones {
    Tombstones::new("cancelled/7-".into(), Duration::from_secs(120))
}

fn route(number: usize) -> RouteAddress {
    RouteAddress::of("desk.example", &format!("/{number}/"))
}

fn job(number: usize) -> JobId {
    JobId::from(format!("{number:016x}"))
}

/// Adds the tombstones of as many jobs of a route as there is room for, and returns how many.
fn flood(tombstones: &mut Tombstones, unix_ms: u64, at: usize) -> usize {
    let mut add = |n| tombstones.add(unix_ms, &route(at), &job(n)).is_ok();
    (0..).take_while(|n| add(*n)).count()
}

fn store(tombstones: &mut Tombstones, segment: u64) {
    let write = tombstones.begin_write(segment).expect("a write");
    tombstones.end_write(segment, write.len, 1 + segment);
}

/// Guards against a flood on one route that leaves no room for the cancellations of others.
#[test]
fn route_that_fills_its_share_leaves_room_for_others() {
    let mut tombstones = tombstones();

    let counts = [0, 1, 2].map(|at| flood(&mut tombstones, BEGAN, at));
    let refused = tombstones.add(BEGAN + 20_000, &route(0), &job(MAX_TOMBSTONES));

    assert_eq!(counts, [2, 4, 8].map(|share| MAX_TOMBSTONES / share));
    let retry_after = Duration::from_secs(100);
    assert_eq!(refused, Err(Full { retry_after }));
}

/// Guards against a cancellation that is acknowledged by a tombstone which is about to expire.
#[test]
fn repeated_cancellation_is_kept_for_half_of_the_retention_at_least() {
    let mut tombstones = tombstones();
    let mut add = |unix_ms| {
        let mark = tombstones.add(unix_ms, &route(0), &job(0)).expect("room");
        store(&mut tombstones, mark.segment);
        mark.segment
    };

    let [first, again, late] = [0, 50_000, 100_000].map(|ms| add(BEGAN + ms));
    let expired = tombstones.expire(BEGAN + 120_001);
    store(&mut tombstones, first);

    assert!(first == again && again != late);
    assert_eq!(expired, [first]);
    let remaining = tombstones.remaining(BEGAN + 120_001, &route(0), &job(0));
    assert_eq!(remaining, Some(Duration::from_millis(99_999)));
}

/// Guards against a caller who is told of a write that does not contain its tombstone.
#[test]
fn tombstone_added_during_a_write_is_stored_by_the_next_one() {
    let mut tombstones = tombstones();
    let first = tombstones.add(BEGAN, &route(0), &job(0)).expect("room");
    let write = tombstones.begin_write(first.segment).expect("a write");
    let second = tombstones.add(BEGAN, &route(0), &job(1)).expect("room");

    assert_eq!(tombstones.begin_write(second.segment), None);
    tombstones.end_write(first.segment, write.len, 9);

    assert!(tombstones.is_stored(first) && !tombstones.is_stored(second));
    let next = tombstones.begin_write(second.segment).expect("a write");
    assert_eq!((next.key, next.expected, next.len), (write.key, 9, 2));
}
