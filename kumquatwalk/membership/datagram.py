"""A datagram to send."""

import dataclasses

from kumquatwalk.membership.address import Address

__all__ = ["Datagram"]


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """Bytes to send to an address.

    Attributes:
        data: Encoded message.
        address: Where to send it.
    """

    data: bytes
    address: Address
