"""Tests of a stop after the settings have changed the grace period."""

import dataclasses
import unittest
from unittest import mock

from kumquatwalk.clock import read_now
from kumquatwalk.daemon.process import ANSWER_MARGIN_S
from kumquatwalk.daemon.process import Daemon
from kumquatwalk.daemon.tests.stop_case import StopCase

GRACE_BEFORE_S = 10.0
GRACE_S = 4.0


def change_grace(daemon: Daemon) -> None:
    """Apply settings with a shorter grace period."""
    settings = daemon.core.settings
    bounds = dataclasses.replace(settings.bounds, grace_s=GRACE_S)
    daemon.apply_settings(dataclasses.replace(settings, bounds=bounds))


class ChangedGraceTest(StopCase):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        node = await self.fleet.add_node("web-1", "web", grace_s=GRACE_BEFORE_S)
        self.daemon = node.daemon
        await self.fleet.wait_until_ready()

    async def check_end(self) -> None:
        """Check that a stop ends within the new grace period."""
        core = self.daemon.core
        signalled_at = read_now()
        with mock.patch.object(core, "set_end", wraps=core.set_end) as set_end:
            await self.daemon.drain(signalled_at)
        self.assertEqual(
            set_end.call_args_list[0].args[0],
            signalled_at + GRACE_S - ANSWER_MARGIN_S,
        )

    # Guards against LOST: a stop went by the grace period of the start, so that
    # SIGKILL came first and cut requests that had been passed on.
    async def test_stop_ends_within_the_changed_grace_period(self):
        change_grace(self.daemon)
        await self.check_end()

    # Guards against the same where the change comes just before the signal.
    async def test_change_that_was_not_noticed_counts(self):
        self.daemon.check_settings = lambda: change_grace(self.daemon)
        await self.check_end()

    # Guards against a stop that does not begin, as the settings are not read.
    async def test_stop_goes_on_if_the_settings_cannot_be_read(self):
        change_grace(self.daemon)
        self.daemon.check_settings = mock.Mock(side_effect=OSError("denied"))
        await self.check_end()


if __name__ == "__main__":
    unittest.main()
