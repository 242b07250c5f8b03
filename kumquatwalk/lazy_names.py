"""Names of a package that are imported when they are first used."""

import importlib
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

__all__ = ["make_lazy_getattr"]


def make_lazy_getattr(
    package: str, modules: Mapping[str, str]
) -> Callable[[str], Any]:
    """Return the ``__getattr__`` of a package (PEP 562).

    A daemon that starts does not import what it does not use: on a small VM the
    imports are most of the time of a start.

    Args:
        package: Name of the package.
        modules: Module that defines each name.
    """

    def get_name(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no name {name!r}")
        return getattr(importlib.import_module(module), name)

    return get_name
