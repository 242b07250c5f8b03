"""Settings shared by the commands that edit the catalogue."""

import dataclasses
import time

from kumquatwalk.catalogue.editor import Editor

__all__ = ["EditSettings", "pop_edit_settings"]


@dataclasses.dataclass(frozen=True, slots=True)
class EditSettings:
    """Settings of a command that edits the catalogue.

    Attributes:
        platform: Address of the platform's store, as ``host:port``.
        timeout_s: Time-out of one request to the platform, in seconds.
        author: Author of the edit, as TEAM or TEAM/PERSON.
        reason: Reason for the edit, recorded in the history.
        as_admin: Whether the edit of entries of other owners is allowed.
        expect: Revision that the edit is based on; None for the current one.
        dry_run: Whether to validate the edit without writing it.
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
        """Return the editor of the audit records, with the current time."""
        at_unix_ms = round(time.time() * 1000)
        return Editor(self.author, self.reason, at_unix_ms, self.as_admin)


def pop_edit_settings(options: dict[str, object]) -> EditSettings:
    """Remove the shared settings from a command's options and return them.

    Args:
        options: Options by name; modified in place.
    """
    names = [field.name for field in dataclasses.fields(EditSettings)]
    return EditSettings(**{name: options.pop(name) for name in names})
