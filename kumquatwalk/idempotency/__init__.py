"""At most one run of a non-idempotent call."""
