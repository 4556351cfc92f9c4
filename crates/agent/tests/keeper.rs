//! What a companion asks of its worker and tells the owner.

use agent::{Act, Heartbeat, HoldCall, HoldReply, Keeper, StartReply, WorkerSays};
use agent::{HoldDone, StartCall};
use base::prelude::*;
use jobs::owner::OwnerRecord;
use jobs::report::{
    EndKind, EndRow, RejectKind, RunningRow, StartOrder, SyncReply, SyncReport, WorkerReport,
};
use jobs::{TaskId, TaskRun};
use slog::{Logger, o};

const STOP_TIME: Duration = Duration::from_millis(200);
const LEASE_MS: u64 = 4000;

/// A companion whose calls are answered by hand.
struct Rig {
    now: Instant,
    keeper: Keeper,
    acts: Vec<Act>,
    clock_ms: u64,
}

impl Rig {
    /// Creates a companion that knows its worker and the owner.
    fn new() -> Self {
        let now = Instant::now();
        let log = Logger::root(slog::Discard, o!());
        let mut rig = Self {
            now,
            keeper: Keeper::new("vm".into(), 1, STOP_TIME, log),
            acts: Vec::new(),
            clock_ms: 10_000,
        };
        rig.keeper.owner_seen(&OwnerRecord {
            name: "entry".into(),
            addr: "127.0.0.1:1".parse().expect("an address"),
            epoch: Epoch(1),
            nonce: Nonce(1),
        });
        rig.beat(1, 1);
        rig.run();
        rig
    }

    /// Creates a companion that the owner has told its fence and a lease.
    fn fenced() -> Self {
        let mut rig = Self::new();
        rig.answer_sync(|reply| reply.fence = 7);
        rig.run();
        rig
    }

    fn beat(&mut self, born: u64, number: u64) {
        let beat = Heartbeat {
            id: "worker".into(),
            born: Incarnation(born),
            number,
            pool: "desk".into(),
            zone: "north".into(),
            labels: Vec::new(),
            capacity: Resources::new(16, 1000, 0),
            draining: None,
            clock_ms: Some(self.clock_ms),
        };
        self.keeper
            .worker_says(self.now, WorkerSays::Heartbeat(beat));
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.clock_ms += ms;
    }

    fn run(&mut self) {
        let acts = self.keeper.run(self.now);
        self.acts.extend(acts);
    }

    fn last_sync(&self) -> (u64, SyncReport) {
        let syncs = self.acts.iter().rev().filter_map(|act| match act {
            Act::Sync(number, report) => Some((*number, (**report).clone())),
            _ => None,
        });
        syncs.into_iter().next().expect("a report was sent")
    }

    fn last_report(&self) -> WorkerReport {
        self.last_sync().1.worker.expect("the worker is known")
    }

    fn answer_sync(&mut self, change: impl FnOnce(&mut SyncReply)) {
        let mut reply = SyncReply {
            epoch: Epoch(1),
            is_owner: true,
            fence: 7,
            born: Incarnation(1),
            lease_ms: Some(LEASE_MS),
            ..SyncReply::default()
        };
        change(&mut reply);
        let (number, _) = self.last_sync();
        self.keeper.synced(self.now, number, Ok(reply));
        self.run();
    }

    fn order(&mut self, run: &TaskRun) {
        let order = StartOrder {
            run: run.clone(),
            payload: "payload".into(),
            checkpoint: None,
            ticket: None,
        };
        self.answer_sync(|reply| reply.starts = vec![order]);
    }

    fn starts(&self) -> Vec<StartCall> {
        let starts = self.acts.iter().filter_map(|act| match act {
            Act::Start(_, call) => Some(call.clone()),
            _ => None,
        });
        starts.collect()
    }

    fn holds(&self) -> Vec<HoldCall> {
        let holds = self.acts.iter().filter_map(|act| match act {
            Act::Hold(_, call) => Some(call.clone()),
            _ => None,
        });
        holds.collect()
    }

    /// Lets the worker list what it has.
    fn list(&mut self, running: &[TaskRun], ends: &[EndRow]) {
        let row = |run: &TaskRun| RunningRow {
            run: run.clone(),
            checkpoint: None,
            percent: 0.0,
            gauge: 0.0,
        };
        self.keeper.held(
            self.now,
            HoldDone {
                born: Incarnation(1),
                fence: 7,
                is_waiting: true,
                reply: Ok(HoldReply {
                    clock_ms: self.clock_ms,
                    born: Some(Incarnation(1)),
                    running: running.iter().map(row).collect(),
                    ends: ends.to_vec(),
                }),
            },
        );
        self.run();
    }

