"""HTTP/1.1 on one event loop; ``httptools`` parses."""
