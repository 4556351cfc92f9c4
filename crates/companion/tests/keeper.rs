//! The tasks of a worker: what starts, what is kept, what is reported.

use base::prelude::*;
use companion::{KeeperCfg, TaskKeeper, TimedCall, call_in_time};
use ports::worker::{TaskReport, TaskStart, TaskState, WorkerCall};
use wire::timing::{GRANT_WINDOW, KEEP_FOR};
use wire::{Keep, Order, PollAnswer, PollReply, TaskEnd};

const SECOND: Duration = Duration::from_secs(1);

fn keeper() -> TaskKeeper {
    let mut keeper = TaskKeeper::new(KeeperCfg {
        capacity: Resources::new(8, 8_192, 0),
    });
    listed(&mut keeper, Instant::now(), &[]);
    keeper
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

fn listed(keeper: &mut TaskKeeper, now: Instant, reports: &[TaskReport]) {
    let number = keeper.list_issued();
    keeper.listed(now, number, reports);
}

fn answer(nonce: u64, epoch: u64, keep: Keep, orders: Vec<Order>) -> PollReply {
    PollReply {
        nonce: Nonce(nonce),
        answer: PollAnswer::Owner {
            epoch: Epoch(epoch),
            keep,
            keep_for: KEEP_FOR,
            orders,
        },
    }
}

/// Starts a task under an answer taken at `now`.
fn started(keeper: &mut TaskKeeper, now: Instant, job: &str) -> Vec<TimedCall> {
    keeper.issue(now, Nonce(0));
    keeper.answered(
        now,
        &answer(0, 1, Keep::All, vec![Order::Start(start(job))]),
    )
}

fn starts(calls: &[TimedCall]) -> usize {
    let is_start = |call: &&TimedCall| matches!(call.call, WorkerCall::Start(_));
    calls.iter().filter(is_start).count()
}

fn stops(calls: &[TimedCall]) -> usize {
    let is_stop = |call: &&TimedCall| matches!(call.call, WorkerCall::Stop { .. });
    calls.iter().filter(is_stop).count()
}

#[test]
fn adopted_task_is_not_prolonged_before_an_owner_keeps_it() {
    let now = Instant::now();
    let mut keeper = keeper();
    listed(&mut keeper, now, &[report("a", TaskState::Running)]);

    let before = keeper.renewals(now);
    keeper.issue(now, Nonce(1));
    keeper.answered(now, &answer(1, 1, Keep::All, Vec::new()));
    let after = keeper.renewals(now);

    assert_eq!(before, []);
    assert_eq!(
        after,
        [TimedCall {
            call: WorkerCall::Renew {
                keys: vec![key("a")],
                ttl: KEEP_FOR
            },
            until: Some(now + KEEP_FOR),
        }]
    );
}

#[test]
fn task_is_kept_from_the_issue_of_the_poll_and_stopped_after() {
    let now = Instant::now();
    let mut keeper = keeper();
    started(&mut keeper, now, "a");
    listed(&mut keeper, now, &[report("a", TaskState::Running)]);
    keeper.issue(now + SECOND, Nonce(1));

    keeper.answered(now + SECOND * 3, &answer(1, 1, Keep::All, Vec::new()));
    let last = keeper.renewals(now + SECOND + KEEP_FOR - Duration::from_millis(1));
    let over = keeper.renewals(now + SECOND + KEEP_FOR);

    assert_eq!(stops(&last), 0);
    assert_eq!(stops(&over), 1);
}

#[test]
fn answer_after_the_grant_window_is_void() {
    let now = Instant::now();
    let mut keeper = keeper();
    keeper.issue(now, Nonce(1));

    let calls = keeper.answered(
        now + GRANT_WINDOW,
        &answer(1, 1, Keep::All, vec![Order::Start(start("a"))]),
    );

    assert_eq!(calls, []);
}

#[test]
fn answer_of_a_lower_term_is_void() {
    let now = Instant::now();
    let mut keeper = keeper();
    keeper.issue(now, Nonce(1));
    keeper.answered(now, &answer(1, 5, Keep::All, Vec::new()));
    keeper.issue(now, Nonce(2));

    let calls = keeper.answered(
        now,
        &answer(2, 4, Keep::All, vec![Order::Start(start("a"))]),
    );

    assert_eq!(calls, []);
}

#[test]
fn answer_keeps_only_what_its_poll_named() {
    let now = Instant::now();
    let mut keeper = keeper();
    keeper.issue(now, Nonce(1));
    listed(&mut keeper, now, &[report("late", TaskState::Running)]);

    keeper.answered(now, &answer(1, 1, Keep::All, Vec::new()));

    assert_eq!(keeper.renewals(now), []);
}

#[test]
fn lost_start_is_made_again_on_a_repeated_order() {
    let now = Instant::now();
    let mut keeper = keeper();
    let first = started(&mut keeper, now, "a");
    listed(&mut keeper, now, &[]);

    let again = started(&mut keeper, now + SECOND, "a");

    assert_eq!((starts(&first), starts(&again)), (1, 1));
    assert_eq!(keeper.running(), []);
}

#[test]
fn seen_task_is_not_started_again() {
    let now = Instant::now();
    let mut keeper = keeper();
    started(&mut keeper, now, "a");
    listed(&mut keeper, now, &[report("a", TaskState::Running)]);

    let again = started(&mut keeper, now + SECOND, "a");

    assert_eq!(starts(&again), 0);
}

#[test]
fn lost_start_holds_its_room_while_it_could_arrive() {
    let now = Instant::now();
    let mut keeper = keeper();
    started(&mut keeper, now, "a");
    started(&mut keeper, now, "b");
    listed(&mut keeper, now, &[]);

    let early = started(&mut keeper, now, "c");
    listed(&mut keeper, now + KEEP_FOR, &[]);
    let late = started(&mut keeper, now + KEEP_FOR, "c");

    assert_eq!((starts(&early), starts(&late)), (0, 1));
}

#[test]
fn task_that_leaves_the_list_is_reported_lost() {
    let now = Instant::now();
    let mut keeper = keeper();
    started(&mut keeper, now, "a");
    listed(&mut keeper, now, &[report("a", TaskState::Running)]);

    listed(&mut keeper, now + SECOND, &[]);

    assert_eq!(keeper.ends(), [(key("a"), TaskEnd::Lost)]);
}

#[test]
fn list_asked_for_before_a_start_says_nothing_of_it() {
    let now = Instant::now();
    let mut keeper = keeper();
    let number = keeper.list_issued();
    started(&mut keeper, now, "a");
    listed(&mut keeper, now, &[report("a", TaskState::Running)]);

    keeper.listed(now, number, &[]);

    assert_eq!(keeper.ends(), []);
}

#[test]
fn order_decided_before_the_end_was_recorded_starts_nothing() {
    let now = Instant::now();
    let mut keeper = keeper();
    started(&mut keeper, now, "a");
    listed(&mut keeper, now, &[report("a", TaskState::Finished)]);
    keeper.issue(now, Nonce(1));
    keeper.acknowledged(now, &[key("a")]);

    let calls = keeper.answered(
        now,
        &answer(1, 1, Keep::All, vec![Order::Start(start("a"))]),
    );

    assert_eq!(calls, []);
}

#[test]
fn finish_before_the_eviction_order_counts_as_finished() {
    let now = Instant::now();
    let mut keeper = keeper();
    started(&mut keeper, now, "a");
    listed(&mut keeper, now, &[report("a", TaskState::Running)]);
    keeper.issue(now, Nonce(1));
    listed(&mut keeper, now, &[report("a", TaskState::Finished)]);

    keeper.answered(
        now,
        &answer(1, 1, Keep::All, vec![Order::Evict { key: key("a") }]),
    );

    assert_eq!(keeper.ends(), [(key("a"), TaskEnd::Finished)]);
}

#[test]
fn call_that_waited_past_its_ground_is_not_made() {
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
fn answer_to_another_poll_is_void() {
    let now = Instant::now();
    let mut keeper = keeper();
    keeper.issue(now, Nonce(1));
    keeper.abandon(Nonce(1));
    keeper.issue(now, Nonce(2));

    let calls = keeper.answered(
        now,
        &answer(1, 1, Keep::All, vec![Order::Start(start("a"))]),
    );

    assert_eq!(calls, []);
}
