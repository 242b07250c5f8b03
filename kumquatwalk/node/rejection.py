"""Log of frames that were refused."""

from kumquatwalk.exception import FrameError
from kumquatwalk.logs import Level
from kumquatwalk.logs import log_event

__all__ = ["log_rejection"]


def log_rejection(host: str, error: FrameError) -> None:
    """Log that a peer sent a malformed frame."""
    log_event(
        "frame_rejected",
        Level.WARNING,
        peer=host,
        code=error.code,
        error=error.message,
    )
