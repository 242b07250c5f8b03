"""Tests of the JSON form of the catalogue."""

import copy
import json
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.catalogue import bounds
from kumquatwalk.catalogue import codec
from kumquatwalk.catalogue.check import check_catalogue
from kumquatwalk.catalogue.tests.examples import catalogues
from kumquatwalk.catalogue.tests.examples import make_catalogue
from kumquatwalk.catalogue.tests.examples import make_entry
from kumquatwalk.exception import CatalogueError

REPLACEMENT_VALUES = (
    {"x": 1},
    ["?"],
    "!",
    -1,
    1.5,
    None,
    True,
    "a" * 400,
    10**30,
)


def list_paths(document, path=()):
    """Return the paths of all values within a JSON document."""
    if isinstance(document, dict):
        children = document.items()
    elif isinstance(document, list):
        children = enumerate(document)
    else:
        children = ()
    paths = [path] if path else []
    for key, child in children:
        paths += list_paths(child, (*path, key))
    return paths


def find_parent(document, path):
    """Return the container of the value at a path."""
    for key in path[:-1]:
        document = document[key]
    return document


class CodecTest(unittest.TestCase):

    def setUp(self):
        entries = make_entry("a"), make_entry("b", calls=("a",))
        self.data = codec.encode_catalogue(make_catalogue(*entries))
        self.document = json.loads(self.data)

    def check_refused(self, document, path, code=None):
        with self.assertRaises(CatalogueError, msg=path) as caught:
            codec.decode_catalogue(json.dumps(document).encode())
        if code is not None:
            self.assertEqual(caught.exception.code, code, path)

    @settings(derandomize=True, deadline=None)
    @given(catalogues())
    def test_round_trip(self, catalogue):
        check_catalogue(catalogue)
        data = codec.encode_catalogue(catalogue)
        self.assertEqual(codec.decode_catalogue(data), catalogue)
        for record in catalogue.records:
            again = codec.decode_record(codec.encode_record(record))
            self.assertEqual(again, record)
        records = codec.encode_records(catalogue.records)
        self.assertEqual(codec.decode_records(records), catalogue.records)

    def test_each_missing_field_is_refused(self):
        for path in list_paths(self.document):
            if isinstance(path[-1], int):
                continue
            changed = copy.deepcopy(self.document)
            del find_parent(changed, path)[path[-1]]
            self.check_refused(changed, path, "field_missing")

    def test_each_object_refuses_an_unknown_field(self):
        for path in list_paths(self.document):
            changed = copy.deepcopy(self.document)
            value = find_parent(changed, path)[path[-1]]
            if isinstance(value, dict):
                value["extra"] = 1
                self.check_refused(changed, path, "field_unknown")

    def test_each_field_refuses_foreign_values(self):
        for path in list_paths(self.document):
            for value in REPLACEMENT_VALUES:
                changed = copy.deepcopy(self.document)
                find_parent(changed, path)[path[-1]] = value
                if changed == self.document or _is_legal(path, value):
                    continue
                self.check_refused(changed, (path, value))

    @settings(derandomize=True, deadline=None)
    @given(st.data())
    def test_damaged_bytes_are_refused_or_decoded(self, data):
        damaged = bytearray(self.data)
        for _ in range(data.draw(st.integers(1, 4))):
            place = data.draw(st.integers(0, len(damaged) - 1))
            damaged[place] = data.draw(st.integers(0, 255))
        try:
            codec.decode_catalogue(bytes(damaged))
        except CatalogueError as error:
            self.assertTrue(error.code)

    def test_malformed_and_oversized_text_is_refused(self):
        cases = {
            b"": "document_malformed",
            b"[" * 100_000: "document_malformed",
            b"9" * 100_000: "document_malformed",
            b'{"a":1,"a":1}': "document_malformed",
            b'{"a":NaN}': "document_malformed",
            b" " * (bounds.MAX_DOCUMENT_BYTES + 1): "document_too_large",
        }
        for data, code in cases.items():
            with self.assertRaises(CatalogueError) as caught:
                codec.decode_catalogue(data)
            self.assertEqual(caught.exception.code, code, data[:20])

    def test_each_bound_has_its_code(self):
        def change(path, value):
            changed = copy.deepcopy(self.document)
            find_parent(changed, path)[path[-1]] = value
            return changed

        calls = [f"e{i}" for i in range(bounds.MAX_CALLS + 1)]
        twice = self.document["entries"][:1] * 2
        cases = [
            (("format",), 2, "format_unknown"),
            (("entries",), twice, "entry_repeated"),
            (("entries", 0, "calls"), calls, "field_too_long"),
            (("records", 0, "reason"), "a\x1b[0m", "text_invalid"),
            (("records", 0, "reason"), "a" * 301, "field_too_long"),
        ]
        for path, value, code in cases:
            self.check_refused(change(path, value), path, code)

    def test_oversized_document_is_not_written(self):
        calls = tuple(f"{i:064}" for i in range(bounds.MAX_CALLS))
        entries = [make_entry(f"{i:064}", calls=calls) for i in range(500)]
        catalogue = codec.decode_catalogue(self.data)
        huge = type(catalogue)(1, {entry.name: entry for entry in entries})
        with self.assertRaises(CatalogueError) as caught:
            codec.encode_catalogue(huge)
        self.assertEqual(caught.exception.code, "document_too_large")


def _is_legal(path, value) -> bool:
    """Return whether the value is within the type and range of its field."""
    name = path[-1]
    if name in ("before", "after"):
        return value is None
    if name in ("idempotent",):
        return value is True
    if name == "reason":
        return value == "!"
    return name == "rate_per_s" and value == 1.5
