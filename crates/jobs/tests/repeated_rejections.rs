//! Starts that workers reject again and again: the owner waits longer each time.

mod harness;

use base::prelude::*;
use jobs::report::RejectKind;
use jobs::{JobSpec, StageSpec};

use harness::{Harness, job, stage};

/// How long an order and its rejection take.
const STEP: Duration = Duration::from_millis(4);

/// The longest wait after a rejection.
const MAX_WAIT: Duration = Duration::from_secs(1);

struct Play {
    harness: Harness,
    /// When each order was seen, by VM.
    orders: IndexMap<Name, Vec<Instant>>,
}

impl Play {
    fn new(vms: &[&str]) -> Self {
        let mut harness = Harness::new();
        for name in vms {
            harness.add_vm(name, 16);
        }
        harness.sync_all();
        Self {
            harness,
            orders: IndexMap::new(),
        }
    }

    fn shed(&mut self, vm: &str, is_shedding: bool) {
        let vm = self.harness.vm(vm);
        vm.is_shedding = is_shedding;
        vm.rejects = is_shedding.then_some(RejectKind::Room);
    }

    fn play(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.harness.advance(STEP);
            self.harness.settle();
            let names: Vec<Name> = self.harness.vms.keys().cloned().collect();
            for name in names {
                self.harness.sync(&name);
                let now = self.harness.now;
                let count = self.harness.vm(&name).ordered.len();
                self.orders.entry(name).or_default().resize(count, now);
            }
        }
    }

    fn orders(&self, vm: &str) -> usize {
        self.orders.get(vm).map_or(0, Vec::len)
    }

    /// Returns the times between the orders to a VM, from the one with the given index on.
    fn waits(&self, vm: &str, from: usize) -> Vec<Duration> {
        let orders = &self.orders[vm][from..];
        orders.windows(2).map(|w| w[1] - w[0]).collect()
    }
}

fn standing(tasks: u32) -> JobSpec {
    job(vec![StageSpec {
        standing: true,
        ..stage(tasks, 1)
    }])
}

/// Asserts that no wait is shorter than one before it, but for the steps of this test.
fn assert_growing(waits: &[Duration]) {
    for pair in waits.windows(2) {
        assert!(pair[1] + STEP >= pair[0], "{waits:?}");
    }
}

// Guards against a worker that sheds load and gets hundreds of orders a second.
#[test]
fn orders_to_a_worker_that_sheds_load_become_rarer() {
    let mut play = Play::new(&["one"]);
    play.shed("one", true);
    play.harness.submit("job", standing(1));

    play.play(Duration::from_secs(20));

    let waits = play.waits("one", 0);
    assert_growing(&waits);
    assert!(*waits.last().expect("a wait") > 10 * waits[0], "{waits:?}");
    assert!(play.orders("one") < 500, "{} orders", play.orders("one"));
}

#[test]
fn many_waiting_tasks_send_a_shedding_worker_one_order_at_a_time() {
    let mut play = Play::new(&["one"]);
    play.shed("one", true);
    for n in 0..20 {
        play.harness
            .submit(&format!("job-{n}"), job(vec![stage(4, 1)]));
    }
    play.play(MAX_WAIT);
    let before = play.orders("one");

    play.play(Duration::from_secs(20));

    assert_growing(&play.waits("one", before));
    assert!(play.orders("one") - before < 500);
}

#[test]
fn task_starts_soon_after_the_worker_stops_shedding() {
    for shed_s in [1, 5, 20] {
        let mut play = Play::new(&["one"]);
        play.shed("one", true);
        play.harness.submit("job", standing(1));
        play.play(Duration::from_secs(shed_s));

        play.shed("one", false);
        play.play(Duration::from_secs(shed_s) / 100 + 10 * STEP);

        assert_eq!(play.harness.running().len(), 1, "after {shed_s} s");
    }
}

#[test]
fn all_tasks_start_once_a_shedding_worker_takes_one() {
    let mut play = Play::new(&["one"]);
    play.shed("one", true);
    play.harness.submit("job", standing(12));
    play.play(Duration::from_secs(5));

    play.shed("one", false);
    play.play(Duration::from_millis(500));

    assert_eq!(play.harness.running().len(), 12);
}

#[test]
fn waits_begin_anew_after_a_start() {
    let mut play = Play::new(&["one"]);
    play.shed("one", true);
    play.harness.submit("job-1", standing(1));
    play.play(Duration::from_secs(10));
    play.shed("one", false);
    play.play(MAX_WAIT);

    play.shed("one", true);
    play.harness.submit("job-2", standing(1));
    let before = play.orders("one");
    play.play(Duration::from_millis(100));

    assert!(play.orders("one") - before >= 4);
}

#[test]
fn task_does_not_wait_for_a_shedding_worker_if_another_takes_it() {
    let mut play = Play::new(&["one", "two"]);
    play.shed("one", true);

    play.harness.submit("job", standing(8));
    play.play(10 * STEP);

    assert_eq!(play.harness.running().len(), 8);
}

#[test]
fn rejected_task_waits_longer_each_time_for_each_reason() {
    let reasons = [
        RejectKind::Room,
        RejectKind::Late,
        RejectKind::Invalid,
        RejectKind::Fence,
        RejectKind::Old,
    ];
    for why in reasons {
        for spec in [standing(1), job(vec![stage(1, 1)])] {
            let mut play = Play::new(&["one"]);
            play.harness.vm("one").rejects = Some(why);
            play.harness.submit("job", spec);

            play.play(Duration::from_secs(20));

            assert_growing(&play.waits("one", 0));
            assert!(play.orders("one") < 500, "{why:?}: {}", play.orders("one"));
        }
    }
}

#[test]
fn rejected_gang_waits_longer_each_time() {
    let gang = StageSpec {
        gang: true,
        ..stage(4, 1)
    };
    let mut play = Play::new(&["one"]);
    play.harness.vm("one").rejects = Some(RejectKind::Room);
    play.harness.submit("job", job(vec![gang]));

    play.play(Duration::from_secs(20));

    assert!(play.orders("one") < 4 * 500, "{}", play.orders("one"));
}

#[test]
fn task_that_a_worker_has_no_room_for_holds_back_no_other_there() {
    let mut play = Play::new(&["one"]);
    play.harness.vm("one").rejects = Some(RejectKind::Room);
    play.harness.submit("large", standing(1));
    play.play(Duration::from_secs(5));

    play.harness.vm("one").rejects = None;
    play.harness.submit("small", job(vec![stage(1, 1)]));
    play.harness.settle();
    play.harness.sync_all();

    let runs = play.harness.running();
    assert!(runs.iter().any(|(_, r)| r.task.job.as_str() == "small"));
}
