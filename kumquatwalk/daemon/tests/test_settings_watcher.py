"""Tests of settings that change while the daemon runs."""

import asyncio
import errno
import pathlib
import tempfile
import unittest
from unittest import mock

from kumquatwalk.daemon import settings_watcher
from kumquatwalk.daemon.settings_watcher import SettingsWatcher
from kumquatwalk.platform.settings import load_settings

POLL_S = 0.01
TIMEOUT_S = 10.0
SETTINGS = """\
node = "n1"
zone = "z1"
service = "web"
appAddr = "127.0.0.1:9"
bounds = ["graceS={grace}"]
[listen]
inbound = "127.0.0.1:1"
outbound = "127.0.0.1:2"
ready = "127.0.0.1:3"
control = "127.0.0.1:4"
[platform]
address = "127.0.0.1:9"
"""


class SettingsWatcherTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name, "node.toml")
        self.write(6)
        self.changes = []
        self.watcher = SettingsWatcher(
            str(self.path), load_settings(str(self.path)), self.changes.append
        )

    def write(self, grace: int) -> None:
        """Write settings with a grace period, in seconds."""
        text = SETTINGS.format(grace=grace)
        self.path.write_text(text, encoding="utf-8")

    # Guards against LOST: a change that could not be read once, as no
    # descriptor was left, was never in force, and stops had the bounds of
    # before.
    async def test_change_that_could_not_be_read_is_read_again(self):
        self.write(7)
        error = OSError(errno.EMFILE, "Too many open files")
        with mock.patch.object(pathlib.Path, "read_text", side_effect=error):
            self.watcher.check()
        self.assertEqual(self.changes, [])
        with mock.patch.object(settings_watcher, "CHECK_INTERVAL_S", POLL_S):
            self.watcher.start()
            self.addCleanup(self.watcher.close)
            async with asyncio.timeout(TIMEOUT_S):
                while not self.changes:
                    await asyncio.sleep(POLL_S)
        self.assertEqual(self.changes[0].bounds.grace_s, 7.0)


if __name__ == "__main__":
    unittest.main()
