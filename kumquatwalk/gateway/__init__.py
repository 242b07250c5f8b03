"""HTTP towards callers and targets."""
