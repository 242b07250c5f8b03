"""Tests of edits under races and lost responses."""

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from kumquatwalk.catalogue import archive
from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.codec import encode_catalogue
from kumquatwalk.catalogue.editor import Editor
from kumquatwalk.catalogue.store import CATALOGUE_KEY
from kumquatwalk.catalogue.store import MAX_ATTEMPTS
from kumquatwalk.catalogue.store import CatalogueStore
from kumquatwalk.catalogue.tests.examples import ADMIN
from kumquatwalk.catalogue.tests.examples import make_catalogue
from kumquatwalk.catalogue.tests.examples import make_change
from kumquatwalk.catalogue.tests.examples import make_entry
from kumquatwalk.catalogue.tests.fake_client import FakeClient
from kumquatwalk.catalogue.tests.fake_client import Fault
from kumquatwalk.catalogue.tests.fake_client import StoreState
from kumquatwalk.exception import CatalogueError
from kumquatwalk.exception import EditConflictError
from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.platform.store_position import ABSENT


class EditMachine(stateful.RuleBasedStateMachine):
    """Checks the audit history against edits made through faulty clients."""

    def __init__(self):
        super().__init__()
        self.state = StoreState()
        self.number = 0
        self.accepted = set()
        self.refused = set()
        self.delaying = []

    def make_store(self, faults=(), concurrent_edit=None):
        client = FakeClient(self.state, faults, concurrent_edit)
        self.delaying.append(client)
        return CatalogueStore(client, sleep=lambda seconds: None)

    def make_next(self, name, seen=None):
        self.number += 1
        entry = make_entry(name, service=f"s{self.number}")
        return make_change(entry, self.number, seen)

    def edit(self, store, changes):
        """Make an edit and record whether it was accepted or refused."""
        ids = {change.change_id for change in changes}
        try:
            records = store.edit(changes, ADMIN)
        except OutcomeUnknownError:
            return
        except (CatalogueError, PlatformError):
            self.refused |= ids
            return
        assert {record.change_id for record in records} == ids
        self.accepted |= ids

    @stateful.rule(
        names=st.lists(st.sampled_from("abc"), min_size=1, unique=True),
        faults=st.lists(st.sampled_from(Fault), max_size=2 * MAX_ATTEMPTS),
        seen=st.none() | st.integers(0, 40),
    )
    def edit_under_faults(self, names, faults, seen):
        """Edit entries while calls fail and other operators edit."""

        def concurrent_edit(fault):
            name = names[0] if fault is Fault.EDIT_OF_SAME_ENTRY else "rival"
            self.edit(self.make_store(), (self.make_next(name),))

        changes = tuple(self.make_next(name, seen) for name in names)
        self.edit(self.make_store(faults, concurrent_edit), changes)

    @stateful.rule(count=st.integers(1, 40))
    def edit_often(self, count):
        """Make enough edits to move records to the archive."""
        for _ in range(count):
            self.edit(self.make_store(), (self.make_next("often"),))

    @stateful.rule()
    def deliver(self):
        """Deliver the delayed writes."""
        for client in self.delaying:
            client.deliver_delayed()
        self.delaying.clear()

    @stateful.invariant()
    def history_is_whole(self):
        """Check that the history has each accepted edit exactly once."""
        store = self.make_store()
        history = store.read_history(10_000)[::-1]
        revisions = [record.revision for record in history]
        assert revisions == list(range(1, len(history) + 1))
        found = [record.change_id for record in history]
        assert len(found) == len(set(found))
        assert self.accepted <= set(found)
        assert not self.refused & set(found)
        entries = {record.entry_name: record.after for record in history}
        catalogue = store.load().catalogue
        assert catalogue.entries == entries
        assert catalogue.revision == len(history)

    @stateful.invariant()
    def document_keeps_few_records(self):
        """Check that old records were trimmed."""
        kept = len(self.make_store().load().catalogue.records)
        assert kept <= archive.KEPT_RECORDS + archive.SEGMENT_RECORDS + 2


EditMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=15,
)


class EditMachineTest(EditMachine.TestCase):
    """Runs the state machine."""


