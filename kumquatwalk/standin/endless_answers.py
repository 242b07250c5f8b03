"""Answers of a target that do not end."""

from kumquatwalk.standin.scripted_target import Script

__all__ = ["ENDLESS_SCRIPTS"]

_HEAD = b"HTTP/1.1 200 OK\r\nServer-Seal: seal\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_TRAILERS = _CHUNKED + b"1\r\nx\r\n0\r\n"
_FALSE_LENGTH = _HEAD + b"Content-Length: 99999999999\r\n\r\n"
# Bytes before what does not end, and what is sent again and again.
_PARTS = {
    "long-trailers": (_TRAILERS, b"X: " + b"y" * 60000 + b"\r\n"),
    "short-trailers": (_TRAILERS, b"a: b\r\n" * 1000),
    "trailer-line": (_TRAILERS + b"X: ", b"y" * 60000),
    "chunk-extension": (_CHUNKED + b"1;", b"y" * 60000),
    "long-chunks": (_CHUNKED, b"4000\r\n" + b"z" * 0x4000 + b"\r\n"),
    "short-chunks": (_CHUNKED, b"2\r\nzz\r\n" * 1000),
    "until-close": (_HEAD + b"\r\n", b"z" * 60000),
    "false-length": (_FALSE_LENGTH, b"z" * 60000),
    "short-header-lines": (_HEAD, b"a: b\r\n" * 1000),
    "interim-answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
}
ENDLESS_SCRIPTS = {
    name: Script(prefix=prefix, endless=endless)
    for name, (prefix, endless) in _PARTS.items()
}
