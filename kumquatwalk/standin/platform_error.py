"""Refusal of an operation by the stand-in platform."""

from kumquatwalk.exception import KumquatwalkError

__all__ = ["RefusalError"]


class RefusalError(KumquatwalkError):
    """The stand-in refused an operation, which had no effect.

    Attributes:
        status: HTTP status that tells the client.
    """

    def __init__(self, status: int, code: str, message: str):
        super().__init__(code, message)
        self.status = status
