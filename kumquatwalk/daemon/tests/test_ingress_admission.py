"""Tests of ingress admission with loads and reports of other nodes."""

import collections
import dataclasses
import random
import unittest
from unittest import mock

from kumquatwalk.config.tests.samples import make_route
from kumquatwalk.config.team import Team
from kumquatwalk.daemon import ingress_admission
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.retry.fleet_refusals import FleetRefusals
from kumquatwalk.retry.refusals import ServiceRefusals
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.call_graph import RouteRate
from kumquatwalk.routing.call_graph import TrafficReport
from kumquatwalk.routing.sampled_views import WeightedView
from kumquatwalk.routing.sampled_views import weigh_views
from kumquatwalk.routing.sampled_views import weigh_views_by_zone
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.targets.heartbeat import TargetState


class OverloadedPeers:
    """Peers whose service ``deep`` has twice the calls that it may run.

    Args:
        route: Route whose run time its targets report.
        weight: Targets that the one linked target stands for.
        outstanding: Calls that it runs or has queued.
    """

    def __init__(self, route: str, weight: float = 1.0, outstanding: int = 20):
        status = TargetStatus(
            TargetState.READY,
            limit=10,
            running=min(10, outstanding),
            queued=max(0, outstanding - 10),
            route_times=((route, 0.2),),
        )
        self._view = TargetView("d1", "z1", "deep", is_reachable=True)
        self._view.update_status(status, 0.0)
        self._weight = weight

    def list_all_views(self):
        """Return the view of the one linked target."""
        return [self._view]

    def count_nodes(self):
        """Return the number of nodes of each service."""
        return {"deep": 1}

    def list_weighted_views(self):
        """Return the view of the one linked target with its weight."""
        return [WeightedView(self._view, self._weight)]


def make_admission(route: str, weight: float = 1.0):
    """Return ingress admission for a route of 100 requests a second."""
    graph = CallGraph()
    for service in ("deep", "front"):
        report = TrafficReport((RouteRate(route, 50.0),))
        graph.add_report(f"{service}-1", service, report, 1.0)
    peers = OverloadedPeers(route, weight)
    return ingress_admission.IngressAdmission(peers, graph, random.Random(1))


def count_admitted(admission, route, requests: int = 400) -> int:
    """Return how many of so many first attempts are admitted."""
    return sum(admission.admits(route, False, 1.0) for _ in range(requests))


