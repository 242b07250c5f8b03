"""Unit tests of target selection."""

import collections
import dataclasses
import random
import unittest

from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.routing.target_choice import ChoiceContext
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.routing.target_choice import choose_target
from kumquatwalk.routing.target_choice import estimate_cost
from kumquatwalk.targets.heartbeat import TargetState


def make_view(node_id: str, zone: str = "a", **status) -> TargetView:
    """Return the view of a healthy target, changed by the arguments."""
    run_s = status.pop("run_s", 0.1)
    values = {
        "state": TargetState.READY,
        "limit": 10,
        "route_times": (("r", run_s),),
    }
    view = TargetView(node_id, zone, "s", is_reachable=True)
    view.update_status(TargetStatus(**{**values, **status}), 100.0)
    return view


def count_choices(views, **changes) -> collections.Counter:
    """Return how often each target is selected in 200 calls."""
    values = {
        "availability_zone": "a",
        "route": "r",
        "objective_s": 1.0,
        "size_kb": 1.0,
        "excluded": frozenset(),
        "now": 100.1,
    }
    context = ChoiceContext(**{**values, **changes})
    rng = random.Random(7)
    chosen = [choose_target(views, context, rng) for _ in range(200)]
    return collections.Counter(v.node_id if v else None for v in chosen)


