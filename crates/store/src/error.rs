//! Errors of store calls.

/// A failed call to the store.
#[derive(Debug, Clone, thiserror::Error, PartialEq)]
pub enum Error {
    /// The service could not be reached; the call had no effect.
    #[error("the key-value service is unavailable ({0}); try again when it is back")]
    Unavailable(String),
    /// The response to a write was lost; it may have taken effect.
    #[error("the answer of the key-value service was lost ({0}); read back before trying again")]
    Unknown(String),
    /// The call exceeded the service's rate limit and had no effect.
    #[error("the key-value service is over its rate; try again later")]
    Limited,
    /// The history after the requested revision is no longer kept.
    #[error("the key-value service no longer keeps this history; read every key anew")]
    Compacted,
    /// The service came back from a copy. The write may have taken effect, by the chance that its lease or
    /// revision was given out again.
    #[error(
        "the key-value service came back from a copy; take a new lease and read every key anew"
    )]
    Restored,
    /// The lease of a write has ended; the write had no effect.
    #[error("the lease has ended; take a new one and write again")]
    LeaseEnded,
    /// The value exceeds the service's limit; the write had no effect.
    #[error("the value has {0} bytes, over the limit of 1000000; split the change")]
    TooLarge(usize),
}