class StoreTest(unittest.TestCase):

    def setUp(self):
        self.state = StoreState()
        start = make_catalogue(make_entry("a"), make_entry("b"))
        data = encode_catalogue(start)
        self.state.put(CATALOGUE_KEY, data, ABSENT)
        self.slept = []

    def make_store(self, faults=(), concurrent_edit=None):
        client = FakeClient(self.state, faults, concurrent_edit)
        return CatalogueStore(client, sleep=self.slept.append)

    def edit_concurrently(self, fault):
        name = "a" if fault is Fault.EDIT_OF_SAME_ENTRY else "b"
        change = make_change(make_entry(name, service="rival"), 99)
        self.make_store().edit((change,), Editor("shop/kofi", "rival", 2))

    def test_race_on_another_entry_is_applied_again(self):
        faults = [Fault.NONE, Fault.EDIT_OF_OTHER_ENTRY]
        change = make_change(make_entry("a", service="mine"), 7)
        store = self.make_store(faults, self.edit_concurrently)
        records = store.edit((change,), ADMIN)
        self.assertEqual([r.revision for r in records], [4])
        entries = store.load().catalogue.entries
        self.assertEqual(entries["a"].service, "mine")
        self.assertEqual(entries["b"].service, "rival")

    def test_race_on_the_same_entry_names_who_changed_it(self):
        faults = [Fault.NONE, Fault.EDIT_OF_SAME_ENTRY]
        change = make_change(make_entry("a", service="mine"), 7)
        with self.assertRaises(EditConflictError) as caught:
            self.make_store(faults, self.edit_concurrently).edit(
                (change,), ADMIN
            )
        self.assertEqual(caught.exception.code, "edit_conflict")
        self.assertIn("shop/kofi", caught.exception.message)
        self.assertIn("revision 3", caught.exception.message)

    def test_expected_revision_covers_the_time_before_the_edit(self):
        self.edit_concurrently(Fault.EDIT_OF_SAME_ENTRY)
        change = make_change(make_entry("a", service="mine"), 7, seen=2)
        with self.assertRaises(EditConflictError):
            self.make_store().edit((change,), ADMIN)
        other = make_change(make_entry("b", service="mine"), 8, seen=2)
        self.assertTrue(self.make_store().edit((other,), ADMIN))
        ahead = make_change(make_entry("b", service="more"), 9, seen=50)
        with self.assertRaises(EditConflictError) as caught:
            self.make_store().edit((ahead,), ADMIN)
        self.assertEqual(caught.exception.code, "revision_ahead")

    def test_lost_answer_is_settled_by_the_record(self):
        faults = [Fault.NONE, Fault.RESPONSE_LOST, Fault.NONE]
        change = make_change(make_entry("a", service="mine"), 7)
        store = self.make_store(faults)
        self.assertEqual(len(store.edit((change,), ADMIN)), 1)
        self.assertEqual(store.load().catalogue.revision, 3)

    def test_lost_answer_without_a_read_back_is_unknown(self):
        faults = [Fault.NONE, Fault.RESPONSE_LOST] + [Fault.UNREACHABLE] * 50
        change = make_change(make_entry("a", service="mine"), 7)
        with self.assertRaises(OutcomeUnknownError) as caught:
            self.make_store(faults).edit((change,), ADMIN)
        self.assertIn(change.change_id, caught.exception.message)
        self.assertEqual(len(self.slept), MAX_ATTEMPTS - 1)

    def test_write_still_on_its_way_is_unknown(self):
        faults = [Fault.NONE, Fault.DELAYED, Fault.NONE]
        faults += [Fault.UNREACHABLE] * 50
        change = make_change(make_entry("a", service="mine"), 7)
        with self.assertRaises(OutcomeUnknownError):
            self.make_store(faults).edit((change,), ADMIN)

    def edit_often(self, fault):
        """Make enough edits to archive the earlier records."""
        del fault
        for number in range(100, 100 + 3 * archive.SEGMENT_RECORDS):
            entry = make_entry("b", service=f"s{number}")
            self.make_store().edit((make_change(entry, number),), ADMIN)

    def test_lost_answer_is_settled_by_the_archive(self):
        faults = [Fault.NONE, Fault.RESPONSE_LOST, Fault.EDIT_OF_OTHER_ENTRY]
        change = make_change(make_entry("a", service="mine"), 7)
        store = self.make_store(faults, self.edit_often)
        records = store.edit((change,), ADMIN)
        self.assertEqual([r.revision for r in records], [3])

    def test_lost_answer_without_its_archive_is_unknown(self):
        def edit_and_lose(fault):
            self.edit_often(fault)
            self.state.delete("audit/1")

        faults = [Fault.NONE, Fault.RESPONSE_LOST, Fault.EDIT_OF_OTHER_ENTRY]
        change = make_change(make_entry("a", service="mine"), 7)
        with self.assertRaises(OutcomeUnknownError):
            self.make_store(faults, edit_and_lose).edit((change,), ADMIN)

    def test_expected_revision_before_the_kept_records_is_refused(self):
        self.edit_often(None)
        change = make_change(make_entry("a", service="mine"), 7, seen=2)
        with self.assertRaises(EditConflictError) as caught:
            self.make_store().edit((change,), ADMIN)
        self.assertEqual(caught.exception.code, "expected_too_old")

    def test_lost_answer_before_the_document_broke_is_unknown(self):
        def corrupt(fault):
            position = self.state.get(CATALOGUE_KEY).position
            self.state.put(CATALOGUE_KEY, b"{", position)
            del fault

        faults = [Fault.NONE, Fault.RESPONSE_LOST, Fault.EDIT_OF_OTHER_ENTRY]
        change = make_change(make_entry("a", service="mine"), 7)
        with self.assertRaises(OutcomeUnknownError):
            self.make_store(faults, corrupt).edit((change,), ADMIN)

    def test_read_that_goes_back_decides_nothing(self):
        added = make_change(make_entry("c"), 6)
        self.make_store().edit((added,), ADMIN)
        faults = [Fault.NONE, Fault.UNREACHABLE, Fault.STALE]
        removal = Change("c", None, "f" * 32)
        records = self.make_store(faults).edit((removal,), ADMIN)
        self.assertEqual(len(records), 1)

    def test_outage_is_not_called_unknown(self):
        change = make_change(make_entry("a", service="mine"), 7)
        store = self.make_store([Fault.UNREACHABLE] * 50)
        with self.assertRaises(PlatformUnavailableError):
            store.edit((change,), ADMIN)
        self.assertEqual(self.make_store().load().catalogue.revision, 2)

    def test_edits_are_all_or_none(self):
        good = make_change(make_entry("a", service="mine"), 7)
        bad = make_change(make_entry("b", calls=("none",)), 8)
        with self.assertRaises(CatalogueError):
            self.make_store().edit((good, bad), ADMIN)
        self.assertEqual(self.make_store().load().catalogue.revision, 2)

    def test_rules_on_owners_and_reasons(self):
        mine = make_change(make_entry("a", owner="other"), 7)
        gone = Change("b", None, "f" * 32)
        unknown = Change("c", None, "f" * 32)
        same = make_change(make_entry("a"), 7)
        owner = Editor("shop/ama", "test", 1)
        cases = [
            (mine, Editor("other/ben", "test", 1), "owner_mismatch"),
            (gone, Editor("other/ben", "test", 1), "owner_mismatch"),
            (gone, Editor("shop/ama", " ", 1), "reason_invalid"),
            (gone, Editor("shop/ama", "a\nb", 1), "reason_invalid"),
            (gone, Editor("", "test", 1), "author_invalid"),
            (unknown, owner, "entry_unknown"),
            (same, owner, "entry_unchanged"),
        ]
        for change, editor, code in cases:
            with self.assertRaises(CatalogueError) as caught:
                self.make_store().edit((change,), editor)
            self.assertEqual(caught.exception.code, code)
        self.assertTrue(self.make_store().edit((mine,), owner))

    def test_corrupt_document_is_refused(self):
        position = self.state.get(CATALOGUE_KEY).position
        self.state.put(CATALOGUE_KEY, b"{", position)
        change = make_change(make_entry("a"), 7)
        with self.assertRaises(CatalogueError):
            self.make_store().edit((change,), ADMIN)
