//! What can go wrong with a call to the store.

/// A failed call to the store.
#[derive(Debug, Clone, thiserror::Error, PartialEq)]
pub enum Error {
    /// The service did not take the call; nothing was done.
    #[error("the key-value service is unavailable ({0}); try again when it is back")]
    Unavailable(String),
    /// The service may have taken the write, but its answer was lost.
    #[error("the answer of the key-value service was lost ({0}); read back before trying again")]
    Unknown(String),
    /// The service refused the call for its rate; nothing was done.
    #[error("the key-value service is over its rate; try again later")]
    Limited,
    /// The history after the revision asked for is no longer kept.
    #[error("the key-value service no longer keeps this history; read every key anew")]
    Compacted,
    /// The lease that a write names has ended; nothing was done.
    #[error("the lease has ended; take a new one and write again")]
    LeaseEnded,
    /// The value is over the service's limit; nothing was done.
    #[error("the value has {0} bytes, over the limit of 1000000; split the change")]
    TooLarge(usize),
}
