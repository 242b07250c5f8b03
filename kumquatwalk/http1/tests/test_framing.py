"""Tests that a target gets the request that its caller sent, or none."""

import dataclasses
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.exception import RequestError
from kumquatwalk.http1.encoder import encode_request
from kumquatwalk.http1.message import list_values
from kumquatwalk.http1.refusals import make_error_response
from kumquatwalk.http1.request_parser import RequestParser
from kumquatwalk.platform.request_headers import decode_caller_request
from kumquatwalk.platform.request_headers import make_target_headers

_HEAD = b"POST /p HTTP/1.1\r\nHost: x\r\n"
_SIZED = b"Content-Length: 5\r\n\r\nabcde"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
_OFFER = (
    b"Connection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AA\r\n"
)
_NEXT = b"GET /next HTTP/1.1\r\nHost: x\r\n\r\n"


def parse(data: bytes, cuts=()):
    """Return the requests in bytes read in pieces, and an error's status."""
    parser = RequestParser(2000, 2000)
    points = sorted({0, len(data), *(c % len(data) for c in cuts)})
    requests = []
    try:
        for start, end in zip(points, points[1:]):
            requests += parser.feed(data[start:end], 1.0)
    except RequestError as error:
        requests += parser.take_completed()
        return requests, make_error_response(error.code).status
    return requests, 0


def forward(request) -> bytes:
    """Return the bytes that a target gets for a request."""
    headers = decode_caller_request(request).headers
    headers = make_target_headers(headers, "portal", "i-1", 1.0)
    return encode_request(request.method, request.url, headers, request.body)


def read_strictly(data: bytes):
    """Return method, path, header lines and body of the only request in bytes.

    Raises:
        ValueError: There is a doubt of its framing.
    """
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    method, path, version = first.split(b" ")
    headers = tuple(tuple(line.split(b": ", 1)) for line in lines)
    sizes = list_values(headers, b"content-length")
    if version != b"HTTP/1.1" or list_values(headers, b"transfer-encoding"):
        raise ValueError("version or coding")
    if len(sizes) > 1 or len(body) != int(sizes[0] if sizes else 0):
        raise ValueError("length")
    return method, path, headers, body


