"""HTTP/1.1 server and client for asyncio, with ``httptools`` as the parser."""
