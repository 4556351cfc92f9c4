//! The budget of an entry's store calls: its rate limits and its circuit breaker.

use base::prelude::*;
use entry::{Permit, StoreBudget, StorePriority};
use ports::store::StoreCall;

const SECOND: Duration = Duration::from_secs(1);

fn write() -> StoreCall {
    StoreCall::LeaseRenew { lease: 1 }
}

fn read() -> StoreCall {
    StoreCall::Get { key: "key".into() }
}

fn watch() -> StoreCall {
    StoreCall::Watch {
        prefix: "key".into(),
        after: 0,
        wait: SECOND * 30,
    }
}

/// Takes commit permits for `time` and returns how many it got.
fn count_commits(budget: &mut StoreBudget, from: Instant, time: Duration) -> u32 {
    let mut made = 0;
    let mut now = from;
    while now < from + time {
        match budget.take(now, StorePriority::Commit, &write()) {
            Permit::Now => made += 1,
            Permit::At(at) => now = at.max(now + Duration::from_millis(1)),
            Permit::Refused => break,
        }
    }
    made
}

/// Returns a budget whose calls failed until the store counts as unreachable.
fn budget_with_open_circuit(now: Instant) -> StoreBudget {
    let mut budget = StoreBudget::new(now, 7);
    while !budget.is_open() {
        budget.take(now, StorePriority::Commit, &write());
        budget.call_ended(now, false);
    }
    budget
}

#[test]
fn three_busy_entries_stay_within_the_rate_of_the_store() {
    let now = Instant::now();
    let mut budget = StoreBudget::new(now, 1);
    count_commits(&mut budget, now, SECOND * 10);

    let steady = count_commits(&mut budget, now + SECOND * 10, SECOND * 10);

    assert!(steady > 0);
    assert!(3 * steady / 10 <= 300, "{steady} writes in 10 s");
}

#[test]
fn lease_call_is_not_delayed_by_commit_rate() {
    let now = Instant::now();
    let mut budget = StoreBudget::new(now, 1);
    while budget.take(now, StorePriority::Commit, &write()) == Permit::Now {}

    let lease = budget.take(now, StorePriority::Lease, &write());

    assert_eq!(lease, Permit::Now);
}

#[test]
fn reads_and_writes_have_separate_rates() {
    let now = Instant::now();
    let mut budget = StoreBudget::new(now, 1);
    while budget.take(now, StorePriority::Commit, &write()) == Permit::Now {}

    let permit = budget.take(now, StorePriority::Commit, &read());

    assert_eq!(permit, Permit::Now);
}

#[test]
fn calls_are_refused_while_circuit_is_open() {
    let now = Instant::now();
    let mut budget = budget_with_open_circuit(now);

    let permit = budget.take(now, StorePriority::Commit, &write());

    assert_eq!(permit, Permit::Refused);
}

#[test]
fn one_probe_at_a_time_and_success_closes_circuit() {
    let now = Instant::now();
    let mut budget = budget_with_open_circuit(now);
    let later = now + SECOND * 5;

    let as_watch = budget.take(later, StorePriority::Config, &watch());
    let probe = budget.take(later, StorePriority::Lease, &write());
    let second = budget.take(later, StorePriority::Lease, &write());
    budget.call_ended(later, true);
    let after = budget.take(later, StorePriority::Commit, &write());

    assert_eq!(as_watch, Permit::Refused);
    assert_eq!((probe, second), (Permit::Now, Permit::Refused));
    assert_eq!(after, Permit::Now);
}

#[test]
fn probe_backoff_grows_and_differs_between_entries() {
    let probe_times = |seed: u64| {
        let mut now = Instant::now();
        let start = now;
        let mut budget = StoreBudget::new(now, seed);
        let mut probes = Vec::new();
        while probes.len() < 16 {
            match budget.take(now, StorePriority::Lease, &write()) {
                Permit::Now => {
                    budget.call_ended(now, false);
                    probes.push(now - start);
                }
                _ => now += Duration::from_millis(1),
            }
        }
        probes
    };

    let (one, other) = (probe_times(1), probe_times(2));

    let gap = |at: usize| one[at] - one[at - 1];
    assert!(gap(12) > gap(6));
    assert!(gap(15) <= SECOND * 5);
    assert_ne!(one, other);
}
