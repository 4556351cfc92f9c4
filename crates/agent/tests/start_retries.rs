//! Starts that a worker does not answer, or that reach another incarnation: retried later each time.

mod harness;

use agent::StartReply;
use base::prelude::*;
use harness::{Harness, no_reply, run_of};

/// Returns the times from each failed call to the next one, in milliseconds.
fn waits(reply: impl Fn() -> Result<StartReply>) -> Vec<u64> {
    let mut harness = Harness::fenced();
    harness.order(&run_of(0));
    let mut waits = Vec::new();
    for calls in 1..8 {
        assert_eq!(harness.starts().len(), calls);
        harness.started(&run_of(0), reply());
        let mut waited = 0;
        while harness.starts().len() == calls {
            assert!(waited < 1000, "the start is retried");
            harness.advance(10);
            waited += 10;
            harness.run();
        }
        waits.push(waited);
    }
    waits
}

fn assert_growing(waits: &[u64]) {
    assert!(waits.windows(2).all(|w| w[0] <= w[1]), "{waits:?}");
    assert!(waits[3] >= 4 * waits[0], "{waits:?}");
}

// Guards against calls in quick succession to a worker that answers none.
#[test]
fn unanswered_start_is_retried_later_each_time() {
    assert_growing(&waits(|| Err(no_reply())));
}

#[test]
fn start_that_reached_another_incarnation_is_retried_later_each_time() {
    assert_growing(&waits(|| Ok(StartReply::WrongIncarnation)));
}
