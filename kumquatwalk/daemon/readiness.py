"""HTTP handler for readiness checks."""

from collections.abc import Callable

from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.http1.message import HttpResponse

__all__ = ["ReadinessHandler"]


class ReadinessHandler:
    """Answers 200 while the node is ready for callers, and 503 otherwise.

    Args:
        is_ready: Returns whether the node is ready.
    """

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one readiness check.

        Args:
            request: Ignored; every path and method is answered.
        """
        del request
        return HttpResponse(200 if self._is_ready() else 503)
