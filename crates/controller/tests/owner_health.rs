//! When an entry stops sending requests to an owner that answers nothing.

use base::prelude::*;
use controller::{CallEnd, OwnerHealth};

const EPOCH: Epoch = Epoch(3);

const CALL: Duration = Duration::from_millis(1300);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The load: the owner freezes, and 30 callers a second go on for two seconds.
#[test]
fn few_requests_are_sent_to_a_frozen_owner() {
    let began = Instant::now();
    let mut health = OwnerHealth::default();
    let mut calls = Vec::new();
    let mut sent = Vec::new();
    for i in 0..60 {
        let now = began + ms(33) * i;
        for call in calls.extract_if(.., |at: &mut Instant| *at + CALL <= now) {
            health.ended(now, EPOCH, call, CallEnd::Silent);
        }
        if health.admit(now, EPOCH) {
            calls.push(now);
            sent.push(now - began);
        }
    }

    let later = sent.iter().filter(|at| **at > ms(600)).count();

    assert!(later <= 6, "{sent:?}");
    assert!(sent.iter().any(|at| *at > ms(1500)), "it is asked again");
}

#[test]
fn answer_ends_the_silence() {
    let now = Instant::now();
    let mut health = OwnerHealth::default();
    health.admit(now, EPOCH);
    let was_silent = health.is_silent(now + ms(600));

    health.ended(now + ms(700), EPOCH, now, CallEnd::Answered);

    assert!(was_silent);
    assert!(!health.is_silent(now + ms(700)));
}

#[test]
fn next_owner_starts_without_the_silence_of_the_last_one() {
    let now = Instant::now();
    let mut health = OwnerHealth::default();
    health.admit(now, EPOCH);
    health.ended(now, EPOCH, now, CallEnd::Silent);

    let next = EPOCH.next();

    assert!(health.admit(now, next) && health.admit(now, next));
    health.ended(now + CALL, EPOCH, now, CallEnd::Silent);
    assert!(!health.is_silent(now), "a late end of an earlier call");
}

#[test]
fn lost_answer_or_broken_connection_of_an_owner_that_answers_others_refuses_nothing() {
    let now = Instant::now();
    let mut health = OwnerHealth::default();
    health.admit(now, EPOCH);
    health.ended(now + ms(5), EPOCH, now, CallEnd::Answered);

    health.ended(now + ms(6), EPOCH, now + ms(5), CallEnd::Broken);
    health.ended(now + CALL, EPOCH, now, CallEnd::Silent);

    assert!(!health.is_silent(now + CALL));
}
