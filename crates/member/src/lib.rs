//! Membership: an entry's view of targets, other entries and owners of shards.

mod view;

pub use view::{Freshness, View};
