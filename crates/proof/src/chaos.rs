//! Randomised runs.
