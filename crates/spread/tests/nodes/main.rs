//! Integration tests of nodes on loopback ports, with an in-memory store that can be made unavailable.

mod cold_start;
mod floor;
mod relay;
mod repair;
mod support;
