"""Tests of daemons that start while a port of theirs is in use."""

import signal
import socket
import unittest

from kumquatwalk.cli.tests.daemon_case import HOST
from kumquatwalk.cli.tests.daemon_case import LISTENERS
from kumquatwalk.cli.tests.daemon_case import DaemonCase


class PortTest(DaemonCase):

    def hold_port(self, listener: str) -> list[socket.socket]:
        """Open a connection whose local port is that of a listener."""
        server = socket.create_server((HOST, 0))
        client = socket.socket()
        client.bind((HOST, self.ports[listener]))
        client.connect(server.getsockname())
        # In this order none is left in TIME_WAIT.
        sockets = [server.accept()[0], client, server]
        for sock in sockets:
            self.addCleanup(sock.close)
        return sockets

    # Guards against FAULT: a connection of another process, opened from the
    # port of a listener, ended each start while it lasted.
    def test_port_that_a_connection_holds_is_waited_for(self):
        held = [s for name in LISTENERS for s in self.hold_port(name)]
        self.write_settings(self.settings)
        self.start_daemon()
        self.wait_for_line("event=listener_waits ")
        for sock in held:
            sock.close()
        self.wait_for_line("event=daemon_started ")
        for name in LISTENERS:
            self.wait_until_listening(name)
        self.assertEqual(self.stop_daemon(signal.SIGTERM), 0)

    # Guards against FAULT: a node that could serve did not start, as the port
    # of its metrics was in use.
    def test_daemon_serves_without_the_port_of_its_metrics(self):
        self.hold_port("metrics")
        self.write_settings(self.settings)
        self.start_daemon()
        self.wait_for_line("event=daemon_started ")
        self.wait_until_listening("outbound")
        self.assertEqual(self.stop_daemon(signal.SIGTERM), 0)

    # Guards against FAULT: a stop during the wait for a port was not planned.
    def test_stop_while_a_port_is_waited_for_ends_with_code_0(self):
        self.hold_port("outbound")
        self.write_settings(self.settings)
        self.start_daemon()
        self.wait_for_line("event=listener_waits ")
        self.assertEqual(self.stop_daemon(signal.SIGTERM), 0)

    # Guards against FAULT: a stop was not heard while a port was waited for on
    # which another process had begun to listen after it was bound.
    def test_stop_while_a_listener_is_waited_for_ends_with_code_0(self):
        other = socket.socket()
        self.addCleanup(other.close)
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Bound before, as by a process that starts at the same time.
        other.bind((HOST, self.ports["outbound"]))
        held = self.hold_port("ready")
        self.write_settings(self.settings)
        self.start_daemon()
        self.wait_for_line("event=listener_waits ")
        other.listen()
        for sock in held:
            sock.close()
        self.wait_for_line("event=listener_waits ")
        self.assertEqual(self.stop_daemon(signal.SIGTERM), 0)


if __name__ == "__main__":
    unittest.main()
