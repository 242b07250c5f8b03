"""Native HTTP interface to callers, targets and operators."""
