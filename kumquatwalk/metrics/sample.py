"""One value of a metric at the time of reading."""

import dataclasses

from kumquatwalk.metrics.label import Label

__all__ = ["Sample"]


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One value read from a series.

    Attributes:
        name: Name of the metric, with the suffix of a summary if any.
        labels: Labels of the series.
        value: Value read.
    """

    name: str
    labels: tuple[Label, ...]
    value: float
