"""Label of a metric."""

import dataclasses

__all__ = ["Label"]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Label:
    """Name and value that distinguish the series of one metric.

    Attributes:
        name: Lower case words joined by underscores.
        value: Any text.
    """

    name: str
    value: str
