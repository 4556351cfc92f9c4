//! The fake worker: leases, idempotent starts, usage samples and faults.

use base::prelude::*;
use base::{ManualClock, SystemClock};
use fakes::worker::{ClassProfile, MemWorker, WorkerServer, WorkerSettings};
use ports::HttpWorker;
use ports::worker::{
    Checkpoint, TaskReport, TaskStart, TaskState, Worker, WorkerCall, WorkerReply,
};

fn key(job: &str, attempt: u64) -> TaskKey {
    TaskKey {
        job: job.into(),
        attempt: Attempt(attempt),
    }
}

fn start(job: &str, seconds: u64) -> TaskStart {
    TaskStart {
        key: key(job, 1),
        class: "proof".into(),
        granted: Resources::new(32, 1024, 0),
        work: Some(Duration::from_secs(seconds)),
        checkpoint: None,
        payload: "".into(),
        ttl: None,
    }
}

fn renew(job: &str, seconds: u64) -> WorkerCall {
    WorkerCall::Renew {
        keys: vec![key(job, 1)],
        ttl: Duration::from_secs(seconds),
    }
}

fn worker(clock: &ManualClock) -> MemWorker {
    MemWorker::new(WorkerSettings::default(), clock.now())
}

fn call(worker: &mut MemWorker, clock: &ManualClock, call: &WorkerCall) -> WorkerReply {
    worker.call(clock.now(), call).unwrap()
}

fn tasks(reply: WorkerReply) -> Vec<TaskReport> {
    match reply {
        WorkerReply::Tasks { tasks, .. } => tasks,
        other => panic!("not a list: {other:?}"),
    }
}

#[test]
fn a_key_runs_once_even_after_it_was_forgotten() {
    let clock = ManualClock::new();
    let mut worker = worker(&clock);
    let begin = WorkerCall::Start(start("j", 2));
    call(&mut worker, &clock, &begin);
    call(&mut worker, &clock, &begin);

    clock.advance(Duration::from_secs(3));
    call(&mut worker, &clock, &begin);
    call(
        &mut worker,
        &clock,
        &WorkerCall::Forget { key: key("j", 1) },
    );
    call(&mut worker, &clock, &begin);
    clock.advance(Duration::from_secs(3));
    let listed = tasks(call(&mut worker, &clock, &WorkerCall::List));

    let record = worker.record();
    assert_eq!(listed, []);
    assert_eq!((record.runs.len(), record.effects.len()), (1, 1));
    assert_eq!(record.repeated_starts, 3);
    let run = &record.runs[0];
    let ran = run.end.unwrap() - run.start;
    assert!(ran.abs_diff(Duration::from_secs(2)) < Duration::from_micros(1));
}

#[test]
fn task_stops_when_its_lease_expires() {
    let clock = ManualClock::new();
    let mut worker = worker(&clock);
    call(&mut worker, &clock, &WorkerCall::Start(start("j", 60)));
    call(&mut worker, &clock, &renew("j", 5));

    clock.advance(Duration::from_secs(4));
    call(&mut worker, &clock, &renew("j", 5));
    clock.advance(Duration::from_secs(6));
    let listed = tasks(call(&mut worker, &clock, &WorkerCall::List));

    assert_eq!(listed[0].state, TaskState::Stopped { checkpoint: None });
    assert_eq!(worker.record().expired, 1);
    let run = &worker.record().runs[0];
    assert_eq!(run.end.unwrap() - run.start, Duration::from_secs(9));
}

#[test]
fn a_checkpoint_keeps_the_work_done() {
    let clock = ManualClock::new();
    let mut worker = worker(&clock);
    call(&mut worker, &clock, &WorkerCall::Start(start("j", 10)));
    clock.advance(Duration::from_secs(4));

    call(
        &mut worker,
        &clock,
        &WorkerCall::Checkpoint { key: key("j", 1) },
    );
    clock.advance(Duration::from_secs(1));
    let listed = tasks(call(&mut worker, &clock, &WorkerCall::List));

    let TaskState::Stopped {
        checkpoint: Some(Checkpoint { done, .. }),
    } = &listed[0].state
    else {
        panic!("no checkpoint: {:?}", listed[0]);
    };
    assert!(done.abs_diff(Duration::from_secs(4)) < Duration::from_micros(1));
    let resumed = TaskStart {
        key: key("j", 2),
        checkpoint: Some(Checkpoint {
            name: "saved".into(),
            done: *done,
        }),
        ..start("j", 10)
    };
    call(&mut worker, &clock, &WorkerCall::Start(resumed));
    clock.advance(Duration::from_secs(7));
    worker.advance(clock.now());
    assert_eq!(worker.record().effects[0].key, key("j", 2));
}

#[test]
fn starts_beyond_capacity_are_counted() {
    let clock = ManualClock::new();
    let mut worker = worker(&clock);

    for job in ["a", "b", "c"] {
        call(&mut worker, &clock, &WorkerCall::Start(start(job, 10)));
    }

    assert_eq!(worker.record().overcommits, 1);
    assert_eq!(worker.granted().cpu_milli, 96_000);
}

#[test]
fn usage_lags_and_differs_from_the_declared_resources() {
    let clock = ManualClock::new();
    let mut worker = worker(&clock);
    let profile = ClassProfile {
        cpu: 0.5,
        memory: 2.0,
        work: 1.0,
    };
    worker
        .settings_mut()
        .profiles
        .insert("proof".into(), profile);
    call(&mut worker, &clock, &WorkerCall::Start(start("j", 60)));
    call(&mut worker, &clock, &renew("j", 60));

    clock.advance(Duration::from_secs(3));
    let early = call(&mut worker, &clock, &WorkerCall::Usage);
    clock.advance(Duration::from_secs(5));
    let late = call(&mut worker, &clock, &WorkerCall::Usage);

    assert_eq!(early, WorkerReply::Usage(Vec::new()));
    let WorkerReply::Usage(samples) = late else {
        panic!("not usage: {late:?}");
    };
    let sample = &samples[0];
    assert!(sample.age >= Duration::from_secs(5));
    assert_eq!((sample.cpu_milli, sample.memory_mib), (16_000, 2048));
}

#[test]
fn tasks_of_a_failing_class_fail() {
    let clock = ManualClock::new();
    let mut worker = worker(&clock);
    worker.faults_mut().fail_classes.insert("proof".into());
    call(&mut worker, &clock, &WorkerCall::Start(start("j", 10)));

    clock.advance(Duration::from_secs(1));
    let listed = tasks(call(&mut worker, &clock, &WorkerCall::List));

    assert!(matches!(listed[0].state, TaskState::Failed { .. }));
    assert_eq!(worker.record().effects, []);
}

#[test]
fn start_with_a_lost_reply_runs_once_over_http() {
    let server = WorkerServer::start(WorkerSettings::default(), Arc::new(SystemClock));
    let worker = HttpWorker::new(server.addr(), Duration::from_secs(10));
    server.set_faults(|faults| faults.lose_next_starts = 1);
    let begin = WorkerCall::Start(start("j", 600));

    let lost = worker.call(&begin).unwrap_err();
    let again = worker.call(&begin).unwrap();
    let listed = tasks(worker.call(&WorkerCall::List).unwrap());

    assert!(lost.kind().is_outcome_unknown(), "{lost:?}");
    assert_eq!(again, WorkerReply::Ok);
    assert_eq!(listed.len(), 1);
    assert_eq!(server.record().runs.len(), 1);
}
