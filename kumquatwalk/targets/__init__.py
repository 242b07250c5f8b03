"""Client, state and runs in progress of the target beside a node."""
