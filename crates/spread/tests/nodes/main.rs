//! Real nodes on loopback ports, with a store in memory that fails on demand.

mod census;
mod duty;
mod floor;
mod repair;
mod support;
