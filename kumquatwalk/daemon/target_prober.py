"""Health probes while it is unknown whether the target accepts calls."""

import asyncio

from kumquatwalk.clock import read_now
from kumquatwalk.daemon.config_holder import ConfigHolder
from kumquatwalk.daemon.health_check import make_health_check
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.target_side import TargetSide
from kumquatwalk.event_loop import limit_time
from kumquatwalk.exception import ExchangeError
from kumquatwalk.http1.client_connection import open_connection
from kumquatwalk.logs import log_event
from kumquatwalk.platform.target_response import read_target_id
from kumquatwalk.platform.target_response import read_target_slots
from kumquatwalk.platform.target_response import read_target_slowness
from kumquatwalk.tasks import keep_running

__all__ = ["TargetProber"]

# Interval between probes while one is needed, and of the checks whether one is,
# in seconds. A request brings the next one forward.
PROBE_INTERVAL_S = 0.7
# Interval of the checks whether the configuration is known yet, in seconds.
CONFIG_POLL_S = 0.05
# Timeout of a probe, in seconds: it may be queued at the target.
PROBE_TIMEOUT_S = 1.0
_ANSWER_BYTES_MAX = 65536


class TargetProber:
    """Probes the target's health check while ``TargetSide.needs_probe`` holds.

    Probes go to the configured address, and only when the service of the target
    is configured in the settings; a service that the target has announced is
    not probed.

    Args:
        settings: Settings of the daemon.
        target_side: Target side of the node, which receives the results.
        configs: Fleet configuration, which has the path of the health check.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        target_side: TargetSide,
        configs: ConfigHolder,
    ):
        self._settings = settings
        self._target_side = target_side
        self._configs = configs
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start to probe."""
        self._task = keep_running(self._run, "target_prober")

    async def close(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while not self._configs.config:
            await asyncio.sleep(CONFIG_POLL_S)
        requested = self._target_side.probe_requested
        while True:
            requested.clear()
            if self._target_side.needs_probe:
                await self._probe()
            try:
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    await requested.wait()
            except TimeoutError:
                pass  # a probe may be needed for another reason

    async def _probe(self) -> None:
        settings = self._settings
        data = make_health_check(
            self._configs.config, settings.service, settings.target
        )
        if not data:
            return
        asked_at = read_now()
        try:
            async with limit_time(PROBE_TIMEOUT_S):
                connection = await open_connection(
                    settings.target, PROBE_TIMEOUT_S, _ANSWER_BYTES_MAX
                )
                try:
                    response = await connection.exchange(data)
                finally:
                    connection.abort()
        except (ExchangeError, TimeoutError) as error:
            log_event("target_probe_failed", error=str(error))
            return
        if response.status == 200:
            self._target_side.handle_probe(
                read_target_id(response),
                read_target_slots(response),
                asked_at,
            )
            slowness = read_target_slowness(response)
            if slowness is not None:
                self._target_side.work.observe_slowness(slowness, read_now())
        else:
            log_event("target_probe_unhealthy", status=response.status)
