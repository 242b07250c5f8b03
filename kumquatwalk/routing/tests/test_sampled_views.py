"""Tests of estimates for the fleet from a sample of its targets."""

import random
import unittest

from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.routing.sampled_views import estimate_targets
from kumquatwalk.routing.sampled_views import weigh_views
from kumquatwalk.routing.sampled_views import weigh_views_by_zone
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.targets.heartbeat import TargetState


def make_view(node: int, running: int, is_ready: bool = True) -> TargetView:
    """Return the view of a reachable target with so many running calls."""
    state = TargetState.READY if is_ready else TargetState.DRAINING
    view = TargetView(f"n{node}", "z", "s", is_reachable=True)
    view.update_status(TargetStatus(state, limit=8, running=running), 0.0)
    return view


class SampledViewsTest(unittest.TestCase):

    def test_sums_are_right_within_a_third_for_nine_of_fifty(self):
        # Pattern: uneven load, as targets have speeds 0.6, 1.0 and 1.4. The
        # error of the sum is that of the mean of nine.
        rng = random.Random(11)
        fleet = [make_view(n, rng.choice((3, 5, 7))) for n in range(50)]
        true = sum(v.running for v in fleet)
        errors = []
        for _ in range(200):
            sample = rng.sample(fleet, 9)
            weighted = weigh_views(sample, {"s": 50})
            total = sum(w.weight * w.view.running for w in weighted)
            errors.append(abs(total - true) / true)
        self.assertLess(max(errors), 1 / 3)

    def test_whole_service_is_counted_as_it_is(self):
        views = [make_view(n, 2) for n in range(4)]
        self.assertEqual(
            [w.weight for w in weigh_views(views, {"s": 4})], [1.0] * 4
        )
        self.assertEqual(estimate_targets(views, 4), 4)

    def test_targets_that_leave_do_not_count(self):
        views = [make_view(n, 2, is_ready=n % 3 > 0) for n in range(9)]
        self.assertEqual(estimate_targets(views, 45), 30)
        self.assertEqual(estimate_targets([], 45), 0)

    # Guards against an ingress that sheds by the load of its own zone while
    # other zones have room.
    def test_zones_count_by_their_sizes(self):
        # Pattern: four zones of 12 targets; one is overloaded, and its nodes
        # are linked to six targets of it and three of the others.
        near = [make_view(n, 14) for n in range(6)]
        far = [make_view(n, 4) for n in range(6, 9)]
        for view in far:
            view.availability_zone = "y"
        nodes = {("s", zone): 12 for zone in ("z", "y", "x", "w")}
        weighted = weigh_views_by_zone(near + far, nodes, "z")
        total = sum(w.weight * w.view.running for w in weighted)
        limit = sum(w.weight * w.view.status.limit for w in weighted)
        self.assertAlmostEqual(total, 12 * 14 + 36 * 4)
        self.assertAlmostEqual(limit, 48 * 8)
        equal = weigh_views(near + far, {"s": 48})
        total = sum(w.weight * w.view.running for w in equal)
        self.assertGreater(total, 1.3 * 48 * 8)

    def test_zones_that_are_not_linked_are_taken_for_the_linked_ones(self):
        near = [make_view(n, 4) for n in range(6)]
        nodes = {("s", "z"): 12, ("s", "y"): 12}
        weighted = weigh_views_by_zone(near, nodes, "z")
        self.assertEqual([w.weight for w in weighted], [4.0] * 6)


if __name__ == "__main__":
    unittest.main()