# What is forwarded: bytes of the caller, then method, path and body.
FORWARDED = {
    "offer to upgrade, with a length": (
        _HEAD + _OFFER + _SIZED,
        (b"POST", b"/p", b"abcde"),
    ),
    "offer to upgrade, in chunks": (
        _HEAD + _OFFER + _CHUNKED,
        (b"POST", b"/p", b"abcde"),
    ),
    "offer to upgrade, without a body": (
        b"GET /p HTTP/1.1\r\nHost: x\r\n" + _OFFER + b"\r\n",
        (b"GET", b"/p", b""),
    ),
    "offer that Connection does not name": (
        b"GET /p HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n\r\n",
        (b"GET", b"/p", b""),
    ),
    "absolute form": (
        b"POST http://x/p HTTP/1.1\r\nHost: y\r\n" + _SIZED,
        (b"POST", b"/p", b"abcde"),
    ),
    "absolute form without a path": (
        b"GET HTTP://x?q HTTP/1.1\r\nHost: y\r\n\r\n",
        (b"GET", b"/?q", b""),
    ),
    "extensions of chunks and trailers": (
        _HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nabcde\r\n0\r\n"
        + b"Attempt-Id: 2\r\n\r\n",
        (b"POST", b"/p", b"abcde"),
    ),
    "TRACE": (
        b"TRACE /p HTTP/1.1\r\nHost: x\r\n\r\n",
        (b"TRACE", b"/p", b""),
    ),
    "expectation": (
        _HEAD + b"Expect: 100-continue\r\n" + _SIZED,
        (b"POST", b"/p", b"abcde"),
    ),
}
# What is refused: bytes of the caller, then the status.
REFUSED = {
    "preface of HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
    "CONNECT": (b"CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n" + _NEXT, 501),
    "TRACE with a body": (b"TRACE /p HTTP/1.1\r\nHost: x\r\n" + _SIZED, 400),
    "HTTP/2.0": (b"GET /p HTTP/2.0\r\nHost: x\r\n\r\n", 505),
    "HTTP/0.9": (b"GET /p HTTP/0.9\r\nHost: x\r\n\r\n", 505),
    "fragment": (b"GET /p#f HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    "two hosts": (_HEAD + b"Host: y\r\n" + _SIZED, 400),
    "user in the authority": (
        b"GET http://u@x/p HTTP/1.1\r\nHost: x\r\n\r\n",
        400,
    ),
    "no authority": (b"GET http:///p HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    "chunks of HTTP/1.0": (b"POST /p HTTP/1.0\r\nHost: x\r\n" + _CHUNKED, 400),
    "coding before chunked": (
        _HEAD
        + b"Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        501,
    ),
    "two lines of codings": (
        _HEAD + b"Transfer-Encoding: gzip\r\n" + _CHUNKED,
        501,
    ),
    "length in the trailers": (
        _HEAD + _CHUNKED[:-2] + b"Content-Length: 9\r\n\r\n",
        400,
    ),
    "length and chunks": (_HEAD + b"Content-Length: 5\r\n" + _CHUNKED, 400),
    "two lengths": (_HEAD + b"Content-Length: 5\r\n" + _SIZED, 400),
    "offer to upgrade with two lengths": (
        _HEAD + _OFFER + b"Content-Length: 4\r\n" + _SIZED,
        400,
    ),
    "unknown expectation": (_HEAD + b"Expect: x\r\n" + _SIZED, 417),
}


@dataclasses.dataclass(frozen=True)
class Sent:
    """Request as a caller sends it, and what a target is to get of it."""

    data: bytes
    method: bytes
    path: bytes
    body: bytes


@st.composite
def make_sent(draw) -> Sent:
    """Draw a request in one of the forms that a caller may choose."""
    method = draw(st.sampled_from((b"GET", b"POST", b"PUT", b"DELETE")))
    path = draw(st.sampled_from((b"/p", b"/p/q?r=1", b"/%2e", b"/")))
    body = draw(st.binary(max_size=40))
    is_absolute = draw(st.booleans())
    lines = [b"Host: " + (b"other" if is_absolute else b"x"), b"Attempt-Id: 1"]
    lines += draw(
        st.lists(
            st.sampled_from(
                (
                    b"Connection: keep-alive, Upgrade",
                    b"Upgrade: h2c",
                    b"Connection: X-Drop",
                    b"X-Drop: 1",
                    b"X-Kept: Content-Length: 3",
                    b"Expect: 100-continue",
                    b"Keep-Alive: timeout=1",
                )
            ),
            unique=True,
        )
    )
    if draw(st.booleans()):
        cut = draw(st.integers(0, len(body)))
        lines.append(b"Transfer-Encoding: chunked")
        pieces = [p for p in (body[:cut], body[cut:]) if p]
        encoded = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces)
        encoded += b"0\r\n" + draw(st.sampled_from((b"", b"X-T: 1\r\n")))
        encoded += b"\r\n"
    else:
        lines.append(b"Content-Length: %d" % len(body))
        encoded = body
    lines = draw(st.permutations(lines))
    target = b"http://x" + path if is_absolute else path
    head = b"\r\n".join((b"%b %b HTTP/1.1" % (method, target), *lines))
    return Sent(head + b"\r\n\r\n" + encoded, method, path, body)


class FramingTest(unittest.TestCase):

    # Guards against UNASKED: the body of a request that offers an upgrade was
    # lost, and the target ran the request without it.
    def test_target_gets_method_path_and_body_as_sent(self):
        for name, (data, expected) in FORWARDED.items():
            with self.subTest(name):
                requests, status = parse(data + _NEXT)
                self.assertEqual(status, 0)
                self.assertEqual([r.url for r in requests[1:]], [b"/next"])
                self.assertTrue(requests[0].is_keep_alive)
                method, path, headers, body = read_strictly(
                    forward(requests[0])
                )
                self.assertEqual((method, path, body), expected)
                self.assertEqual(list_values(headers, b"host"), [b"x"])
                self.assertEqual(list_values(headers, b"attempt-id"), [])
                for dropped in (b"upgrade", b"http2-settings", b"expect"):
                    self.assertEqual(list_values(headers, dropped), [])

    # Guards against UNASKED: requests whose framing a target may understand in
    # another way.
    def test_doubtful_request_is_refused_with_its_status(self):
        for name, (data, expected) in REFUSED.items():
            with self.subTest(name):
                requests, status = parse(data)
                self.assertEqual((requests, status), ([], expected))

    def test_offer_to_upgrade_counts_its_body_once(self):
        head = _HEAD + _OFFER + b"Content-Length: 2001\r\n\r\n"
        self.assertEqual(parse(head)[1], 413)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(make_sent(), min_size=1, max_size=3),
        st.lists(st.integers(0, 2000), max_size=6),
    )
    def test_targets_get_what_callers_sent_at_any_read_boundary(
        self, sent, cuts
    ):
        requests, status = parse(b"".join(s.data for s in sent), cuts)
        self.assertEqual(status, 0)
        got = []
        for request in requests:
            method, path, headers, body = read_strictly(forward(request))
            self.assertEqual(list_values(headers, b"host"), [b"x"])
            self.assertEqual(list_values(headers, b"attempt-id"), [b"1"])
            got.append((method, path, body))
        self.assertEqual(got, [(s.method, s.path, s.body) for s in sent])

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(make_sent(), st.integers(0, 400), st.binary(min_size=1, max_size=3))
    def test_changed_bytes_reach_no_target_with_doubtful_framing(
        self, sent, at, change
    ):
        at %= len(sent.data)
        data = sent.data[:at] + change + sent.data[at + len(change) :]
        for request in parse(data)[0]:
            method, path, _, body = read_strictly(forward(request))
            self.assertEqual(
                (method, path, body),
                (request.method, request.url, request.body),
            )


if __name__ == "__main__":
    unittest.main()
