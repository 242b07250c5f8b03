"""Errors that the package raises, each with a stable code.

A code is what callers, operators and scripts may rely on; a message is for
people and may change between releases.
"""

__all__ = [
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
    """Base of all errors of this package.

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
    """A setting is missing, malformed or out of its range."""


class CatalogueError(KumquatwalkError):
    """A catalogue, an entry or an edit breaks a rule; nothing was changed."""


class EditConflictError(CatalogueError):
    """Another operator changed the entry first; nothing was changed."""


class PlatformError(KumquatwalkError):
    """The platform's service refused an operation, which had no effect."""


class PlatformUnavailableError(PlatformError):
    """The platform's service did not take the operation, which had no effect.

    Raised only when the request was certainly not sent.
    """


class PlatformFormatError(PlatformError):
    """A document or message of the platform cannot be read."""


class CompareFailedError(PlatformError):
    """The key was not at the expected revision; the write had no effect."""


class LeaseLostError(PlatformError):
    """The lease has ended, and its keys are gone."""


class HistoryLostError(PlatformError):
    """The store has dropped the changes that a watch asked for."""


class PlatformReadError(PlatformError):
    """A read was sent but got no usable answer; reads have no effect."""


class OutcomeUnknownError(PlatformError):
    """The platform's answer was lost: the operation may have taken effect."""


class MembershipError(KumquatwalkError):
    """A membership message is malformed or the service cannot run."""


class FrameError(KumquatwalkError):
    """A frame between nodes is malformed, oversized or foreign."""


class LinkError(KumquatwalkError):
    """A connection between nodes failed.

    Attributes:
        sent: Whether any part of a request may have reached the peer.
    """

    def __init__(self, code: str, message: str, sent: bool):
        super().__init__(code, message)
        self.sent = sent


class ExchangeError(KumquatwalkError):
    """An HTTP exchange ended without a whole response.

    Attributes:
        sent: Whether any part of the request may have reached the server.
    """

    def __init__(self, code: str, message: str, sent: bool):
        super().__init__(code, message)
        self.sent = sent


class RequestError(KumquatwalkError):
    """A caller's request cannot be served as it stands."""
