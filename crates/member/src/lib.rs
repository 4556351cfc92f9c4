//! Announcements, views of the fleet, draining and subsets.