class TargetChoiceTest(unittest.TestCase):

    def test_target_in_the_zone_is_preferred_at_similar_run_times(self):
        views = [
            make_view("near", run_s=0.1),
            make_view("far", "b", run_s=0.08),
        ]
        self.assertEqual(count_choices(views)["near"], 200)

    def test_joined_target_without_measured_runs_gets_calls(self):
        # The runs of this route take a fifth of what is assumed where nothing
        # is known; a target that joins has shown none yet.
        views = [make_view(f"old-{n}", run_s=0.02) for n in range(2)]
        views.append(make_view("joined", route_times=()))
        self.assertGreater(count_choices(views)["joined"], 30)

    def test_late_answers_outweigh_transfer_between_zones(self):
        # The near target runs at a third of the far one's speed, so some of its
        # answers would be late.
        views = [
            make_view("near", run_s=0.75),
            make_view("far", "b", run_s=0.25),
        ]
        self.assertEqual(count_choices(views)["far"], 200)

    def test_call_of_a_target_goes_to_the_faster_target(self):
        # One request makes ten such calls in sequence.
        views = [
            make_view("near", run_s=0.05),
            make_view("far", "b", run_s=0.02),
        ]
        counts = count_choices(
            views, objective_s=0.3, size_kb=0.6, is_internal=True
        )
        self.assertEqual(counts["far"], 200)

    def test_large_answers_stay_in_the_zone(self):
        views = [make_view("near", run_s=0.5), make_view("far", "b", run_s=0.3)]
        self.assertEqual(count_choices(views, size_kb=20.0)["near"], 200)

    def test_idle_target_is_preferred_to_a_full_one(self):
        # An overload fills the targets of one zone.
        views = [
            make_view("near", running=10, queued=30),
            make_view("far", "b"),
        ]
        self.assertEqual(count_choices(views)["far"], 200)

    def test_calls_sent_since_the_last_status_count_as_load(self):
        near = make_view("near")
        near.in_flight = 40
        self.assertEqual(
            count_choices([near, make_view("far", "b")])["far"], 200
        )

    def test_failing_target_is_avoided_even_if_it_reports_ready(self):
        views = [make_view("near", failure_share=0.4), make_view("far", "b")]
        self.assertEqual(count_choices(views)["far"], 200)

    def test_warm_target_is_preferred_to_a_cold_one(self):
        views = [
            make_view("cold", run_s=0.4, cold_left_s=3.0),
            make_view("warm", run_s=0.4),
        ]
        self.assertEqual(count_choices(views)["warm"], 200)

    def test_equal_targets_share_the_calls(self):
        counts = count_choices([make_view("one"), make_view("two")])
        self.assertGreater(min(counts["one"], counts["two"]), 60)

    def test_target_with_a_stale_status_is_the_last_resort(self):
        stale = make_view("stale")
        stale.updated_at = 90.0
        self.assertEqual(
            count_choices([stale, make_view("far", "b", run_s=0.9)])["far"],
            200,
        )
        self.assertEqual(count_choices([stale])["stale"], 200)

    # Guards against LOST: a call went to a target whose node ended before it.
    def test_call_that_may_outlast_a_stop_goes_to_another_target(self):
        begun = make_view("begun", stop_left_s=3.0)
        far = make_view("far", "b", run_s=0.9)
        for deadline, chosen in ((102.9, "begun"), (103.0, "far")):
            counts = count_choices([begun, far], deadline=deadline)
            self.assertEqual(counts, {chosen: 200})
        ending = make_view("ending", is_stopping=True, stop_left_s=2.0)
        for deadline, chosen in ((101.9, "begun"), (110.0, "begun")):
            counts = count_choices([ending, begun], deadline=deadline)
            self.assertEqual(counts, {chosen: 200})
        later = make_view("later", is_stopping=True, stop_left_s=4.0)
        counts = count_choices([begun, later], deadline=103.5)
        self.assertEqual(counts, {"later": 200})

    def test_stopping_node_is_used_only_where_no_other_is_left(self):
        # A rolling restart may stop all nodes of a small service at once.
        stopping = make_view("stopping", is_stopping=True)
        far = make_view("far", "b", run_s=0.9)
        self.assertEqual(count_choices([stopping, far])["far"], 200)
        self.assertEqual(count_choices([stopping])["stopping"], 200)
        stopping.status = dataclasses.replace(
            stopping.status, state=TargetState.DRAINING
        )
        self.assertEqual(count_choices([stopping])[None], 200)

    def test_targets_that_accept_no_calls_are_never_selected(self):
        views = [
            make_view("draining", state=TargetState.DRAINING),
            make_view("gone", state=TargetState.GONE),
            make_view("unknown", state=TargetState.UNKNOWN),
            make_view("tried"),
        ]
        unreachable = make_view("unreachable")
        unreachable.is_reachable = False
        counts = count_choices(
            [*views, unreachable], excluded=frozenset(("tried",))
        )
        self.assertEqual(counts[None], 200)

    def test_target_with_less_work_left_is_preferred(self):
        # Both have as many calls; those of one are about to end.
        busy = {"running": 10, "queued": 4, "slowness": 1.0}
        views = [
            make_view("long", work_left_s=4.0, **busy),
            make_view("short", work_left_s=1.0, **busy),
        ]
        self.assertEqual(count_choices(views)["short"], 200)

    def test_target_on_a_slow_machine_is_avoided_while_the_report_is_new(self):
        slow = make_view("slow", slowness=2.5)
        usual = make_view("usual", slowness=1.0)
        counts = count_choices([slow, usual], now=100.01)
        self.assertEqual(counts["usual"], 200)
        # A second later the machine is as likely to be slow as any other.
        counts = count_choices([slow, usual], now=101.4)
        self.assertGreater(min(counts["slow"], counts["usual"]), 60)

    def test_calls_sent_since_the_report_count_as_work(self):
        near = make_view("near", slowness=1.0, work_left_s=0.1)
        near.in_flight = 40
        far = make_view("far", "b", slowness=1.0, work_left_s=0.1)
        self.assertEqual(count_choices([near, far])["far"], 200)

    # Guards against a change for targets that report three figures: a work
    # left without a slowness is no report.
    def test_target_without_a_report_is_chosen_by_its_count_of_calls(self):
        fields = {"running": 12, "queued": 6}
        plain = make_view("one", **fields)
        other = make_view("one", work_left_s=9.0, **fields)
        context = ChoiceContext("a", "r", 1.0, 1.0, frozenset(), 100.1)
        self.assertEqual(
            estimate_cost(plain, context), estimate_cost(other, context)
        )
        wait_s = (18 + 1 - 10) / 10 * 0.1
        used = 0.1 + wait_s
        self.assertEqual(estimate_cost(plain, context), 0.15 * used)

    # The choices of the release before work was reported, which those among
    # targets that report three figures must equal.
    def test_choices_without_reports_are_those_of_the_release_before(self):
        rng = random.Random(9)
        views = [
            make_view(
                f"{n}",
                "a" if n < 6 else "b",
                run_s=rng.uniform(0.1, 0.4),
                running=rng.randrange(11),
                queued=rng.randrange(6),
            )
            for n in range(9)
        ]
        context = ChoiceContext("a", "r", 1.0, 1.0, frozenset(), 100.1)
        rng = random.Random(7)
        chosen = [choose_target(views, context, rng) for _ in range(40)]
        self.assertEqual(
            "".join(v.node_id for v in chosen),
            "1302113230133030312131001113333211131323",
        )

    # Guards against a zone that refuses calls while another has room: bytes
    # between zones are cheaper than a wait that makes answers late.
    def test_far_zone_with_room_is_preferred_to_a_queue_in_the_zone(self):
        report = {"slowness": 1.0, "work_left_s": 20.0}
        for size_kb, fields in ((4.0, {}), (8.0, report)):
            full = [
                make_view(
                    f"near-{n}", running=10, queued=30, run_s=0.2, **fields
                )
                for n in range(6)
            ]
            fields = {**fields, "work_left_s": 0.0}
            free = [
                make_view(f"far-{n}", "b", run_s=0.2, **fields)
                for n in range(3)
            ]
            counts = count_choices(full + free, size_kb=size_kb)
            self.assertEqual(
                sum(n for k, n in counts.items() if k.startswith("far")), 200
            )

    def test_large_answer_waits_a_little_in_the_zone(self):
        # The wait is far from what a target refuses.
        near = make_view(
            "near", running=10, queued=2, work_left_s=1.2, slowness=1.0
        )
        far = make_view("far", "b", slowness=1.0)
        counts = count_choices([near, far], size_kb=8.0)
        self.assertEqual(counts["near"], 200)


if __name__ == "__main__":
    unittest.main()
