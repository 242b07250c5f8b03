"""Measure goodput, recovery and shedding under a surge of three times.

The same load with the same seed goes to three fleets in turn: nodes with
overload control, plain forwarders without control, and forwarders with fixed
limits. Callers repeat a request that failed. The last line printed is one
JSON object; keys of the two baselines begin with ``baseline_`` and
``static_``.

``goodput_ratio`` is whole requests completed in time during the surge over
the capacity of the narrow service, which is its slots over the mean time of
its runs before the surge. ``recovery_s`` is the time from the end of the surge
to the first second from which on every second is back within a tenth of the
worst second before the surge, in the share of requests done and in p99.
"""

import argparse
import asyncio
import json
import os
import pathlib
import resource
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

# pylint: disable=wrong-import-position
from benchmarks.surge_fleet import SERVICE_MS
from benchmarks.surge_fleet import Control
from benchmarks.surge_fleet import Fault
from benchmarks.surge_fleet import SurgeFleet
from benchmarks.surge_load import CallerPolicy
from benchmarks.surge_load import LoadPhase
from benchmarks.surge_load import SurgeLoad
from benchmarks.surge_result import SurgeTimes
from benchmarks.surge_result import describe_surge
from benchmarks.surge_shape import SHAPES
from benchmarks.surge_shape import SurgeShape

__all__ = ["main"]

BASE_LOAD = 0.6
SURGE_LOAD = 3.0
WARM_UP_S = 3.0
BEFORE_S = 4.0
AFTER_S = 8.0
FAULT_DELAY_S = 2.0
POLICY = CallerPolicy(attempts=3, pause_s=0.4)
HARD_POLICY = CallerPolicy(attempts=12, pause_s=0.05)
PREFIXES = {
    Control.FULL: "",
    Control.NONE: "baseline_",
    Control.STATIC: "static_",
}


class SurgeRun:
    """One fleet under one surge.

    Args:
        shape: The fleet.
        control: Its overload control.
        fault: Fault injected during the surge.
        surge_s: Length of the surge.
        seed: Seed.
    """

    def __init__(
        self,
        shape: SurgeShape,
        control: Control,
        fault: Fault,
        surge_s: float,
        seed: int,
    ):
        self._shape = shape
        self._control = control
        self._fault = fault
        self._surge_s = surge_s
        self._seed = seed
        self._fleet = SurgeFleet(shape, control, seed)
        self._started: list[float] = []
        self._cpu: list[dict[str, float]] = []

    def measure(self) -> dict[str, float]:
        """Start the fleet, load it, stop it and return its figures."""
        try:
            self._fleet.start()
            return self._measure()
        finally:
            self._fleet.close()

    def _measure(self) -> dict[str, float]:
        is_hard = self._fault is Fault.HARD_RETRIES
        load = SurgeLoad(
            self._shape,
            self._fleet.addresses,
            HARD_POLICY if is_hard else POLICY,
            self._control is Control.FULL,
            self._seed,
        )
        phases = self._list_phases()
        own_s = _read_own_cpu_s()
        asyncio.run(load.run(phases, self._begin_phase))
        own_s = _read_own_cpu_s() - own_s
        times = SurgeTimes(
            self._started[1],
            self._started[2],
            self._started[4],
            self._started[4] + AFTER_S,
        )
        runs = self._fleet.read_runs()
        result = describe_surge(self._shape, load.records, runs, times)
        return result | self._describe_cpu(times, own_s)

    def _list_phases(self) -> list[LoadPhase]:
        narrow = self._shape.narrow
        capacity = narrow.targets * narrow.slots * 1000 / SERVICE_MS
        base = BASE_LOAD * capacity
        surge = SURGE_LOAD * capacity
        return [
            LoadPhase(base, WARM_UP_S),
            LoadPhase(base, BEFORE_S),
            LoadPhase(surge, FAULT_DELAY_S),
            LoadPhase(surge, self._surge_s - FAULT_DELAY_S),
            LoadPhase(base, AFTER_S),
        ]

    def _begin_phase(self, number: int) -> None:
        self._started.append(time.monotonic())
        self._cpu.append(self._fleet.read_cpu_s())
        if number == 3:
            self._fleet.set_fault(self._fault, True)
        if number == 4:
            self._fleet.set_fault(self._fault, False)

    def _describe_cpu(
        self, times: SurgeTimes, own_s: float
    ) -> dict[str, float]:
        surge_s = times.ended_at - times.started_at
        used_s = self._cpu[4]["all"] - self._cpu[2]["all"]
        nodes_s = self._cpu[4]["nodes"] - self._cpu[2]["nodes"]
        total_s = times.load_ended_at - self._started[0]
        return {
            "surge_cores_used": round(used_s / surge_s, 2),
            "surge_cores_nodes": round(nodes_s / surge_s, 2),
            "driver_cores_used": round(own_s / total_s, 2),
        }


def _read_own_cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def main() -> None:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shape", choices=sorted(SHAPES), default="kigali")
    parser.add_argument(
        "--fault", choices=[f.value for f in Fault], default="none"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--surge-s", type=float, default=8.0)
    parser.add_argument("--only-full", action="store_true")
    arguments = parser.parse_args()
    result: dict[str, object] = {
        "shape": arguments.shape,
        "fault": arguments.fault,
        "seed": arguments.seed,
        "cores": os.cpu_count(),
    }
    for control, prefix in PREFIXES.items():
        if arguments.only_full and control is not Control.FULL:
            continue
        run = SurgeRun(
            SHAPES[arguments.shape],
            control,
            Fault(arguments.fault),
            arguments.surge_s,
            arguments.seed,
        )
        figures = run.measure()
        result |= {prefix + key: value for key, value in figures.items()}
        print(f"{control.value}: {json.dumps(figures)}", flush=True)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
