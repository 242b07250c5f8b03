"""How far the places of one service are filled, from the load that follows."""

import dataclasses

__all__ = ["ServiceLoad", "ServiceUse"]

# Share of a service's places that requests are let through for when it is first
# found full, and the least. It follows the load, which corrects what is still
# over- or underestimated, so it may rise above one; above the last figure
# nothing is refused for the service any more.
USE_FIRST = 0.95
USE_LEAST = 0.4
USE_FREE = 1.6
# Load above which a service is full, and below which it has room: calls that
# run and wait over those that may run.
FULL_LOAD = 1.05
EASY_LOAD = 0.95
# Share by which the use falls at each look while the service is full, and by
# which it rises when nothing runs.
USE_FALL = 0.03
USE_RISE = 0.3
# Share of the places that is held back, while calls wait, for each call that
# waits over those that may run; it goes when the queue has gone.
QUEUE_WEIGHT = 0.15
# Load up to which a queue is taken for demand that the rates do not show yet:
# they are up to two seconds old when a surge begins.
LOAD_TRUSTED = 2.0
# Weight of one look in the ratio of the load to the estimated need, and the
# bounds of that ratio; it is learnt while all requests pass.
SCALE_WEIGHT = 0.2
SCALE_LEAST = 0.4
SCALE_MOST = 2.5
# Share of the places that must be asked for, to learn from it.
SCALE_FROM = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of all targets of a service.

    Attributes:
        busy: Calls that run and that wait.
        limit: Calls that may run.
    """

    busy: int
    limit: int

    @property
    def share(self) -> float:
        """Calls that run and wait over those that may run."""
        return self.busy / max(1, self.limit)


class ServiceUse:
    """Follows the load of a service: slowly by its level, at once by its queue.

    A proportional term drains a queue, and an integral term finds the level
    that fills the places, so that the level does not sink while a queue that
    is there already drains.
    """

    def __init__(self):
        self._scale = 1.0
        self._level: float | None = None
        self._load = ServiceLoad(0, 0)
        self._asked = 0.0

    @property
    def is_full(self) -> bool:
        """Whether requests for the service are to be refused."""
        return self._level is not None

    def look(self, load: ServiceLoad, asked: float, all_pass: bool) -> None:
        """Follow the load.

        Args:
            load: Load of the service.
            asked: Places that all requests would take, as estimated.
            all_pass: Whether no request has been refused since the last look.
        """
        self._load = load
        self._asked = asked
        if all_pass and load.share < EASY_LOAD:
            self._learn_scale()
        level = self._level
        if load.share > FULL_LOAD:
            level = USE_FIRST if level is None else level * (1.0 - USE_FALL)
            level = max(USE_LEAST, level)
        elif level is not None and load.share < EASY_LOAD:
            level *= 1.0 + USE_RISE * (1.0 - load.share / EASY_LOAD)
            if level > USE_FREE:
                level = None
        self._level = level

    def find_capacity(self) -> float:
        """Return the estimated need that may pass, in places, while full."""
        queue = max(0.0, self._load.share - 1.0)
        use = max(USE_LEAST, self._level - QUEUE_WEIGHT * queue)
        return use * self._load.limit / self._find_factor()

    def find_reserve(self, use: float) -> float:
        """Return the estimated need that fills a share of the places.

        Args:
            use: Share of the places; the level counts where it is higher.
        """
        return max(use, self._level) * self._load.limit / self._scale

    def _learn_scale(self) -> None:
        if self._asked <= SCALE_FROM * self._load.limit:
            return
        ratio = self._load.busy / self._asked
        scale = self._scale + SCALE_WEIGHT * (ratio - self._scale)
        self._scale = min(SCALE_MOST, max(SCALE_LEAST, scale))

    def _find_factor(self) -> float:
        """Return the true need over the estimated one."""
        if not self._asked:
            return self._scale
        shown = min(LOAD_TRUSTED, self._load.share) * self._load.limit
        return max(self._scale, shown / self._asked)
