//! When tasks may start in zones that are cordoned, taken back, or not known.

use base::prelude::*;
use cordon::{Change, Cordons, Observation};

const BOUND: Duration = Duration::from_secs(5);

fn observation(sent_at: Instant, zones: &[&str]) -> Observation {
    Observation {
        zones: zones.iter().map(|zone| ZoneName::from(*zone)).collect(),
        sent_at,
    }
}

#[test]
fn nothing_starts_before_the_keys_were_read() {
    let cordons = Cordons::new(BOUND);

    assert_eq!(cordons.starts_until(&"north".into()), None);
}

#[test]
fn a_read_permits_starts_in_open_zones_for_less_than_the_bound() {
    let now = Instant::now();
    let mut cordons = Cordons::new(BOUND);

    cordons.observe(observation(now, &["south"]));

    let until = cordons.starts_until(&"north".into()).expect("it is open");
    assert!(until > now && until < now + BOUND);
    assert_eq!(cordons.starts_until(&"south".into()), None);
}

#[test]
fn a_cordon_is_reported_once_when_it_appears_and_when_it_vanishes() {
    let now = Instant::now();
    let mut cordons = Cordons::new(BOUND);
    let later = |ms| now + Duration::from_millis(ms);

    let appeared = cordons.observe(observation(now, &["south"]));
    let kept = cordons.observe(observation(later(1), &["south"]));
    let vanished = cordons.observe(observation(later(2), &[]));

    assert_eq!(appeared.closed, [ZoneName::from("south")]);
    assert_eq!(kept, Change::default());
    assert_eq!(vanished.opened, [ZoneName::from("south")]);
    assert!(cordons.starts_until(&"south".into()).is_some());
}

#[test]
fn an_earlier_read_that_arrives_later_changes_nothing() {
    let now = Instant::now();
    let mut cordons = Cordons::new(BOUND);
    cordons.observe(observation(now + Duration::from_millis(1), &["south"]));

    let change = cordons.observe(observation(now, &[]));

    assert_eq!(change, Change::default());
    assert_eq!(cordons.starts_until(&"south".into()), None);
}

#[test]
fn nothing_starts_after_the_knowledge_was_dropped() {
    let mut cordons = Cordons::new(BOUND);
    cordons.observe(observation(Instant::now(), &[]));

    cordons.forget();

    assert_eq!(cordons.starts_until(&"north".into()), None);
}

#[test]
fn a_cordon_that_outlasts_dropped_knowledge_is_not_reported_again() {
    let now = Instant::now();
    let mut cordons = Cordons::new(BOUND);
    cordons.observe(observation(now, &["south"]));
    cordons.forget();

    let change = cordons.observe(observation(now + Duration::from_millis(1), &["south"]));

    assert_eq!(change, Change::default());
}

#[test]
fn a_short_bound_leaves_time_to_start() {
    let now = Instant::now();
    let mut cordons = Cordons::new(Duration::from_millis(400));

    cordons.observe(observation(now, &[]));

    let until = cordons.starts_until(&"north".into()).expect("it is open");
    assert!(until > now + Duration::from_millis(300));
}
