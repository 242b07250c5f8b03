"""Tests of the encoding of messages between nodes."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.exception import FrameError
from kumquatwalk.link import codec
from kumquatwalk.link.call import Call
from kumquatwalk.link.catalogue_reply import CatalogueReply
from kumquatwalk.link.catalogue_request import CatalogueRequest
from kumquatwalk.link.decoder import decode_message
from kumquatwalk.link.forward import Forward
from kumquatwalk.link.hello import Hello
from kumquatwalk.link.reply import Reply
from kumquatwalk.link.running import Running
from kumquatwalk.link.welcome import Welcome
from kumquatwalk.outcome import Outcome

PAYLOAD_BYTES_MAX = 1 << 20
_IDS = st.binary(min_size=16, max_size=16)
_U64 = st.integers(0, 2**64 - 1)
_TEXT = st.text(max_size=30).filter(lambda t: "\0" not in t)
MESSAGES = st.one_of(
    st.builds(Hello, _TEXT, _U64, _TEXT),
    st.builds(Welcome, _TEXT, _U64, _U64),
    st.builds(
        Call,
        attempt_id=_IDS,
        request_id=_IDS,
        entry=_TEXT,
        method=_TEXT,
        url=st.binary(),
        headers=st.binary(),
        body=st.binary(),
        priority=st.integers(0, 1023),
        depth=st.integers(0, 32),
        tokens=st.integers(0, 65535),
        idempotent=st.booleans(),
        protected=st.booleans(),
        remaining_us=_U64,
        sent_at_us=_U64,
        crash_marks=st.binary(),
    ),
    st.builds(
        Reply,
        outcome=st.sampled_from(Outcome),
        code=_TEXT,
        status=st.integers(100, 599),
        headers=st.binary(),
        body=st.binary(),
        tokens=st.integers(0, 65535),
        gate_level=st.integers(-1, 1023),
        entry_level=st.integers(-1, 1023),
        queue_us=st.integers(0, 2**32 - 1),
        run_us=st.integers(0, 2**32 - 1),
        crash_mark=st.binary(),
    ),
    st.builds(Forward, _TEXT, st.binary(), st.binary(), st.binary(), _U64),
    st.builds(CatalogueRequest, _U64),
    st.builds(CatalogueReply, _U64, st.binary()),
    st.builds(Running),
)


def _decode(frame: bytes) -> object:
    header = frame[: codec.HEADER_BYTES]
    kind, length = codec.decode_header(header, PAYLOAD_BYTES_MAX)
    payload = frame[codec.HEADER_BYTES :]
    assert len(payload) == length
    return decode_message(kind, payload)


class CodecTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None)
    @given(MESSAGES)
    def test_round_trip(self, message):
        self.assertEqual(_decode(codec.encode_message(message)), message)

    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 255), st.binary(max_size=200))
    def test_random_payload_is_a_frame_error_or_a_message(self, kind, payload):
        try:
            decode_message(kind, payload)
        except FrameError as error:
            self.assertTrue(error.code.startswith("frame_"))

    @settings(derandomize=True, deadline=None)
    @given(MESSAGES, st.data())
    def test_damaged_frame_is_a_frame_error_or_a_message(self, message, data):
        frame = bytearray(codec.encode_message(message))
        at = data.draw(st.integers(0, len(frame) - 1))
        frame[at] ^= data.draw(st.integers(1, 255))
        header = bytes(frame[: codec.HEADER_BYTES])
        try:
            kind, _ = codec.decode_header(header, PAYLOAD_BYTES_MAX)
            decode_message(kind, bytes(frame[codec.HEADER_BYTES :]))
        except FrameError as error:
            self.assertTrue(error.code.startswith("frame_"))

    def test_foreign_header_is_refused(self):
        with self.assertRaises(FrameError) as caught:
            codec.decode_header(b"GET / HTT", PAYLOAD_BYTES_MAX)
        self.assertEqual(caught.exception.code, "frame_foreign")

    def test_long_payload_is_refused_before_it_is_read(self):
        header = b"KQW1\x03\xff\xff\xff\x7f"
        with self.assertRaises(FrameError) as caught:
            codec.decode_header(header, PAYLOAD_BYTES_MAX)
        self.assertEqual(caught.exception.code, "frame_too_long")
