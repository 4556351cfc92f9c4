//! Look-ahead placement: a large task among streams of small ones.

mod harness;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobSpec, RouteTerms, StageSpec, TaskRun};

use harness::{Harness, job, stage, terms};

/// Terms with an objective of `seconds` after submission.
fn due_in(seconds: u64) -> RouteTerms {
    RouteTerms {
        stretch: 0.0,
        slack_ms: seconds * 1000,
        ..terms(1)
    }
}

fn small(estimate_ms: u64) -> JobSpec {
    job(vec![StageSpec {
        estimate_ms,
        ..stage(1, 1)
    }])
}

fn standing(tasks: u32, cores: u64) -> JobSpec {
    job(vec![StageSpec {
        standing: true,
        ..stage(tasks, cores)
    }])
}

/// A pool that one-core tasks fill; each runs for `run_time`, and further ones wait at any time.
struct Stream {
    harness: Harness,
    since: IndexMap<TaskRun, Instant>,
    submitted: usize,
    run_time: Duration,
    /// A worker that reports no more.
    silent: Option<Name>,
}

impl Stream {
    fn new(vms: &[(&str, u64)], run_time: Duration) -> Self {
        let mut harness = Harness::new();
        for (name, cores) in vms {
            harness.add_vm(name, *cores);
        }
        harness.sync_all();
        Self {
            harness,
            since: IndexMap::new(),
            submitted: 0,
            run_time,
            silent: None,
        }
    }

    /// Submits small jobs and ends those that have run for their time.
    fn pass(&mut self, time: Duration) {
        let step = Duration::from_millis(50);
        for at in 0..time.as_millis() / step.as_millis() {
            let further = if at % 2 == 0 {
                self.harness.vms.len()
            } else {
                0
            };
            for _ in 0..further {
                let id = format!("small-{}", self.submitted);
                self.submitted += 1;
                let declared = self.run_time.as_millis() as u64;
                self.harness.submit_under(&id, small(declared), due_in(60));
            }
            self.harness.advance(step);
            for (vm, run) in self.harness.running() {
                let since = *self.since.entry(run.clone()).or_insert(self.harness.now);
                let percent =
                    (self.harness.now - since).as_secs_f64() / self.run_time.as_secs_f64();
                let vm = self.harness.vm(&vm);
                if let Some(row) = vm.running.iter_mut().find(|r| r.run == run) {
                    row.percent = (100.0 * percent).clamp(1.0, 99.0);
                }
                if percent >= 1.0 && run.task.job.as_str().starts_with("small") {
                    vm.end(&run, EndKind::Done);
                }
            }
            let names: Vec<Name> = self.harness.vms.keys().cloned().collect();
            for name in names.iter().filter(|n| self.silent.as_ref() != Some(n)) {
                self.harness.sync(name);
            }
        }
    }

    /// Returns the workers of a job's runs.
    fn workers_of(&self, job: &str) -> Vec<Name> {
        let running = self.harness.running().into_iter();
        let of_job = running.filter(|(_, run)| run.task.job.as_str() == job);
        of_job.map(|(vm, _)| vm).collect()
    }
}

/// Small tasks take each core as it becomes free; without a reservation, six at once never are.
#[test]
fn large_task_starts_soon_among_a_stream_of_small_ones() {
    let mut stream = Stream::new(
        &[("one", 8), ("two", 8), ("three", 8)],
        Duration::from_secs(1),
    );
    stream.pass(Duration::from_secs(2));

    stream
        .harness
        .submit_under("large", standing(1, 6), due_in(1));
    stream.pass(Duration::from_secs(2));

    assert_eq!(stream.workers_of("large").len(), 1);
}

/// The reservation goes to the worker with room first; small tasks that would run beyond its time are
/// placed elsewhere or wait.
#[test]
fn reserved_room_is_not_given_to_a_task_that_would_overrun() {
    let mut stream = Stream::new(
        &[("one", 8), ("two", 8), ("three", 8)],
        Duration::from_secs(1),
    );
    stream.pass(Duration::from_millis(800));
    stream
        .harness
        .submit_under("large", standing(1, 8), due_in(1));
    for n in 0..24 {
        let id = format!("long-{n}");
        stream.harness.submit_under(&id, small(20_000), due_in(30));
    }

    stream.pass(Duration::from_millis(1800));

    assert_eq!(stream.workers_of("large").len(), 1);
}

#[test]
fn reservation_is_given_up_when_its_worker_drains_crashes_or_shrinks() {
    let leave: [fn(&mut Stream); 3] = [
        |s| s.harness.vm("near").draining = true,
        |s| s.silent = Some("near".into()),
        |s| s.harness.vm("near").capacity = Resources::new(4, 4 * 4096, 0),
    ];
    for leave in leave {
        // Both are full; the tasks on "near" end first.
        let mut stream = Stream::new(&[("near", 8)], Duration::from_secs(1));
        stream.pass(Duration::from_millis(900));
        stream.harness.add_vm("far", 8);
        stream.harness.add_vm("further", 8);
        stream.pass(Duration::from_millis(700));
        stream
            .harness
            .submit_under("large", standing(1, 6), due_in(1));
        stream.pass(Duration::from_millis(100));

        leave(&mut stream);
        stream.pass(Duration::from_millis(2500));

        let workers = stream.workers_of("large");
        assert!(workers.len() == 1 && &*workers[0] != "near", "{workers:?}");
    }
}

/// What reservations hold back starts before its job counts as forgotten, even if one reservation
/// follows the other.
#[test]
fn held_back_job_is_not_forgotten() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 8);
    harness.submit_under("small", job(vec![stage(7, 1)]), due_in(60));
    harness.sync_all();
    harness.submit_under("large-0", standing(1, 8), due_in(1));
    harness.submit_under("long", small(20_000), due_in(30));

    harness.pass(Duration::from_secs(1), &["vm"]);
    let is_running = |harness: &Harness| {
        let running = harness.running();
        running.iter().any(|(_, r)| r.task.job.as_str() == "long")
    };
    assert!(!is_running(&harness));
    harness.submit_under("large-1", standing(1, 8), due_in(1));
    harness.cancel("large-0");
    harness.pass(Duration::from_secs(1), &["vm"]);

    assert!(is_running(&harness));
}

/// Less than half of the capacity is in use, so nothing is held back.
#[test]
fn half_empty_pool_holds_nothing_back() {
    let mut harness = Harness::new();
    harness.add_vm("vm", 8);
    harness.submit_under("small", job(vec![stage(3, 1)]), due_in(60));
    harness.sync_all();
    harness.submit_under("large", standing(1, 8), due_in(1));

    harness.submit_under("long", small(20_000), due_in(30));
    harness.sync_all();

    assert_eq!(harness.running().len(), 4);
}
