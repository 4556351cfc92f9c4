//! How long the HTTP front waits for the owner's reply.

use base::prelude::*;
use controller::response_timeout;

#[test]
fn long_timeout_leaves_a_margin_for_the_response() {
    let timeout = Duration::from_secs(3);

    let wait = response_timeout(timeout);

    assert!(wait < timeout);
    assert!(wait > timeout / 2);
}

#[test]
fn half_of_a_short_timeout_is_used_for_the_wait() {
    let timeout = Duration::from_millis(80);

    let wait = response_timeout(timeout);

    assert_eq!(wait, timeout / 2);
}
