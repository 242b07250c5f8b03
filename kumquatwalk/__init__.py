"""Overload control layer for service call graphs.

The package contains the daemon that runs on the VM of each target, the
operators' commands, and stand-ins for the platform and for targets.
"""

from typing import TYPE_CHECKING

from kumquatwalk.lazy_names import make_lazy_getattr

if TYPE_CHECKING:
    from kumquatwalk.catalogue import Catalogue
    from kumquatwalk.catalogue import Entry
    from kumquatwalk.catalogue import Importance
    from kumquatwalk.catalogue import Limits
    from kumquatwalk.exception import KumquatwalkError

__all__ = [
    "Catalogue",
    "Entry",
    "Importance",
    "KumquatwalkError",
    "Limits",
    "__version__",
]

__version__ = "0.1.0"

__getattr__ = make_lazy_getattr(
    __name__,
    {
        "Catalogue": "kumquatwalk.catalogue",
        "Entry": "kumquatwalk.catalogue",
        "Importance": "kumquatwalk.catalogue",
        "Limits": "kumquatwalk.catalogue",
        "KumquatwalkError": "kumquatwalk.exception",
    },
)
