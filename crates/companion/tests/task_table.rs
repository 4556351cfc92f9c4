//! Starts, leases and reports of a worker's tasks.

use base::prelude::*;
use companion::{TaskTable, TaskTableCfg, TimedCall, call_in_time};
use ports::worker::{TaskReport, TaskStart, TaskState, WorkerCall};
use wire::timing::{GRANT_WINDOW, TASK_LEASE};
use wire::{Order, PollOutcome, PollReply, Renewal, TaskEnd};

const SECOND: Duration = Duration::from_secs(1);

fn table() -> TaskTable {
    let mut table = TaskTable::new(TaskTableCfg {
        capacity: Resources::new(8, 8_192, 0),
    });
    listed(&mut table, Instant::now(), &[]);
    table
}

fn key(job: &str) -> TaskKey {
    TaskKey {
        job: job.into(),
        attempt: Attempt(1),
    }
}

fn start(job: &str) -> TaskStart {
    TaskStart {
        key: key(job),
        class: "proof".into(),
        granted: Resources::new(4, 1_024, 0),
        work: Some(SECOND),
        checkpoint: None,
        payload: "".into(),
        ttl: None,
    }
}

fn report(job: &str, state: TaskState) -> TaskReport {
    TaskReport {
        key: key(job),
        class: "proof".into(),
        granted: Resources::new(4, 1_024, 0),
        state,
        throttle: 1.0,
    }
}

fn listed(table: &mut TaskTable, now: Instant, reports: &[TaskReport]) {
    let number = table.list_issued();
    table.listed(now, number, reports);
}

fn reply(nonce: u64, epoch: u64, keep: Renewal, orders: Vec<Order>) -> PollReply {
    PollReply {
        nonce: Nonce(nonce),
        answer: PollOutcome::Owner {
            epoch: Epoch(epoch),
            keep,
            keep_for: TASK_LEASE,
            orders,
        },
    }
}

/// Orders the start of a task in a response that arrives at `now`.
fn started(table: &mut TaskTable, now: Instant, job: &str) -> Vec<TimedCall> {
    table.issue(now, Nonce(0));
    table.answered(
        now,
        &reply(0, 1, Renewal::All, vec![Order::Start(start(job))]),
    )
}

fn count_starts(calls: &[TimedCall]) -> usize {
    let is_start = |call: &&TimedCall| matches!(call.call, WorkerCall::Start(_));
    calls.iter().filter(is_start).count()
}

fn count_stops(calls: &[TimedCall]) -> usize {
    let is_stop = |call: &&TimedCall| matches!(call.call, WorkerCall::Stop { .. });
    calls.iter().filter(is_stop).count()
}

#[test]
fn adopted_task_is_not_renewed_before_an_owner_extends_its_lease() {
    let now = Instant::now();
    let mut table = table();
    listed(&mut table, now, &[report("a", TaskState::Running)]);

    let before = table.renewals(now);
    table.issue(now, Nonce(1));
    table.answered(now, &reply(1, 1, Renewal::All, Vec::new()));
    let after = table.renewals(now);

    assert_eq!(before, []);
    assert_eq!(
        after,
        [TimedCall {
            call: WorkerCall::Renew {
                keys: vec![key("a")],
                ttl: TASK_LEASE
            },
            until: Some(now + TASK_LEASE),
        }]
    );
}

#[test]
fn lease_counts_from_the_issue_of_the_poll_and_then_the_task_is_stopped() {
    let now = Instant::now();
    let mut table = table();
    started(&mut table, now, "a");
    listed(&mut table, now, &[report("a", TaskState::Running)]);
    table.issue(now + SECOND, Nonce(1));

    table.answered(now + SECOND * 3, &reply(1, 1, Renewal::All, Vec::new()));
    let last = table.renewals(now + SECOND + TASK_LEASE - Duration::from_millis(1));
    let over = table.renewals(now + SECOND + TASK_LEASE);

    assert_eq!(count_stops(&last), 0);
    assert_eq!(count_stops(&over), 1);
}

#[test]
fn response_after_the_grant_window_is_ignored() {
    let now = Instant::now();
    let mut table = table();
    table.issue(now, Nonce(1));

    let calls = table.answered(
        now + GRANT_WINDOW,
        &reply(1, 1, Renewal::All, vec![Order::Start(start("a"))]),
    );

    assert_eq!(calls, []);
}

#[test]
fn response_of_a_lower_epoch_is_ignored() {
    let now = Instant::now();
    let mut table = table();
    table.issue(now, Nonce(1));
    table.answered(now, &reply(1, 5, Renewal::All, Vec::new()));
    table.issue(now, Nonce(2));

    let calls = table.answered(
        now,
        &reply(2, 4, Renewal::All, vec![Order::Start(start("a"))]),
    );

    assert_eq!(calls, []);
}

