//! A companion between an exact worker and two owners, with random faults.

mod calls;
mod checks;
mod owner;
mod worker;

use std::collections::BTreeMap;

use agent::{Action, AgentState, Event, Heartbeat, WorkerMessage};
use base::prelude::*;
use jobs::TaskRun;
use jobs::owner::OwnerRecord;
use jobs::report::SyncReport;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, o};

use owner::Owner;
use worker::{STOP_MS, Worker};

const PLAY_MS: u64 = 40_000;

#[derive(Debug)]
enum Step {
    /// The companion's thread sends a call of the process with this number.
    Send(u64, Action),
    /// The worker carries out a call; its reply is sent unless it is lost.
    Execute(u64, Action, bool),
    /// The owner receives a report.
    Report(u64, usize, u64, Box<SyncReport>),
    /// The process with this number handles an event.
    Deliver(u64, Box<Event>),
    /// It learns of an owner.
    SeeOwner(u64, usize),
    Wake,
    Heartbeat,
    /// One soon after a restart.
    FirstHeartbeat,
    Suspend,
    Restart,
    TakeOver,
    RaiseFence,
    CompleteRuns,
    LeaveOutRows,
}

pub struct Play {
    rng: ChaCha8Rng,
    at: u64,
    start: Instant,
    /// Time that the companion's clock has not counted.
    uncounted: u64,
    suspended_until: u64,
    steps: BTreeMap<(u64, u64), Step>,
    steps_added: u64,
    state: AgentState,
    boot: u64,
    heartbeats: u64,
    pub worker: Worker,
    owners: [Owner; 2],
    /// The owners that exist.
    elected: usize,
    followed: Option<usize>,
    /// The owner of each report with a worker, and the highest fencing token in their replies.
    reports: IndexMap<u64, usize>,
    fence: u64,
    /// The fencing token under which each run was ordered.
    ordered: IndexMap<TaskRun, u64>,
    /// How many of a thousand calls fail in each way.
    faults: u32,
    pub rejected: IndexSet<TaskRun>,
    /// How many reports had a settled status.
    pub settled: u64,
    pub trace: Vec<String>,
}

