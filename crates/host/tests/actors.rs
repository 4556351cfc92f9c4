//! The event loop of a process.

use std::sync::atomic::{AtomicBool, Ordering};

use base::ManualClock;
use base::prelude::*;
use crossbeam_channel::unbounded;
use host::Actors;

/// Longer than the test's thread needs to send an event.
const INTERVAL: Duration = Duration::from_millis(500);

/// Counts the events before each run.
#[derive(Debug, Default)]
struct Counter {
    events: usize,
    runs: Vec<usize>,
}

impl Actors for Counter {
    type Event = ();

    fn deliver(&mut self, (): ()) {
        self.events += 1;
    }

    fn run(&mut self, _: Instant) {
        self.runs.push(std::mem::take(&mut self.events));
    }

    fn next_due(&mut self) -> Option<Instant> {
        None
    }

    fn min_run_interval(&self) -> Duration {
        INTERVAL
    }
}

#[test]
fn events_that_arrive_soon_after_a_run_are_handled_together() {
    let (tx, rx) = unbounded();
    let stopping = Arc::new(AtomicBool::new(false));
    let mut counter = Counter::default();
    tx.send(()).expect("the receiver exists");
    std::thread::spawn(move || {
        std::thread::sleep(INTERVAL / 10);
        for _ in 0..9 {
            // An error means that the loop has ended, and the test fails.
            let _ = tx.send(());
        }
    });

    host::drive(
        &mut counter,
        &ManualClock::new(),
        &rx,
        &stopping,
        |counter| {
            stopping.store(counter.runs.iter().sum::<usize>() >= 10, Ordering::Release);
        },
    );

    assert_eq!(counter.runs, [0, 10]);
}

/// Guards against a process that goes on to accept calls though its actors have panicked.
#[test]
fn panic_of_the_actors_is_noticed_and_their_end_is_not() {
    let has_ended = |run: fn()| {
        let noticed = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&noticed);
        let thread = host::spawn_watched(run, move || flag.store(true, Ordering::Release));
        thread.join().expect("the panic is caught");
        noticed.load(Ordering::Acquire)
    };

    assert!(has_ended(|| panic!("an actor fails")));
    assert!(!has_ended(|| ()));
}
