"""Tests that the tests named in docs/PROOFS.md exist."""

import importlib
import pathlib
import re
import unittest

_PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "PROOFS.md"
_NAME = re.compile(r"`(\w+)\.(test_\w+)\.(\w+)(?:\.(test_\w+))?`")


class ProofsPageTest(unittest.TestCase):

    def test_each_name_is_a_test(self):
        names = _NAME.findall(_PAGE.read_text(encoding="utf-8"))
        self.assertTrue(names)
        for package, module, case, method in names:
            path = f"kumquatwalk.{package}.tests.{module}"
            found = getattr(importlib.import_module(path), case)
            self.assertTrue(issubclass(found, unittest.TestCase), case)
            if method:
                self.assertTrue(hasattr(found, method), method)


if __name__ == "__main__":
    unittest.main()
