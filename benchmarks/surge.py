"""Measure goodput, recovery and load shedding under three times the capacity.

Three fleets run one after another under the same load with the same seed: nodes
with overload control, forwarders without it, and forwarders with fixed limits.
Callers retry requests that fail. The last line printed is one JSON object; keys
of the two baselines begin with ``baseline_`` and ``static_``.

``goodput_ratio`` is the rate of requests completed in time during the surge,
divided by the capacity of the bottleneck service. The capacity is the number of
its slots divided by the mean run time before the surge. ``recovery_s`` is the
time from the end of the surge until, in every later window of one second, the
share of requests done and their p99 are within a tenth of the worst window
before the surge.
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

# Request rates as multiples of the bottleneck service's capacity.
BASE_LOAD = 0.6
SURGE_LOAD = 3.0
WARM_UP_S = 3.0
BEFORE_S = 4.0
AFTER_S = 8.0
FAULT_DELAY_S = 2.0
POLICY = CallerPolicy(attempts=3, pause_s=0.4)
AGGRESSIVE_POLICY = CallerPolicy(attempts=12, pause_s=0.05)
PREFIXES = {
    Control.FULL: "",
    Control.NONE: "baseline_",
    Control.STATIC: "static_",
}


class SurgeRun:
    """Measures one fleet before, during and after a surge.

    Args:
        shape: Services and request kinds of the fleet.
        control: Overload control of the fleet.
        fault: Fault injected during the surge, 2 s after its start.
        surge_s: Length of the surge, in seconds.
        seed: Seed of arrivals, choices and service times.
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
        self._phase_starts: list[float] = []
        self._phase_cpu: list[dict[str, float]] = []

    def measure(self) -> dict[str, float]:
        """Start the fleet, apply the load, stop it and return the metrics."""
        try:
            self._fleet.start()
            return self._measure()
        finally:
            self._fleet.close()

    def _measure(self) -> dict[str, float]:
        is_aggressive = self._fault is Fault.HARD_RETRIES
        load = SurgeLoad(
            self._shape,
            self._fleet.addresses,
            AGGRESSIVE_POLICY if is_aggressive else POLICY,
            self._control is Control.FULL,
            self._seed,
        )
        phases = self._make_phases()
        driver_cpu_s = _read_driver_cpu_s()
        asyncio.run(load.run(phases, self._on_phase_start))
        driver_cpu_s = _read_driver_cpu_s() - driver_cpu_s
        times = SurgeTimes(
            self._phase_starts[1],
            self._phase_starts[2],
            self._phase_starts[4],
            self._phase_starts[4] + AFTER_S,
        )
        runs = self._fleet.read_runs()
        result = describe_surge(self._shape, load.records, runs, times)
        return result | self._describe_cpu(times, driver_cpu_s)

    def _make_phases(self) -> list[LoadPhase]:
        bottleneck = self._shape.bottleneck
        capacity = bottleneck.targets * bottleneck.slots * 1000 / SERVICE_MS
        base = BASE_LOAD * capacity
        surge = SURGE_LOAD * capacity
        return [
            LoadPhase(base, WARM_UP_S),
            LoadPhase(base, BEFORE_S),
            LoadPhase(surge, FAULT_DELAY_S),
            LoadPhase(surge, self._surge_s - FAULT_DELAY_S),
            LoadPhase(base, AFTER_S),
        ]

    def _on_phase_start(self, number: int) -> None:
        self._phase_starts.append(time.monotonic())
        self._phase_cpu.append(self._fleet.read_cpu_s())
        if number == 3:
            self._fleet.set_fault(self._fault, True)
        if number == 4:
            self._fleet.set_fault(self._fault, False)

    def _describe_cpu(
        self, times: SurgeTimes, driver_cpu_s: float
    ) -> dict[str, float]:
        surge_s = times.ended_at - times.started_at
        used_s = self._phase_cpu[4]["all"] - self._phase_cpu[2]["all"]
        nodes_s = self._phase_cpu[4]["nodes"] - self._phase_cpu[2]["nodes"]
        total_s = times.load_ended_at - self._phase_starts[0]
        return {
            "surge_cores_used": round(used_s / surge_s, 2),
            "surge_cores_nodes": round(nodes_s / surge_s, 2),
            "driver_cores_used": round(driver_cpu_s / total_s, 2),
        }


def _read_driver_cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def main() -> None:
    """Measure each fleet and print the metrics as JSON."""
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
