"""Tests of the signals of the stand-in target's process."""

import socket
import unittest

from kumquatwalk.standin.child import ChildProcess
from kumquatwalk.standin.fleet import split_address
from kumquatwalk.standin.fleet import wait_until

PROCESSES = 4
# Each connection has a thread that may get the signal.
CONNECTIONS = 16


class TargetSignalsTest(unittest.TestCase):

    # Guards against a target that never ends: the signal of a process that is
    # stopped may be delivered to a thread that does not wake the main thread.
    def test_target_ends_that_is_stopped_while_it_is_suspended(self):
        for _ in range(PROCESSES):
            child = ChildProcess(["standin", "target", "--service", "web"])
            child.start()
            self.addCleanup(child.kill)
            for _ in range(CONNECTIONS):
                address = split_address(child.addresses[""])
                self.addCleanup(socket.create_connection(address).close)
            child.suspend()
            child.signal(15)
            child.resume()
            wait_until(lambda c=child: not c.is_running(), "its end", 10.0)


if __name__ == "__main__":
    unittest.main()
