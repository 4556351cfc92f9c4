//! When room is expected, who may use reserved room, and how long reservations last.

use base::prelude::*;
use lookahead::{MAX_HOLD, PAUSE, Release, Reservation, Reservations, Room};

const fn cores(cores: u64) -> Resources {
    Resources::new(cores, cores * 1000, 0)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Two cores free, two more after one second and four after two.
fn room(now: Instant) -> Room {
    let release = |ms_from_now, n| Release {
        at: now + ms(ms_from_now),
        resources: cores(n),
    };
    Room {
        free: cores(2),
        releases: vec![release(2000, 4), release(1000, 2)],
    }
}

fn reservations() -> Reservations<u32, u32> {
    Reservations::default()
}

fn starts(now: Instant, workers: &[(&str, u64)]) -> Vec<(Name, Instant)> {
    let starts = workers.iter();
    starts
        .map(|(worker, at)| ((*worker).into(), now + ms(*at)))
        .collect()
}

#[test]
fn room_is_expected_when_enough_has_ended() {
    let now = Instant::now();
    let earliest = |n| room(now).earliest(now, &cores(n)).map(|at| at - now);

    assert_eq!(earliest(2), Some(ms(0)));
    assert_eq!(earliest(3), Some(ms(1000)));
    assert_eq!(earliest(8), Some(ms(2000)));
    assert_eq!(earliest(9), None);
}

#[test]
fn reserved_room_is_used_only_by_what_ends_before_leaves_enough_or_is_more_urgent() {
    let now = Instant::now();
    let reservation = Reservation {
        task: 1,
        urgency: 5,
        need: cores(3),
        starts: now + ms(1000),
        until: now + MAX_HOLD,
    };
    let admits =
        |urgency, n, end| reservation.admits(&urgency, cores(n), now + ms(end), &room(now));

    assert!(!admits(6, 2, 1001));
    assert!(admits(6, 2, 1000), "ends before");
    assert!(admits(6, 1, 9000), "leaves enough");
    assert!(admits(4, 2, 9000), "more urgent");
    assert!(!admits(5, 2, 9000), "of equal urgency");
}

#[test]
fn earliest_worker_is_reserved_and_a_much_better_one_later() {
    let now = Instant::now();
    let mut reservations = reservations();
    let mut reserve = |workers: &[(&str, u64)]| {
        reservations.reserve(now, (1, 5, cores(3)), &starts(now, workers), 2);
        reservations.worker_of(&1).map(|w| w.to_string())
    };

    assert_eq!(reserve(&[("a", 900), ("b", 700)]).as_deref(), Some("b"));
    assert_eq!(reserve(&[("a", 600), ("b", 700)]).as_deref(), Some("b"));
    assert_eq!(reserve(&[("a", 300), ("b", 700)]).as_deref(), Some("a"));
    assert_eq!(reserve(&[]), None);
}

#[test]
fn reservation_expires_and_its_task_pauses() {
    let now = Instant::now();
    let mut reservations = reservations();
    let workers = |now| starts(now, &[("a", 500)]);
    let mut reserve = |at: Instant| {
        reservations.retain(at, |_, _| true);
        reservations.reserve(at, (1, 5, cores(3)), &workers(at), 1)
    };

    assert!(reserve(now));
    assert!(reserve(now + MAX_HOLD - ms(1)));
    assert!(!reserve(now + MAX_HOLD));
    assert!(!reserve(now + MAX_HOLD + PAUSE - ms(1)));
    assert!(reserve(now + MAX_HOLD + PAUSE));
}

#[test]
fn at_most_a_tenth_of_the_workers_is_reserved() {
    let now = Instant::now();
    let mut reservations = reservations();
    let workers = starts(now, &[("a", 100), ("b", 200), ("c", 300)]);

    for task in 0..3 {
        reservations.reserve(now, (task, 5, cores(3)), &workers, 20);
    }

    assert_eq!(reservations.len(), 2);
}

#[test]
fn unwanted_reservation_is_given_up() {
    let now = Instant::now();
    let mut reservations = reservations();
    reservations.reserve(now, (1, 5, cores(3)), &starts(now, &[("a", 100)]), 1);

    reservations.retain(now, |_, r| r.task != 1);

    assert!(reservations.is_empty());
}

#[test]
fn start_beyond_the_longest_hold_is_not_reserved() {
    let now = Instant::now();
    let mut reservations = reservations();
    let workers = starts(now, &[("a", 1600)]);

    assert!(!reservations.reserve(now, (1, 5, cores(3)), &workers, 1));
}
