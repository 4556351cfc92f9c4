//! How long the front waits for an answer.

use base::prelude::*;
use lead::answer_time;

#[test]
fn a_patient_caller_gets_the_answer_before_its_time_is_over() {
    let patience = Duration::from_secs(3);

    let time = answer_time(patience);

    assert!(time < patience);
    assert!(time > patience / 2);
}

#[test]
fn a_caller_with_little_time_left_still_gets_an_answer_that_is_at_hand() {
    let patience = Duration::from_millis(80);

    let time = answer_time(patience);

    assert_eq!(time, patience / 2);
}
