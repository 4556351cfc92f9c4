//! Runs the `monsoontrestle` command.

fn main() {}
