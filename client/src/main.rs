//! Placeholder entry point.

fn main() {}
