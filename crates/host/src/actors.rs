//! The loop that runs actors in real time.

use std::sync::atomic::{AtomicBool, Ordering};

use base::prelude::*;
use crossbeam_channel::{Receiver, RecvTimeoutError};

/// How long the loop sleeps when no timer is set.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// How many events the loop takes before it runs timers.
const EVENTS_PER_RUN: usize = 256;

/// The actors of a process, whose time is passed in.
pub trait Actors {
    /// What happens outside the actors.
    type Event;

    /// Hands an event to the actor that it concerns.
    fn deliver(&mut self, event: Self::Event);

    /// Runs all that is due at `now`.
    fn run(&mut self, now: Instant);

    /// Returns when the next timer is due, if any is set.
    fn next_due(&mut self) -> Option<Instant>;
}

/// Runs actors until `stopping` is set or nothing can send events any more.
///
/// `after_run` is called each time after what was due has run.
pub fn drive<A: Actors>(
    actors: &mut A,
    clock: &dyn Clock,
    rx: &Receiver<A::Event>,
    stopping: &AtomicBool,
    mut after_run: impl FnMut(&mut A),
) {
    actors.run(clock.now());
    while !stopping.load(Ordering::Acquire) {
        match rx.recv_timeout(sleep_of(actors, clock.now())) {
            Ok(event) => {
                actors.deliver(event);
                rx.try_iter()
                    .take(EVENTS_PER_RUN)
                    .for_each(|event| actors.deliver(event));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        actors.run(clock.now());
        after_run(actors);
    }
}

/// Returns how long to wait for an event before a timer is due.
fn sleep_of(actors: &mut impl Actors, now: Instant) -> Duration {
    actors.next_due().map_or(MAX_SLEEP, |due| {
        due.saturating_duration_since(now).min(MAX_SLEEP)
    })
}
