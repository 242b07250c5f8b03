"""Shares of requests that end well while a service refuses 55% of calls.

Run as ``python -m benchmarks.retry_shares``; all times are simulated.
"""

import collections

from kumquatwalk.admission.tests.retry_load import END_S
from kumquatwalk.admission.tests.retry_load import KINDS
from kumquatwalk.admission.tests.retry_load import RetryLoad

__all__ = ["main"]

SEEDS = 6
CASES = (
    {"is_limited": False},
    {},
    {"timeout_factor": 0.6, "is_limited": False},
    {"timeout_factor": 0.6},
    {"timeout_factor": 0.3, "is_limited": False},
    {"timeout_factor": 0.3},
    {"attempts_max": 3},
    {"attempts_max": 6},
    {"rate_per_s": 838.0, "nodes": 20, "is_limited": False},
    {"rate_per_s": 838.0, "nodes": 20},
    {"rate_per_s": 40.0, "nodes": 4},
)


def main() -> None:
    """Print one line for each case, over all seeds."""
    for case in CASES:
        counts = collections.Counter()
        admitted = collections.Counter()
        worst = 0.0
        refused_after_s = 0.0
        for seed in range(SEEDS):
            load = RetryLoad(seed, **case)
            load.run()
            counts += load.counts
            admitted += load.admitted
            worst = max(worst, load.find_worst_window())
            last = max(load.refused_at, default=END_S)
            refused_after_s = max(refused_after_s, last - END_S)
        shares = " ".join(
            f"{kind}: {counts[kind, 'done'] / counts[kind, 'asked']:.3f} of "
            f"{counts[kind, 'asked']} asked for, "
            f"{admitted[kind, 'done'] / admitted[kind, 'admitted']:.3f} of "
            f"{admitted[kind, 'admitted']} admitted;"
            for kind in KINDS
        )
        print(
            f"{case}: {shares} retries in the worst window over the bound "
            f"{worst:.2f}; last refusal {refused_after_s:.2f} s after the end"
        )


if __name__ == "__main__":
    main()
