//! Random calls to the placer, checked against a model that adds up the granted resources.

use std::time::{Duration, Instant};

use base::{Attempt, JobId, Resources, TaskKey, WorkerId};
use indexmap::IndexMap;
use place::{Decision, Ended, PlacedTask, PlacementRequest, Placer, PlacerCfg, WorkerView};
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use tables::Priority;

const WORKERS: usize = 4;
const CAPACITY: Resources = Resources::new(8, 8_000, 1);

/// One call; an index wraps around the number of existing items.
#[derive(Clone, Debug)]
enum Call {
    Queue {
        cores: u64,
        memory: u64,
        accelerators: u32,
        urgent: bool,
    },
    Remove {
        job: usize,
    },
    Decide {
        limit: usize,
    },
    Commit {
        nth: usize,
    },
    Drop {
        nth: usize,
    },
    End {
        nth: usize,
        how: Ended,
    },
    Seen {
        worker: usize,
        leaving: bool,
    },
    Gone {
        worker: usize,
    },
    Wait {
        secs: u64,
    },
}

/// The reference state: how many jobs were queued. Every call is valid in every state.
#[derive(Clone, Debug)]
struct Calls {
    queued: usize,
}

impl ReferenceStateMachine for Calls {
    type State = Self;
    type Transition = Call;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { queued: 0 }).boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Call> {
        let how = prop_oneof![
            Just(Ended::Finished),
            Just(Ended::Failed),
            Just(Ended::Evicted),
            Just(Ended::Lost),
            Just(Ended::Cancelled),
        ];
        prop_oneof![
            4 => (1..10_u64, 100..9_000_u64, 0..2_u32, any::<bool>()).prop_map(
                |(cores, memory, accelerators, urgent)| Call::Queue {
                    cores,
                    memory,
                    accelerators,
                    urgent,
                }
            ),
            1 => (0..64_usize).prop_map(|job| Call::Remove { job }),
            4 => (1..8_usize).prop_map(|limit| Call::Decide { limit }),
            4 => (0..8_usize).prop_map(|nth| Call::Commit { nth }),
            1 => (0..8_usize).prop_map(|nth| Call::Drop { nth }),
            3 => (0..8_usize, how).prop_map(|(nth, how)| Call::End { nth, how }),
            1 => (0..WORKERS, any::<bool>()).prop_map(|(worker, leaving)| Call::Seen {
                worker,
                leaving,
            }),
            1 => (0..WORKERS).prop_map(|worker| Call::Gone { worker }),
            2 => (0..90_u64).prop_map(|secs| Call::Wait { secs }),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Call) -> Self {
        if matches!(transition, Call::Queue { .. }) {
            state.queued += 1;
        }
        state
    }
}

/// A placer and the model of its allocations.
struct Subject {
    now: Instant,
    placer: Placer,
    requests: IndexMap<JobId, PlacementRequest>,
    waiting: IndexMap<JobId, PlacementRequest>,
    pending: IndexMap<JobId, (WorkerId, Resources)>,
    running: IndexMap<TaskKey, PlacedTask>,
    accepts_tasks: [bool; WORKERS],
    attempts: u64,
}

impl Subject {
    fn held(&self, worker: &WorkerId) -> Resources {
        let pending = self.pending.values().filter(|(on, _)| on == worker);
        let running = self.running.values().filter(|task| task.worker == *worker);
        pending
            .map(|(_, granted)| *granted)
            .chain(running.map(|task| task.granted))
            .fold(Resources::ZERO, |sum, granted| sum + granted)
    }

    fn decide(&mut self, limit: usize) {
        let decisions = self.placer.decide(self.now, limit);
        assert!(decisions.len() <= limit);
        for decision in decisions {
            let Decision::Place {
                job,
                worker,
                granted,
            } = decision
            else {
                continue;
            };
            let request = self.waiting.swap_remove(&job).expect("the job waited");
            assert!(
                request.resources.fits(&granted),
                "granted below the declared"
            );
            let n: usize = worker.as_str()[1..].parse().expect("a number");
            assert!(self.accepts_tasks[n], "{worker} is silent or leaving");
            self.pending.insert(job, (worker.clone(), granted));
            let held = self.held(&worker);
            assert!(held.fits(&CAPACITY), "{worker} was given {held}");
        }
    }

    fn commit(&mut self, nth: usize) {
        let Some((job, (worker, granted))) = take_nth(&mut self.pending, nth) else {
            return;
        };
        self.attempts += 1;
        let request = &self.requests[&job];
        let task = PlacedTask {
            key: TaskKey {
                job,
                attempt: Attempt(self.attempts),
            },
            worker,
            class: request.class.clone(),
            team: request.team.clone(),
            priority: request.priority,
            granted,
            run_time: request.run_time,
            work_done: request.work_done,
        };
        self.placer.task_placed(self.now, task.clone());
        self.running.insert(task.key.clone(), task);
    }

