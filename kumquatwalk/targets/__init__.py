"""What a node knows of the target beside it."""
