"""Tests of catalogue validation."""

import unittest

from hypothesis import given
from hypothesis import settings

from kumquatwalk.catalogue import bounds
from kumquatwalk.catalogue.check import check_catalogue
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.catalogue.reachability import list_reachable
from kumquatwalk.catalogue.tests.examples import acyclic_entries
from kumquatwalk.catalogue.tests.examples import make_catalogue
from kumquatwalk.catalogue.tests.examples import make_entry
from kumquatwalk.exception import CatalogueError


def make_chain(length):
    """Return a chain of entries, each calling the next."""
    last = make_entry(f"e{length - 1}")
    others = [make_entry(f"e{i}", calls=(f"e{i + 1}",)) for i in range(length)]
    return [*others[:-1], last]


def make_chain_with_shortcut():
    """Return a graph whose longest path is too deep but not its shortest."""
    last = f"e{bounds.MAX_DEPTH}"
    return [make_entry("f", calls=(last,)), *make_chain(bounds.MAX_DEPTH + 1)]


def make_flat(count):
    """Return entries without calls."""
    return [make_entry(f"e{i}") for i in range(count)]


def make_star(count):
    """Return entries, the first of which calls all others."""
    flat = make_flat(count)
    names = tuple(entry.name for entry in flat)
    return [make_entry("star", calls=names), *flat]


def find_code(*entries):
    """Return the code of the violated rule, or None."""
    try:
        check_catalogue(Catalogue(1, {e.name: e for e in entries}))
    except CatalogueError as error:
        return error.code
    return None


class CheckTest(unittest.TestCase):

    def test_each_rule(self):
        a, b = make_entry("a"), make_entry("b", calls=("a",))
        pure = make_entry("c", idempotent=True, calls=("a",))
        cases = [
            (None, (a, b)),
            ("name_invalid", (make_entry("A"),)),
            ("owner_invalid", (make_entry("a", owner=""),)),
            ("service_invalid", (make_entry("a", service=""),)),
            ("importance_unknown", (make_entry("a", importance=7),)),
            ("idempotent_invalid", (make_entry("a", idempotent=None),)),
            ("call_unknown", (b,)),
            ("call_repeated", (a, make_entry("b", calls=("a", "a")))),
            ("calls_cyclic", (b, make_entry("a", calls=("b",)))),
            ("calls_cyclic", (make_entry("a", calls=("a",)),)),
            ("idempotence_broken", (a, pure)),
            (None, make_chain(bounds.MAX_DEPTH)),
            ("calls_too_deep", make_chain(bounds.MAX_DEPTH + 1)),
            ("calls_too_deep", make_chain_with_shortcut()),
            ("calls_too_deep", make_chain_with_shortcut()[::-1]),
            ("calls_too_many", make_star(bounds.MAX_CALLS + 1)),
            (None, make_star(bounds.MAX_CALLS)),
            ("entries_too_many", make_flat(bounds.MAX_ENTRIES + 1)),
        ]
        for code, entries in cases:
            self.assertEqual(find_code(*entries), code, entries)

    def test_entry_is_kept_under_its_own_name(self):
        with self.assertRaises(CatalogueError) as caught:
            check_catalogue(Catalogue(1, {"b": make_entry("a")}))
        self.assertEqual(caught.exception.code, "name_invalid")

    def test_limit_ranges(self):
        nan = float("nan")
        cases = [
            (Limits(0, 1.0, 0, 1), "limit_out_of_range"),
            (Limits(1, 0.0, 0, 1), "limit_out_of_range"),
            (Limits(1, nan, 0, 1), "limit_out_of_range"),
            (Limits(1, 1.0, -1, 1), "limit_out_of_range"),
            (Limits(1, 1.0, 0, 0), "limit_out_of_range"),
            (Limits(1, 1.0, 101, 1), "limit_out_of_range"),
            (Limits(1, 1.0, 0, 600_001), "limit_out_of_range"),
            (Limits(1, 1.0, 0, 1), None),
        ]
        for limits, code in cases:
            self.assertEqual(find_code(make_entry("a", limits=limits)), code)

    def test_records_must_fit_the_entries(self):
        good = make_catalogue(make_entry("a"), make_entry("b"))
        check_catalogue(good)
        first, last = good.records
        cases = [
            Catalogue(3, good.entries, good.records),
            Catalogue(2, good.entries, (last, first)),
            Catalogue(2, {"a": good.entries["a"]}, good.records),
        ]
        for broken in cases:
            with self.assertRaises(CatalogueError) as caught:
                check_catalogue(broken)
            self.assertEqual(caught.exception.code, "records_broken")

    @settings(derandomize=True, deadline=None)
    @given(acyclic_entries())
    def test_idempotence_follows_all_calls(self, entries):
        catalogue = Catalogue(1, {e.name: e for e in entries})
        broken = any(
            entry.idempotent and not catalogue.entries[name].idempotent
            for entry in entries
            for name in list_reachable(catalogue, entry.name)
        )
        expected = "idempotence_broken" if broken else None
        self.assertEqual(find_code(*entries), expected)
