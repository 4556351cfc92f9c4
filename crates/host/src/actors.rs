//! The event loop that runs actors in real time.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use base::prelude::*;
use crossbeam_channel::{Receiver, RecvTimeoutError};

/// The longest time to wait for an event, also when no timer is due.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// The maximum number of further events to handle before timers run, so that a burst does not
/// delay them.
const EVENTS_PER_RUN: usize = 256;

/// The actors of a process; the current time is passed in.
pub trait Actors {
    /// An input to the actors from another thread.
    type Event;

    /// Delivers an event to the actor that handles it.
    fn deliver(&mut self, event: Self::Event);

    /// Runs everything that is due at `now`.
    fn run(&mut self, now: Instant);

    /// Returns when the next timer is due, or `None` if none is set.
    fn next_due(&mut self) -> Option<Instant>;

    /// Returns the minimum time between two calls of [`Actors::run`] for events.
    ///
    /// Under load, events that arrive within this time are handled together, so that the cost of
    /// waking threads does not grow with their number.
    fn min_run_interval(&self) -> Duration {
        Duration::ZERO
    }
}

/// The exit status of a process whose actors have panicked.
const PANIC_STATUS: i32 = 101;

/// Starts the thread that runs a process's actors; if it panics, the process ends.
///
/// The other threads would go on to accept calls that nothing handles. A process that ends is started
/// again.
pub fn spawn_actors(run: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    spawn_watched(run, || std::process::exit(PANIC_STATUS))
}

/// Starts a thread that calls `on_panic` if it panics.
pub fn spawn_watched(
    run: impl FnOnce() + Send + 'static,
    on_panic: impl FnOnce() + Send + 'static,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        if catch_unwind(AssertUnwindSafe(run)).is_err() {
            on_panic();
        }
    })
}

/// Runs actors until `stopping` is set or all senders of events are gone.
///
/// `after_run` is called after each call of [`Actors::run`] in the loop.
pub fn drive<A: Actors>(
    actors: &mut A,
    clock: &dyn Clock,
    rx: &Receiver<A::Event>,
    stopping: &AtomicBool,
    mut after_run: impl FnMut(&mut A),
) {
    let mut last_run = clock.now();
    actors.run(last_run);
    while !stopping.load(Ordering::Acquire) {
        match rx.recv_timeout(event_timeout(actors, clock.now())) {
            Ok(event) => {
                actors.deliver(event);
                let next_run = last_run + actors.min_run_interval();
                std::thread::sleep(next_run.saturating_duration_since(clock.now()));
                rx.try_iter()
                    .take(EVENTS_PER_RUN)
                    .for_each(|event| actors.deliver(event));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        last_run = clock.now();
        actors.run(last_run);
        after_run(actors);
    }
}

/// Returns how long to wait for an event until the next timer is due.
fn event_timeout(actors: &mut impl Actors, now: Instant) -> Duration {
    actors.next_due().map_or(MAX_SLEEP, |due| {
        due.saturating_duration_since(now).min(MAX_SLEEP)
    })
}
