"""Holder of the fleet configuration in force."""

from collections.abc import Callable

from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.mesh.message import ConfigDocument

__all__ = ["ConfigHolder", "SOURCE_STORE"]

SOURCE_STORE = "store"


class ConfigHolder:
    """Decodes configuration documents and keeps the newest valid one.

    The version in force never decreases.

    Args:
        decode: Decodes a document; raises KumquatwalkError if it is invalid.
        on_change: Called with each configuration that comes into force.

    Attributes:
        config: Configuration in force; None before the first.
        stored_version: Version that the store had when it was read last; 0
            before. Lower than the one in force if the store has lost that.
        document: Its document, as sent to other nodes; None before the first.
    """

    def __init__(
        self,
        decode: Callable[[bytes], FleetConfig],
        on_change: Callable[[FleetConfig], None],
    ):
        self._decode = decode
        self._on_change = on_change
        self._last_rejected = b""
        self.config: FleetConfig | None = None
        self.stored_version = 0
        self.document: ConfigDocument | None = None

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return 0 if self.config is None else self.config.version

    def update(self, document: bytes, source: str) -> None:
        """Put a document into force if it is valid and newer.

        An invalid or older one is logged and otherwise ignored. It is not
        logged again while the same document is offered repeatedly.

        Args:
            document: Encoded configuration, as the operators wrote it.
            source: Origin of the document, ``SOURCE_STORE`` or another one,
                for the log.
        """
        try:
            config = self._decode(document)
        except KumquatwalkError as error:
            if document != self._last_rejected:
                log_event(
                    "config_rejected",
                    Level.ERROR,
                    source=source,
                    kept_version=self.version,
                    error=error.message,
                )
            self._last_rejected = document
            return
        if source == SOURCE_STORE:
            self.stored_version = config.version
        if config.version < self.version and document != self._last_rejected:
            log_event(
                "config_older_ignored",
                Level.WARNING,
                source=source,
                version=config.version,
                kept_version=self.version,
            )
            self._last_rejected = document
        if config.version <= self.version:
            return
        log_event(
            "config_in_force",
            version=config.version,
            previous=self.version,
            routes=len(config.routes),
            source=source,
        )
        self.config = config
        self.document = ConfigDocument(config.version, document)
        self._on_change(config)
