//! Proofs of what must always hold, under failure: see `tests/`.
