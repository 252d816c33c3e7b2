//! gRPC messages and services, generated from `proto/` and committed, and the authentication of
//! calls between daemons.

mod call;

pub use call::{FleetKey, KeyCheck, endpoint};

/// The platform's key-value service.
#[expect(missing_docs, reason = "generated code")]
pub mod kv {
    include!("generated/kv.v1.rs");
}

/// The protocol between daemons.
#[expect(missing_docs, reason = "generated code")]
pub mod fleet {
    include!("generated/fleet.v1.rs");
}
