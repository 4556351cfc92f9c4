//! The clocks of the system and of tests.

use base::prelude::*;
use base::{ManualClock, SystemClock};

#[test]
fn boot_time_of_the_system_counts_at_least_as_much_as_its_monotonic_clock() {
    let (now, boot) = (SystemClock.now(), SystemClock.boot_time());

    std::thread::sleep(Duration::from_millis(20));

    let passed = SystemClock.now().duration_since(now);
    assert!(passed >= Duration::from_millis(20));
    assert!(SystemClock.boot_time() - boot >= Duration::from_millis(20));
}

#[test]
fn suspension_moves_all_clocks_but_the_monotonic_one() {
    let clock = ManualClock::new();
    let (now, wall, boot) = (clock.now(), clock.wall(), clock.boot_time());
    let time = Duration::from_secs(3);

    clock.suspend(time);

    assert_eq!(clock.now(), now);
    assert_eq!(clock.wall(), wall + time);
    assert_eq!(clock.boot_time(), boot + time);
}

#[test]
fn step_of_the_wall_clock_moves_no_other() {
    let clock = ManualClock::new();
    clock.advance(Duration::from_secs(3));
    let (now, wall, boot) = (clock.now(), clock.wall(), clock.boot_time());

    clock.set_wall(wall - Duration::from_secs(2));

    assert_eq!(clock.wall(), wall - Duration::from_secs(2));
    assert_eq!((clock.now(), clock.boot_time()), (now, boot));
}
