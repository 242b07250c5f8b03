"""UDP socket of the membership service."""

import socket
from collections.abc import Callable
from collections.abc import Iterator

from kumquatwalk.exception import MembershipError
from kumquatwalk.membership.address import Address
from kumquatwalk.membership.counters import Counters
from kumquatwalk.membership.datagram import Datagram

__all__ = ["Endpoint"]

RECEIVE_BYTES = 65536
RECEIVE_BATCH = 64
RECEIVE_BUFFER_BYTES = 1 << 20


class Endpoint:
    """UDP socket of the membership service, which counts its traffic.

    Attributes:
        counters: Counts of datagrams and bytes.
    """

    def __init__(self, address: Address, is_blocked: Callable[[str], bool]):
        self.counters = Counters()
        self._is_blocked = is_blocked
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        try:
            self._socket.bind(address)
        except OSError as error:
            self._socket.close()
            raise MembershipError("bind_failed", str(error)) from error

    @property
    def port(self) -> int:
        """Return the UDP port that is bound."""
        return self._socket.getsockname()[1]

    def fileno(self) -> int:
        """Return the descriptor to wait on."""
        return self._socket.fileno()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def receive(self) -> Iterator[Datagram]:
        """Yield some of the datagrams that have arrived.

        Yields:
            Datagrams with the address that they came from; those of blocked
            hosts are dropped.
        """
        for _ in range(RECEIVE_BATCH):
            try:
                data, source = self._socket.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # An earlier datagram could not be delivered.
            self.counters.datagrams_received += 1
            self.counters.bytes_received += len(data)
            if self._is_blocked(source[0]):
                self.counters.dropped_blocked += 1
                continue
            yield Datagram(data, Address(*source))

    def send(self, datagrams: list[Datagram]) -> None:
        """Send datagrams; those to blocked hosts are dropped.

        Args:
            datagrams: Datagrams with the address to send them to.
        """
        for datagram in datagrams:
            if self._is_blocked(datagram.address.host):
                self.counters.dropped_blocked += 1
                continue
            try:
                self._socket.sendto(datagram.data, datagram.address)
            except OSError:
                continue  # Lost datagrams are part of the protocol.
            self.counters.datagrams_sent += 1
            self.counters.bytes_sent += len(datagram.data)
