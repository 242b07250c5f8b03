"""Tests of the exception classes."""

import unittest

from kumquatwalk import exception


class ErrorsTest(unittest.TestCase):

    def test_every_error_derives_from_the_base(self):
        for name in exception.__all__:
            error = getattr(exception, name)
            self.assertTrue(issubclass(error, exception.KumquatwalkError))

    def test_text_holds_the_code(self):
        error = exception.RequestError("entry_unknown", "no such entry")
        self.assertEqual(str(error), "entry_unknown: no such entry")


if __name__ == "__main__":
    unittest.main()
