//! Timing constants that owners, entries and companions must agree on.

use std::time::Duration;

/// How long an owner holds a long poll when it has no orders.
pub const POLL_WAIT: Duration = Duration::from_millis(1_500);

/// A companion accepts the reply to a poll only within this time after issuing the poll.
pub const GRANT_WINDOW: Duration = Duration::from_secs(4);

/// How long a task may run after the issue of the last poll whose reply renewed it.
///
/// It must exceed the time to replace an owner: the expiry of its lease, the recovery of the next
/// owner, and the time until companions learn of the new one. After the loss of a worker, its tasks
/// start elsewhere only once this time has passed.
pub const TASK_LEASE: Duration = Duration::from_secs(10);

/// The allowance for clocks that run at different rates, added to the times above.
pub const DRIFT: Duration = Duration::from_millis(500);

/// The interval at which companions announce themselves to entries.
pub const ANNOUNCE_EVERY: Duration = Duration::from_millis(1_000);

/// How long a target counts as present after its last announcement.
pub const ANNOUNCE_TTL: Duration = Duration::from_secs(4);
