"""Exceptions of the package, each with a stable code.

Callers, operators and scripts may rely on codes. Messages are for people and
may change between releases.
"""

__all__ = [
    "AnswerWithheldError",
    "CatalogueError",
    "CompareFailedError",
    "EditConflictError",
    "ExchangeError",
    "FrameError",
    "HistoryLostError",
    "KumquatwalkError",
    "LeaseLostError",
    "LinkError",
    "MembershipError",
    "OutcomeUnknownError",
    "PlatformError",
    "PlatformFormatError",
    "PlatformReadError",
    "PlatformUnavailableError",
    "RequestError",
    "SettingError",
]


class KumquatwalkError(Exception):
    """Base class of all exceptions of this package.

    Attributes:
        code: Stable identifier, lower case words joined by underscores.
        message: Explanation for people.

    Example:
        >>> str(KumquatwalkError("entry_unknown", "no entry named x"))
        'entry_unknown: no entry named x'
    """

    def __init__(self, code: str, message: str):
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message


class SettingError(KumquatwalkError):
    """A setting is missing, malformed or out of range."""


class CatalogueError(KumquatwalkError):
    """A catalogue, an entry or an edit is invalid; nothing was changed."""


class EditConflictError(CatalogueError):
    """The entry was changed concurrently; this edit had no effect."""


class PlatformError(KumquatwalkError):
    """The platform refused an operation, which had no effect."""


class PlatformUnavailableError(PlatformError):
    """The platform is unavailable; the operation had no effect.

    Raised only when the request was certainly not sent.
    """


class PlatformFormatError(PlatformError):
    """A document or message from the platform cannot be decoded."""


class CompareFailedError(PlatformError):
    """Compare-and-swap failed: the key was not at the expected revision."""


class LeaseLostError(PlatformError):
    """The lease has expired, and its keys have been deleted."""


class HistoryLostError(PlatformError):
    """The store no longer has the changes that a watch requested."""


class PlatformReadError(PlatformError):
    """A read was sent but got no usable response."""


class OutcomeUnknownError(PlatformError):
    """The platform's response was lost; the operation may have taken effect."""


class MembershipError(KumquatwalkError):
    """A membership message is malformed, or membership cannot be run."""


class FrameError(KumquatwalkError):
    """A frame between nodes is malformed, too long or of another protocol."""


class LinkError(KumquatwalkError):
    """A connection between nodes failed.

    Attributes:
        sent: Whether any part of a request may have reached the peer.
    """

    def __init__(self, code: str, message: str, sent: bool):
        super().__init__(code, message)
        self.sent = sent


class AnswerWithheldError(KumquatwalkError):
    """Closes a caller's connection without an answer; simulated faults only.

    All requests in progress on the connection end without an answer.
    """


class ExchangeError(KumquatwalkError):
    """An HTTP exchange ended without a complete response.

    Attributes:
        sent: Whether any part of the request may have reached the server.
    """

    def __init__(self, code: str, message: str, sent: bool):
        super().__init__(code, message)
        self.sent = sent


class RequestError(KumquatwalkError):
    """A request of a caller is invalid and cannot be served."""
