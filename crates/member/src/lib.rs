//! Announcements, views of the fleet, draining and subsets.

mod view;

pub use view::{Heard, View};