    fn fail_hold(&mut self, kind: ErrorKind) {
        let e = Error::new(kind, "hold", "worker", "no answer");
        self.keeper.held(
            self.now,
            HoldDone {
                born: Incarnation(1),
                fence: 7,
                is_waiting: true,
                reply: Err(e),
            },
        );
        self.run();
    }

    fn started(&mut self, run: &TaskRun, reply: Result<StartReply>) {
        self.keeper.started(self.now, Incarnation(1), run, reply);
        self.run();
    }

    fn stopped(&mut self, run: &TaskRun) {
        self.keeper
            .stopped(self.now, Incarnation(1), run, Ok(Some(self.clock_ms)));
        self.run();
    }

    /// Waits until the held report is answered without orders, and returns the next one.
    fn next_report(&mut self) -> WorkerReport {
        self.answer_sync(|_| ());
        self.last_report()
    }
}

fn run_of(index: u32) -> TaskRun {
    TaskRun {
        task: TaskId {
            job: "0123456789abcdef".into(),
            occurrence: 0,
            stage: 0,
            index,
        },
        attempt: Attempt(1),
    }
}

fn lost() -> Error {
    Error::new(ErrorKind::Timeout, "start", "worker", "no answer")
}

#[test]
fn a_lease_counts_from_when_its_report_was_sent() {
    let mut rig = Rig::new();
    let sent_clock = rig.clock_ms;
    rig.advance(2000);

    rig.answer_sync(|_| ());

    let deadlines: Vec<u64> = rig.holds().iter().filter_map(|h| h.deadline_ms).collect();
    assert!(!deadlines.is_empty());
    assert!(deadlines.iter().all(|d| *d <= sent_clock + LEASE_MS));
}

#[test]
fn nothing_is_started_before_a_lease_is_known() {
    let mut rig = Rig::new();
    let order = StartOrder {
        run: run_of(0),
        payload: "payload".into(),
        checkpoint: None,
        ticket: None,
    };

    rig.answer_sync(|reply| {
        reply.lease_ms = None;
        reply.starts = vec![order];
    });

    assert!(rig.starts().is_empty());
}

#[test]
fn a_start_without_an_answer_is_made_again_and_never_given_up() {
    let mut rig = Rig::fenced();
    rig.order(&run_of(0));

    rig.started(&run_of(0), Err(lost()));
    rig.advance(100);
    rig.run();

    assert_eq!(rig.starts().len(), 2);
    let report = rig.next_report();
    assert_eq!(report.open, [run_of(0)]);
    assert!(report.rejected.is_empty());
}

#[test]
fn a_start_that_was_carried_out_unanswered_is_found_by_the_list() {
    let mut rig = Rig::fenced();
    rig.order(&run_of(0));
    rig.started(&run_of(0), Err(lost()));
    rig.advance(100);
    rig.run();
    let old = StartReply::Rejected {
        why: RejectKind::Old,
        clock_ms: Some(rig.clock_ms),
    };

    rig.started(&run_of(0), Ok(old));
    rig.advance(50);
    let end = EndRow {
        number: 1,
        run: run_of(0),
        how: EndKind::Failed,
        checkpoint: None,
    };
    rig.list(&[], &[end]);

    let report = rig.next_report();
    assert!(
        report.rejected.is_empty(),
        "the end tells what became of it"
    );
    assert!(report.open.is_empty());
}

#[test]
fn a_started_run_that_is_not_listed_yet_is_not_taken_for_lost() {
    let mut rig = Rig::fenced();
    rig.order(&run_of(0));
    let clock_ms = rig.clock_ms;
    rig.started(&run_of(0), Ok(StartReply::Started { clock_ms }));

    rig.advance(20);
    rig.list(&[], &[]);

    let report = rig.next_report();
    assert_eq!(report.open, [run_of(0)]);
    assert!(report.rejected.is_empty());
}

#[test]
fn a_run_that_is_being_stopped_is_free_only_after_the_time_of_a_stop() {
    let mut rig = Rig::fenced();
    rig.order(&run_of(0));
    rig.started(&run_of(0), Err(lost()));
    rig.answer_sync(|reply| reply.stops = vec![run_of(0)]);
    rig.stopped(&run_of(0));

    rig.advance(50);
    rig.list(&[], &[]);
    assert!(
        rig.next_report().rejected.is_empty(),
        "it may still be stopping"
    );

    rig.advance(300);
    rig.list(&[], &[]);
    let rejected = rig.next_report().rejected;
    assert_eq!(rejected.len(), 1);
    assert_eq!(rejected[0].why, RejectKind::Stopped);
}