#[test]
fn response_extends_only_leases_of_tasks_that_its_poll_named() {
    let now = Instant::now();
    let mut table = table();
    table.issue(now, Nonce(1));
    listed(&mut table, now, &[report("late", TaskState::Running)]);

    table.answered(now, &reply(1, 1, Renewal::All, Vec::new()));

    assert_eq!(table.renewals(now), []);
}

#[test]
fn lost_start_is_repeated_when_the_order_is_redelivered() {
    let now = Instant::now();
    let mut table = table();
    let first = started(&mut table, now, "a");
    listed(&mut table, now, &[]);

    let again = started(&mut table, now + SECOND, "a");

    assert_eq!((count_starts(&first), count_starts(&again)), (1, 1));
    assert_eq!(table.running(), []);
}

#[test]
fn listed_task_is_not_started_again() {
    let now = Instant::now();
    let mut table = table();
    started(&mut table, now, "a");
    listed(&mut table, now, &[report("a", TaskState::Running)]);

    let again = started(&mut table, now + SECOND, "a");

    assert_eq!(count_starts(&again), 0);
}

#[test]
fn lost_start_reserves_capacity_while_it_could_arrive() {
    let now = Instant::now();
    let mut table = table();
    started(&mut table, now, "a");
    started(&mut table, now, "b");
    listed(&mut table, now, &[]);

    let early = started(&mut table, now, "c");
    listed(&mut table, now + TASK_LEASE, &[]);
    let late = started(&mut table, now + TASK_LEASE, "c");

    assert_eq!((count_starts(&early), count_starts(&late)), (0, 1));
}

#[test]
fn task_that_leaves_the_list_is_reported_lost() {
    let now = Instant::now();
    let mut table = table();
    started(&mut table, now, "a");
    listed(&mut table, now, &[report("a", TaskState::Running)]);

    listed(&mut table, now + SECOND, &[]);

    assert_eq!(table.ends(), [(key("a"), TaskEnd::Lost)]);
}

#[test]
fn list_requested_before_a_start_does_not_end_the_task() {
    let now = Instant::now();
    let mut table = table();
    let number = table.list_issued();
    started(&mut table, now, "a");
    listed(&mut table, now, &[report("a", TaskState::Running)]);

    table.listed(now, number, &[]);

    assert_eq!(table.ends(), []);
}

#[test]
fn order_decided_before_the_end_was_recorded_starts_nothing() {
    let now = Instant::now();
    let mut table = table();
    started(&mut table, now, "a");
    listed(&mut table, now, &[report("a", TaskState::Finished)]);
    table.issue(now, Nonce(1));
    table.acknowledged(now, &[key("a")]);

    let calls = table.answered(
        now,
        &reply(1, 1, Renewal::All, vec![Order::Start(start("a"))]),
    );

    assert_eq!(calls, []);
}

#[test]
fn finish_before_the_eviction_order_counts_as_finished() {
    let now = Instant::now();
    let mut table = table();
    started(&mut table, now, "a");
    listed(&mut table, now, &[report("a", TaskState::Running)]);
    table.issue(now, Nonce(1));
    listed(&mut table, now, &[report("a", TaskState::Finished)]);

    table.answered(
        now,
        &reply(1, 1, Renewal::All, vec![Order::Evict { key: key("a") }]),
    );

    assert_eq!(table.ends(), [(key("a"), TaskEnd::Finished)]);
}

#[test]
fn call_past_its_deadline_is_not_made() {
    let now = Instant::now();
    let until = now + SECOND;
    let renew = WorkerCall::Renew {
        keys: vec![key("a")],
        ttl: SECOND,
    };

    let late = call_in_time(renew.clone(), Some(until), until);
    let waited = call_in_time(renew, Some(until), now + SECOND / 4);
    let start = call_in_time(WorkerCall::Start(start("a")), Some(until), now + SECOND / 2);

    assert_eq!(late.map_err(|e| e.kind()), Err(ErrorKind::Refused));
    assert!(matches!(waited, Ok(WorkerCall::Renew { ttl, .. }) if ttl == SECOND * 3 / 4));
    assert!(matches!(start, Ok(WorkerCall::Start(s)) if s.ttl == Some(SECOND / 2)));
}

#[test]
fn response_to_an_abandoned_poll_is_ignored() {
    let now = Instant::now();
    let mut table = table();
    table.issue(now, Nonce(1));
    table.abandon(Nonce(1));
    table.issue(now, Nonce(2));

    let calls = table.answered(
        now,
        &reply(1, 1, Renewal::All, vec![Order::Start(start("a"))]),
    );

    assert_eq!(calls, []);
}
