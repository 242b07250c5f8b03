"""Overload control layer for service call graphs.

The package contains the daemon that runs on the VM of each target, the
operators' commands, and stand-ins for the platform and for targets.
"""

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