#[test]
fn a_rejected_start_is_not_made_again_when_its_order_comes_twice() {
    let mut rig = Rig::fenced();
    rig.order(&run_of(0));
    let room = StartReply::Rejected {
        why: RejectKind::Room,
        clock_ms: None,
    };
    rig.started(&run_of(0), Ok(room));
    rig.answer_sync(|reply| reply.noted_rejects = vec![run_of(0)]);

    rig.order(&run_of(0));

    assert_eq!(rig.starts().len(), 1);
}

#[test]
fn a_heartbeat_of_an_older_life_is_no_news() {
    let mut rig = Rig::fenced();
    rig.beat(5, 1);
    rig.run();

    rig.beat(1, 99);
    rig.run();

    assert_eq!(rig.last_report().born, Incarnation(5));
}

#[test]
fn a_new_life_under_the_same_id_begins_without_fence_and_starts() {
    let mut rig = Rig::fenced();
    rig.order(&run_of(0));

    rig.beat(2, 1);
    rig.run();

    let report = rig.last_report();
    assert_eq!(report.born, Incarnation(2));
    assert!(report.listing.is_none());
    assert!(report.open.is_empty());
}

#[test]
fn orders_for_another_life_are_not_carried_out() {
    let mut rig = Rig::fenced();
    rig.beat(2, 1);
    rig.run();

    rig.order(&run_of(0));

    assert!(rig.starts().is_empty());
}

#[test]
fn a_silent_worker_gets_no_longer_lease() {
    let mut rig = Rig::fenced();
    rig.advance(1500);
    rig.fail_hold(ErrorKind::Timeout);
    let before = rig.holds().last().and_then(|h| h.deadline_ms);
    let report = rig.next_report();
    assert!(report.is_silent);

    rig.answer_sync(|_| ());
    rig.advance(200);
    rig.run();

    assert_eq!(rig.holds().last().and_then(|h| h.deadline_ms), before);
}

#[test]
fn a_worker_whose_port_is_closed_is_reported_as_gone() {
    let mut rig = Rig::fenced();
    for _ in 0..4 {
        rig.fail_hold(ErrorKind::NotListening);
        rig.advance(100);
        rig.run();
    }

    let report = rig.next_report();

    assert!(report.is_gone);
}

#[test]
fn an_answer_of_an_earlier_epoch_is_ignored() {
    let mut rig = Rig::fenced();
    rig.answer_sync(|reply| reply.epoch = Epoch(3));

    let order = StartOrder {
        run: run_of(0),
        payload: "payload".into(),
        checkpoint: None,
        ticket: None,
    };
    rig.answer_sync(|reply| {
        reply.epoch = Epoch(2);
        reply.starts = vec![order];
    });

    assert!(rig.starts().is_empty());
}

#[test]
fn of_two_lists_of_one_millisecond_the_second_is_not_taken_for_later() {
    let mut rig = Rig::fenced();
    rig.order(&run_of(0));
    rig.advance(20);
    rig.list(&[run_of(0)], &[]);
    rig.answer_sync(|_| ());
    let news = EndRow {
        number: 1,
        run: run_of(5),
        how: EndKind::Done,
        checkpoint: None,
    };

    rig.list(&[], &[news]);

    let listing = rig.last_report().listing.expect("a list");
    assert_eq!(listing.running.len(), 1);
}

#[test]
fn a_start_ordered_under_an_earlier_fence_is_not_made_again() {
    let mut rig = Rig::fenced();
    rig.order(&run_of(0));
    rig.started(&run_of(0), Err(lost()));

    // Another owner took over, or this one gave the worker's tasks to others meanwhile.
    rig.answer_sync(|reply| reply.fence = 9);
    rig.advance(100);
    rig.run();

    assert_eq!(rig.starts().len(), 1, "only the one before the fence rose");
    assert!(rig.next_report().open.is_empty());
}

#[test]
fn a_start_that_is_on_its_way_when_the_fence_rises_is_not_made_again() {
    let mut rig = Rig::fenced();
    rig.order(&run_of(0));

    rig.answer_sync(|reply| reply.fence = 9);
    rig.started(&run_of(0), Err(lost()));
    rig.advance(100);
    rig.run();

    assert_eq!(rig.starts().len(), 1);
}

#[test]
fn a_list_without_a_run_that_was_started_is_not_settled() {
    let mut rig = Rig::fenced();
    rig.advance(1000);
    rig.order(&run_of(0));
    let clock_ms = rig.clock_ms;
    rig.started(&run_of(0), Ok(StartReply::Started { clock_ms }));

    rig.advance(20);
    rig.list(&[], &[]);
    let before = rig.next_report().listing.expect("a list");
    rig.advance(20);
    rig.list(&[run_of(0)], &[]);
    let after = rig.next_report().listing.expect("a list");

    assert!(
        !before.is_settled,
        "a new owner would take the task as free"
    );
    assert!(after.is_settled);
}
