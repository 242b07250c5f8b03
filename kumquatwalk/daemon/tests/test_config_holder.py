"""Tests of the fleet configuration in force at a node."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.exception import PlatformFormatError


def decode(document: bytes) -> FleetConfig:
    """Decode a document that consists of a version number."""
    if not document.isdigit():
        raise PlatformFormatError("json_invalid", "not a number")
    return FleetConfig(int(document), (), {}, CallerLimits())


class ConfigHolderTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 9).map(str) | st.just("bad")))
    def test_never_goes_back_and_holds_only_good_documents(self, documents):
        applied = []
        holder = ConfigHolder(decode, applied.append)
        for document in documents:
            before = holder.version
            holder.update(document.encode(), "test")
            self.assertGreaterEqual(holder.version, before)
        versions = [int(d) for d in documents if d != "bad"]
        self.assertEqual(holder.version, max(versions, default=0))
        in_force = [config.version for config in applied]
        self.assertEqual(in_force, sorted(set(in_force)))

    def test_document_for_other_nodes_is_the_one_in_force(self):
        holder = ConfigHolder(decode, lambda _: None)
        for document in (b"3", b"bad", b"2"):
            holder.update(document, "test")
        self.assertEqual(holder.document.document, b"3")
        self.assertEqual(holder.document.version, 3)


if __name__ == "__main__":
    unittest.main()