class IngressAdmissionTest(unittest.TestCase):

    def test_route_named_like_a_parameter_of_the_log_is_shed_and_logged(self):
        for name in ("level", "name", "event", "message"):
            with mock.patch.object(ingress_admission, "log_event") as log:
                admission = make_admission(name)
                route = make_route(name=name, rank=2)
                self.assertLess(count_admitted(admission, route), 250)
                fields = list(log.call_args.kwargs)
                self.assertEqual(fields, ["shares", "loads", "demands"])
                self.assertTrue(
                    log.call_args.kwargs["shares"].startswith(f"{name}:0.")
                )

    def test_linked_targets_stand_for_those_that_are_not(self):
        # Pattern: a large fleet, of which a node is linked to a part. One
        # target of ten slots is overloaded; four of them carry the demand.
        one = count_admitted(make_admission("r"), make_route(name="r", rank=2))
        four = count_admitted(
            make_admission("r", 4.0), make_route(name="r", rank=2)
        )
        self.assertLess(one, 250)
        self.assertEqual(four, 400)

    def test_large_team_is_shed_before_small_ones_and_the_lower_rank(self):
        # Requests of all teams used to have the same probability.
        admission = make_admission("r")
        route = make_route(name="r", rank=2)
        teams = [Team("large"), Team("small"), Team("low", rank=1)]
        admitted, sent = collections.Counter(), collections.Counter()
        with mock.patch.object(ingress_admission, "log_event") as log:
            for number in range(2000):
                now = 1.0 + number / 100.0
                team = teams[{5: 1, 15: 2}.get(number % 20, 0)]
                is_admitted = admission.admits(route, False, now, team)
                if now > 5.0:
                    sent[team.name] += 1
                    admitted[team.name] += is_admitted
        shares = {name: admitted[name] / sent[name] for name in sent}
        self.assertGreater(shares["small"], 0.99)
        self.assertLess(shares["large"], 0.7)
        self.assertLess(shares["low"], shares["large"])
        total = sum(admitted.values()) / sum(sent.values())
        self.assertGreater(shares["low"], 0.25 * total)
        events = [call.args[0] for call in log.call_args_list]
        self.assertIn("team_shares_set", events)

    def test_requests_without_a_team_have_the_probability_of_the_route(self):
        # Beside teams, they are admitted as without any.
        alone, beside = make_admission("r"), make_admission("r")
        route = make_route(name="r", rank=2)
        for _ in range(50):
            beside.admits(route, False, 1.0, Team("large"))
        self.assertAlmostEqual(
            count_admitted(alone, route),
            count_admitted(beside, route),
            delta=40,
        )

    def _make_refusing(self, peers, refusals):
        graph = CallGraph()
        for service in ("deep", "front"):
            report = TrafficReport((RouteRate("r", 50.0),))
            graph.add_report(f"{service}-1", service, report, 1.0)
        # The run of a request counts as a call to its service.
        row = ServiceRefusals("deep", 100.0, 80.0, 10.0, 4)
        refusals.add_report("d1", "deep", (row,), 1.0)
        return ingress_admission.IngressAdmission(
            peers, graph, random.Random(1), refusals
        )

    # Guards against a limit by retries where slots are scarce: targets that are
    # full refuse calls too.
    def test_service_that_is_full_is_not_limited_by_retries(self):
        peers = OverloadedPeers("r", 4.0, 20)
        admission = self._make_refusing(peers, FleetRefusals())
        count_admitted(admission, make_route(name="r", rank=2))
        self.assertEqual(admission.retry_shares, {})

    # Guards against requests that are begun although the retries that they need
    # to end well are spent.
    def test_requests_that_cannot_be_finished_are_refused_and_logged(self):
        refusals = FleetRefusals()
        admission = self._make_refusing(OverloadedPeers("r", 4.0, 5), refusals)
        route = make_route(name="r", rank=2)
        with mock.patch.object(ingress_admission, "log_event") as log:
            admitted = count_admitted(admission, route)
            self.assertEqual(log.call_args_list[0].args, ("retry_shares_set",))
        self.assertLess(admitted, 100)
        refusals.add_report("d1", "deep", (), 1.2)
        self.assertTrue(admission.admits(route, False, 2.0))
        self.assertEqual(admission.retry_shares, {})

    # Guards against requests that are shed although the fleet has room for
    # them: the linked targets of the own zone are full, those of others free.
    def test_full_zone_alone_does_not_shed(self):
        peers = OverloadedPeers("r")
        near = peers.list_all_views()[0]
        status = dataclasses.replace(near.status, running=2, queued=0)
        far = TargetView("d2", "z2", "deep", is_reachable=True)
        far.update_status(status, 0.0)
        views = [near, far]
        nodes = {("deep", z): 1 for z in ("z1", "z2", "z3", "z4")}
        for by_zone, is_shed in ((True, False), (False, True)):
            weighted = (
                weigh_views_by_zone(views, nodes, "z1")
                if by_zone
                else weigh_views(views, {"deep": 4})
            )
            peers.list_weighted_views = lambda w=weighted: w
            graph = CallGraph()
            for service in ("deep", "front"):
                report = TrafficReport((RouteRate("r", 100.0),))
                graph.add_report(f"{service}-1", service, report, 1.0)
            admission = ingress_admission.IngressAdmission(
                peers, graph, random.Random(1)
            )
            admitted = count_admitted(admission, make_route(name="r", rank=2))
            self.assertEqual(admitted < 400, is_shed)


if __name__ == "__main__":
    unittest.main()
