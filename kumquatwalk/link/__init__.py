"""Connections between nodes: framing, messages, pool and server.

One connection carries one exchange at a time, so the thread that waits for a
reply reads the socket itself and no reply can reach another request.
"""
