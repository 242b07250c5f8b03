"""Links between nodes: multiplexed calls in Cap'n Proto frames over TCP."""
