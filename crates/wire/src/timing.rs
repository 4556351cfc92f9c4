//! The times that owners and companions both rely on.

use std::time::Duration;

/// How long an owner holds a poll when it has nothing to say.
pub const POLL_WAIT: Duration = Duration::from_millis(1_500);

/// "W": a companion takes the answer to a poll within this time of issuing it.
pub const GRANT_WINDOW: Duration = Duration::from_secs(4);

/// "L": how long a task goes on after the issue of the last poll whose answer kept it.
///
/// It outlasts the loss of an owner: its lease, the next one's recovery, and the time
/// in which companions learn of it. A lost worker costs it too.
pub const KEEP_FOR: Duration = Duration::from_secs(10);

/// The allowance for clocks that run at different rates, over the times above.
pub const DRIFT: Duration = Duration::from_millis(500);

/// How often companions announce themselves to entries.
pub const ANNOUNCE_EVERY: Duration = Duration::from_millis(1_000);

/// How long a target counts as there after its last announcement.
pub const ANNOUNCE_TTL: Duration = Duration::from_secs(4);