impl Play {
    /// Prepares the play of a seed.
    pub fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rate = rng.random_range(980..=1000);
        let faults = rng.random_range(0..60);
        let mut play = Self {
            rng,
            at: 0,
            start: Instant::now(),
            uncounted: 0,
            suspended_until: 0,
            steps: BTreeMap::new(),
            steps_added: 0,
            state: new_state(1),
            boot: 1,
            heartbeats: 0,
            worker: Worker::new(rate),
            owners: [Owner::new(1), Owner::new(2)],
            elected: 1,
            followed: None,
            reports: IndexMap::new(),
            fence: 0,
            ordered: IndexMap::new(),
            faults,
            rejected: IndexSet::new(),
            settled: 0,
            trace: Vec::new(),
        };
        play.add(0, Step::SeeOwner(1, 0));
        play.add(1, Step::Heartbeat);
        play.add(2, Step::Wake);
        let take_over = play.rng.random_range(5_000..35_000);
        play.add(take_over, Step::TakeOver);
        play.add(400, Step::CompleteRuns);
        for _ in 0..play.rng.random_range(0..8) {
            let at = play.rng.random_range(2_000..PLAY_MS);
            play.add(at, Step::Restart);
        }
        for _ in 0..play.rng.random_range(0..3) {
            let at = play.rng.random_range(2_000..PLAY_MS);
            play.add(at, Step::LeaveOutRows);
        }
        for _ in 0..play.rng.random_range(0..5) {
            let at = play.rng.random_range(2_000..PLAY_MS);
            play.add(at, Step::Suspend);
        }
        for _ in 0..play.rng.random_range(0..12) {
            let at = play.rng.random_range(2_000..PLAY_MS);
            play.add(at, Step::RaiseFence);
        }
        play
    }

    fn add(&mut self, after: u64, step: Step) {
        self.steps_added += 1;
        self.steps.insert((self.at + after, self.steps_added), step);
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.at - self.uncounted)
    }

    pub fn play(&mut self) {
        while let Some(((at, _), step)) = self.steps.pop_first()
            && at < PLAY_MS
        {
            self.at = at;
            self.worker.advance(at);
            self.take(step);
        }
    }

    fn take(&mut self, step: Step) {
        let is_companions = matches!(
            step,
            Step::Send(..)
                | Step::Deliver(..)
                | Step::SeeOwner(..)
                | Step::Wake
                | Step::Heartbeat
                | Step::FirstHeartbeat
        );
        if is_companions && self.at < self.suspended_until {
            let after = self.suspended_until - self.at + self.rng.random_range(0..60);
            self.add(after, step);
            return;
        }
        match step {
            Step::Send(boot, action) if boot == self.boot => self.send(action),
            Step::Deliver(boot, event) if boot == self.boot => self.deliver(*event),
            Step::SeeOwner(boot, index) if boot == self.boot => self.see_owner(index),
            Step::Send(..) | Step::Deliver(..) | Step::SeeOwner(..) => {}
            Step::Execute(boot, action, is_answered) => self.execute(boot, action, is_answered),
            Step::Report(boot, index, number, report) => {
                let reply = self.owners[index].reply(self.at, &report, &mut self.rng);
                self.note(|| format!("owner {} to report {number}: {reply:?}", index + 1));
                let after = self.rng.random_range(1..600);
                let event = Event::Synced(number, Ok(reply));
                self.add(after, Step::Deliver(boot, Box::new(event)));
            }
            Step::Wake => {
                self.run();
                self.add(20, Step::Wake);
            }
            Step::FirstHeartbeat => self.heartbeat(),
            Step::Heartbeat => {
                self.heartbeat();
                self.add(1000, Step::Heartbeat);
            }
            Step::Suspend if self.at < self.suspended_until => {}
            Step::Suspend => {
                let ms = self.rng.random_range(1_000..10_000);
                self.suspended_until = self.at + ms;
                if self.rng.random_ratio(1, 2) {
                    self.uncounted += ms;
                }
                self.note(|| format!("companion suspended for {ms} ms"));
            }
            Step::Restart => self.restart(),
            Step::TakeOver => {
                self.note(|| "owner 2 is elected".into());
                self.elected = 2;
                let after = self.rng.random_range(0..3_000);
                self.add(after, Step::SeeOwner(self.boot, 1));
            }
            Step::RaiseFence => {
                let index = self.rng.random_range(0..2);
                self.owners[index].raise_fence();
            }
            Step::LeaveOutRows => self.worker.partial_until = self.at + 3_000,
            Step::CompleteRuns => {
                self.worker.complete_some(self.at, &mut self.rng);
                self.add(400, Step::CompleteRuns);
            }
        }
    }

    fn restart(&mut self) {
        self.note(|| "companion restarts".into());
        if self.rng.random_ratio(1, 2) {
            self.worker.stop_all(self.at, &mut self.rng);
        }
        self.boot += 1;
        self.state = new_state(self.boot);
        self.followed = None;
        self.reports.clear();
        self.fence = 0;
        // The store may still show the earlier owner.
        let first = if self.rng.random_ratio(1, 2) {
            0
        } else {
            self.elected - 1
        };
        let later = self.rng.random_range(500..4_000);
        self.add(1, Step::SeeOwner(self.boot, first));
        self.add(2, Step::FirstHeartbeat);
        if self.elected == 2 {
            self.add(later, Step::SeeOwner(self.boot, 1));
        }
    }

    fn see_owner(&mut self, index: usize) {
        let epoch = self.owners[index].epoch;
        if self.followed.is_none_or(|known| known < index) {
            self.followed = Some(index);
            self.reports.clear();
        }
        self.state.owner_seen(&OwnerRecord {
            name: "entry".into(),
            addr: "127.0.0.1:1".parse().expect("an address"),
            epoch: Epoch(epoch),
            nonce: Nonce(epoch),
        });
        self.run();
    }

    fn heartbeat(&mut self) {
        self.heartbeats += 1;
        let heartbeat = Heartbeat {
            id: "worker".into(),
            incarnation: Incarnation(1),
            number: self.heartbeats,
            pool: "desk".into(),
            zone: "north".into(),
            labels: Vec::new(),
            capacity: Resources::new(16, 1000, 0),
            draining: None,
            clock_ms: Some(self.worker.clock_ms(self.at)),
        };
        let message = WorkerMessage::Heartbeat(heartbeat);
        self.deliver(Event::Worker(message));
    }

    fn deliver(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Worker(message) => self.state.worker_message(now, message),
            Event::Identified(done) => self.state.identified(now, done),
            Event::LongPolled(done) => self.state.long_polled(now, done),
            Event::Started(life, run, reply) => {
                self.note(|| format!("start of {run} answered: {reply:?}"));
                self.state.started(now, life, &run, reply);
            }
            Event::Stopped(life, run, reply) => {
                self.note(|| format!("stop of {run} answered: {reply:?}"));
                self.state.stopped(now, life, &run, reply);
            }
            Event::Throttled => self.state.throttled(),
            Event::Synced(number, reply) => {
                if let Ok(reply) = &reply
                    && reply.is_owner
                    && self.reports.contains_key(&number)
                {
                    self.fence = self.fence.max(reply.fence);
                    for order in &reply.starts {
                        self.ordered.insert(order.run.clone(), reply.fence);
                    }
                }
                self.state.synced(now, number, reply);
            }
            Event::OwnerKey(_) => {}
        }
        self.run();
    }

    fn run(&mut self) {
        for action in self.state.run(self.now()) {
            if let Action::Start(_, call) = &action {
                assert!(
                    call.fence >= self.fence,
                    "{call:?} under a token below {}",
                    self.fence
                );
                let ordered = self.ordered.get(&call.run);
                assert_eq!(ordered, Some(&call.fence), "{call:?} is sent again");
            }
            if let Action::Sync(number, report) = &action {
                self.check_report(*number, report);
            }
            let after = self.rng.random_range(0..3);
            self.add(after, Step::Send(self.boot, action));
        }
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        self.trace.push(format!("{:6} {}", self.at, line()));
    }
}

fn new_state(boot: u64) -> AgentState {
    let log = Logger::root(slog::Discard, o!());
    AgentState::new("vm".into(), boot, Duration::from_millis(STOP_MS), log)
}
