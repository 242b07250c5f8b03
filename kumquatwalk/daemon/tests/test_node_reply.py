"""Tests of what the log says of replies that a node makes itself."""

import unittest
from unittest import mock

from kumquatwalk import codes
from kumquatwalk.config.tests.samples import make_route
from kumquatwalk.daemon import node_reply
from kumquatwalk.daemon.caller_request import CallerRequest
from kumquatwalk.daemon.pending_request import PendingRequest
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.outcome import Outcome


class UnknownReplyTest(unittest.TestCase):

    # Guards against LOST that logs cannot place: two stops that overlap end a
    # run with the same code.
    def test_log_tells_the_end_of_this_node_from_that_of_another(self):
        caller = CallerRequest(b"id-1", "x", 1.0, ())
        http = HttpRequest(b"GET", b"/web/", (), b"", True, 0.0)
        request = PendingRequest(
            http, caller, make_route("web"), "web", 1.0, False
        )
        request.last_node = "gate-1"
        for is_in_flight in (True, False):
            request.is_in_flight = is_in_flight
            with mock.patch.object(node_reply, "log_event") as log_event:
                reply = node_reply.make_unknown_reply(
                    request, codes.NODE_STOPPING
                )
            self.assertIs(reply.outcome, Outcome.UNKNOWN)
            fields = log_event.call_args.kwargs
            self.assertEqual(fields["asked"], "gate-1")
            self.assertIs(fields["in_flight"], is_in_flight)


if __name__ == "__main__":
    unittest.main()