    fn end(&mut self, nth: usize, how: Ended) {
        let Some((key, _)) = take_nth(&mut self.running, nth) else {
            return;
        };
        self.placer.task_ended(self.now, &key, how);
        if !matches!(how, Ended::Finished | Ended::Cancelled) {
            let request = self.requests[&key.job].clone();
            self.waiting.insert(key.job.clone(), request.clone());
            self.placer.job_queued(self.now, request);
        }
    }

    fn queue(&mut self, resources: Resources, urgent: bool) {
        let job = JobId::from(format!("job-{}", self.requests.len()));
        let priority = if urgent {
            Priority::Urgent
        } else {
            Priority::Normal
        };
        let request = PlacementRequest {
            job: job.clone(),
            team: "press".into(),
            class: "proof".into(),
            priority,
            resources,
            run_time: Some(Duration::from_secs(60)),
            finish_by: None,
            work_done: Duration::ZERO,
            failures: 0,
        };
        self.requests.insert(job.clone(), request.clone());
        self.waiting.insert(job, request.clone());
        self.placer.job_queued(self.now, request);
    }

    fn remove(&mut self, nth: usize) {
        let Some((job, _)) = take_nth(&mut self.waiting, nth) else {
            return;
        };
        self.placer.job_removed(&job);
    }
}

fn take_nth<K: Clone + std::hash::Hash + Eq, V>(
    map: &mut IndexMap<K, V>,
    nth: usize,
) -> Option<(K, V)> {
    let at = nth.checked_rem(map.len())?;
    map.shift_remove_index(at)
}

fn worker(n: usize, leaving: bool) -> WorkerView {
    WorkerView {
        worker: format!("w{n}").into(),
        zone: "viti-suva".into(),
        rack: format!("rack-{n}").into(),
        capacity: CAPACITY,
        leaving,
    }
}

struct LedgerTest;

impl StateMachineTest for LedgerTest {
    type SystemUnderTest = Subject;
    type Reference = Calls;

    fn init_test(_ref_state: &Calls) -> Subject {
        let now = Instant::now();
        let mut placer = Placer::new(PlacerCfg::default(), 3);
        for n in 0..WORKERS {
            placer.worker_seen(now, worker(n, false));
        }
        Subject {
            now,
            placer,
            requests: IndexMap::new(),
            waiting: IndexMap::new(),
            pending: IndexMap::new(),
            running: IndexMap::new(),
            accepts_tasks: [true; WORKERS],
            attempts: 0,
        }
    }

    fn apply(mut state: Subject, _ref_state: &Calls, transition: Call) -> Subject {
        match transition {
            Call::Queue {
                cores,
                memory,
                accelerators,
                urgent,
            } => state.queue(Resources::new(cores, memory, accelerators), urgent),
            Call::Remove { job } => state.remove(job),
            Call::Decide { limit } => state.decide(limit),
            Call::Commit { nth } => state.commit(nth),
            Call::Drop { nth } => {
                if let Some((job, _)) = take_nth(&mut state.pending, nth) {
                    let request = state.requests[&job].clone();
                    state.waiting.insert(job.clone(), request);
                    state.placer.placement_dropped(&job);
                }
            }
            Call::End { nth, how } => state.end(nth, how),
            Call::Seen { worker: n, leaving } => {
                state.accepts_tasks[n] = !leaving;
                state.placer.worker_seen(state.now, worker(n, leaving));
            }
            Call::Gone { worker: n } => {
                state.accepts_tasks[n] = false;
                state.placer.worker_gone(state.now, &format!("w{n}").into());
            }
            Call::Wait { secs } => state.now += Duration::from_secs(secs),
        }
        state
    }

    fn check_invariants(state: &Subject, _ref_state: &Calls) {
        let summary = state.placer.summary();
        let total_granted = state
            .pending
            .values()
            .map(|(_, granted)| *granted)
            .chain(state.running.values().map(|task| task.granted))
            .fold(Resources::ZERO, |sum, granted| sum + granted);
        assert_eq!(summary.allocated, total_granted);
        assert_eq!(summary.placed, state.pending.len() + state.running.len());
        let waiting = state.waiting.len() + state.pending.len();
        assert_eq!(summary.queued, waiting);
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_203),
        ..Config::default()
    })]

    #[test]
    fn ledger_agrees_with_the_sum_of_grants(sequential 1..120 => LedgerTest);
}
