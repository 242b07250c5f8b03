"""Links between nodes: Cap'n Proto frames over TCP, many calls on each."""
