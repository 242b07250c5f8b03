"""Sample: one value of a series at one time."""

import dataclasses

from kumquatwalk.metrics.label import Label

__all__ = ["Sample"]


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Value of a series at one time.

    Attributes:
        name: Name of the metric; for the sum and count of a summary with the
            suffix ``_sum`` or ``_count``.
        labels: Labels of the series; for a quantile of a summary with the
            label ``quantile`` in addition.
        value: Value of the series.
    """

    name: str
    labels: tuple[Label, ...]
    value: float
