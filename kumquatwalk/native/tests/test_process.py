"""Tests of the HTTP interfaces of node processes."""

import socket
import unittest

import urllib3

from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.standin.fleet import LocalFleet
from kumquatwalk.standin.fleet import make_host
from kumquatwalk.standin.fleet import split_address
from kumquatwalk.standin.fleet import wait_until

LIMITS = Limits(in_flight=100, rate_per_s=1000.0, retries=2, time_ms=5000)
ENTRIES = [
    Entry("browse", "web", "shop", Importance.SHEDDABLE, True, LIMITS),
    Entry("pay", "web", "shop", Importance.CRITICAL, False, LIMITS),
]


class NodeProcessTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.fleet = LocalFleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start_platform()
        cls.fleet.put_catalogue(ENTRIES)
        for zone in (1, 2):
            cls.fleet.start_node(f"vm{zone}", f"z{zone}", make_host(zone, 1))
        cls.fleet.start_target("vm1", "shop", ("--service-ms", "1"))
        cls.fleet.wait_ready()
        cls.http = urllib3.PoolManager(retries=False, timeout=30.0)

    def _request(self, node_id: str, path: str, **options):
        address = self.fleet.nodes[node_id].addresses["http"]
        url = f"http://{address}/{path}"
        return self.http.request("POST", url, **options)

    def test_nodes_discover_each_other_through_the_platform(self):
        for node_id in ("vm1", "vm2"):
            wait_until(
                lambda n=node_id: self._list_alive(n) == {"vm1", "vm2"},
                f"{node_id} to list both nodes as alive",
            )

    def _list_alive(self, node_id: str) -> set[str]:
        rows = self.fleet.read_members(node_id)
        return {row["node_id"] for row in rows if row["state"] == "alive"}

    def test_outside_caller_cannot_use_a_run_context(self):
        headers = {"Kumquat-Context": "a" * 32}
        answer = self._request("vm2", "browse", headers=headers)
        self.assertEqual(answer.status, 403)
        self.assertEqual(answer.headers["Kumquat-Code"], "context_unknown")
        self.assertEqual(answer.headers["Kumquat-Outcome"], "not_run")

    def test_unknown_context_on_the_local_listener_is_refused(self):
        local = self.fleet.nodes["vm1"].addresses["local"]
        answer = self.http.request(
            "POST",
            f"http://{local}/browse",
            headers={"Kumquat-Context": "f" * 32},
        )
        self.assertEqual(answer.headers["Kumquat-Code"], "context_unknown")

    def test_call_without_key_that_is_not_idempotent_is_refused(self):
        answer = self._request("vm2", "pay", body=b"7")
        self.assertEqual(answer.status, 428)
        self.assertEqual(answer.headers["Kumquat-Code"], "key_required")

    def test_same_key_with_another_body_is_refused(self):
        headers = {"Idempotency-Key": "k-reused"}
        self._request("vm2", "pay", body=b"7", headers=headers)
        answer = self._request("vm2", "pay", body=b"8", headers=headers)
        self.assertEqual(answer.status, 422)
        self.assertEqual(answer.headers["Kumquat-Code"], "key_reused")

    def test_forged_ticket_is_refused(self):
        headers = {"Kumquat-Ticket": "nonsense"}
        answer = self._request("vm2", "pay", body=b"7", headers=headers)
        self.assertEqual(answer.headers["Kumquat-Code"], "forged_ticket")

    def test_malformed_timeout_is_refused(self):
        headers = {"Kumquat-Timeout-Ms": "-1"}
        answer = self._request("vm2", "browse", headers=headers)
        self.assertEqual(answer.status, 400)

    def test_unknown_entry_is_refused(self):
        answer = self._request("vm2", "nothing")
        self.assertEqual(answer.status, 404)

    def test_malformed_announcement_changes_nothing(self):
        local = self.fleet.nodes["vm2"].addresses["local"]
        url = f"http://{local}/kumquatwalk/target"
        for body in (b"", b"[]", b'{"service": "shop", "slots": -1}'):
            answer = self.http.request("PUT", url, body=body)
            self.assertEqual(answer.status, 400)
        answer = self._request("vm2", "browse", body=b"x")
        self.assertEqual(answer.status, 200)

    def test_node_serves_after_invalid_bytes_on_the_link_port(self):
        address = split_address(self.fleet.nodes["vm1"].addresses["link"])
        with socket.create_connection(address, timeout=30.0) as sock:
            sock.sendall(b"\xff" * 100)
            self.assertEqual(sock.recv(1), b"")
        self.assertEqual(self._request("vm2", "browse").status, 200)
        log = self.fleet.nodes["vm1"].read_log
        wait_until(lambda: "event=link_frame_rejected" in log(), "the log line")

    def test_metrics_have_the_outcome_as_a_label(self):
        self._request("vm2", "browse")
        local = self.fleet.nodes["vm2"].addresses["local"]
        url = f"http://{local}/kumquatwalk/metrics"
        text = self.http.request("GET", url).data.decode()
        labels = 'code="",outcome="done",route="browse"'
        self.assertIn(f"kumquatwalk_requests_total{{{labels}}}", text)
