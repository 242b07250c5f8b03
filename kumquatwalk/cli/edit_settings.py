"""Settings that the editing commands share."""

import dataclasses
import time

from kumquatwalk.catalogue.editor import Editor

__all__ = ["EditSettings", "take_settings"]


@dataclasses.dataclass(frozen=True, slots=True)
class EditSettings:
    """Settings of one editing command.

    Attributes:
        platform: Address of the platform's service.
        timeout_s: Seconds allowed for one answer of the platform.
        author: Who makes the change.
        reason: Why.
        as_admin: Whether to edit entries of other owners.
        expect: Revision that the operator looked at; None for the present.
        dry_run: Whether to write nothing.
        as_json: Whether to print JSON.
    """

    platform: str
    timeout_s: float
    author: str
    reason: str
    as_admin: bool
    expect: int | None
    dry_run: bool
    as_json: bool

    def make_editor(self) -> Editor:
        """Return the editor of a change that is made now."""
        at_unix_ms = round(time.time() * 1000)
        return Editor(self.author, self.reason, at_unix_ms, self.as_admin)


def take_settings(options: dict[str, object]) -> EditSettings:
    """Take the shared settings out of the options of a command.

    Args:
        options: Options by name; the shared ones are removed.
    """
    names = [field.name for field in dataclasses.fields(EditSettings)]
    return EditSettings(**{name: options.pop(name) for name in names})
