"""Messages for tests."""

from kumquatwalk.mesh.message import Call

__all__ = ["make_call"]


def make_call(**changes) -> Call:
    """Return an idempotent call of rank 2.

    Args:
        **changes: Fields set in place of the usual ones.
    """
    fields = {
        "key": 0,
        "attempt_id": b"attempt",
        "route": "browse",
        "service": "web",
        "caller_service": "",
        "is_idempotent": True,
        "is_returning": False,
        "rank": 2,
        "deadline": 100.0,
        "start_by": 100.0,
        "method": b"GET",
        "url": b"/",
        "headers": (),
        "body": b"",
    }
    return Call(**(fields | changes))
