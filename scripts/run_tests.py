"""Run the test suite and compare failures with the list of known ones.

A test listed in ``KNOWN-RED.txt`` may fail; any other failure fails the run. A
listed test that passes is printed too, so that its entry can be removed.
"""

import pathlib
import sys

from nose2 import discover

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class OutcomeRecorder:
    """nose2 hook that records the outcome of each test.

    Attributes:
        passed: Identifiers of tests that passed.
        failed: Identifiers of tests of which the whole or a subtest failed.
        skipped: Identifiers of skipped tests.
    """

    def __init__(self):
        self.passed: set[str] = set()
        self.failed: set[str] = set()
        self.skipped: set[str] = set()

    def testOutcome(self, event) -> None:  # pylint: disable=invalid-name
        """Record the outcome of a test; nose2 requires this method name.

        Args:
            event: nose2 event with the test, its outcome and whether the
                outcome was expected.
        """
        name = event.test.id()
        if event.outcome == "subtest":
            # nose2 sends this event for each subtest, passed ones too. The
            # event of the whole test follows only if all subtests passed.
            if event.exc_info:
                self.failed.add(name)
        elif event.outcome == "skipped":
            self.skipped.add(name)
        elif event.expected:
            self.passed.add(name)
        else:
            self.failed.add(name)


def read_known_red(path: pathlib.Path) -> frozenset[str]:
    """Return the test identifiers listed in the file.

    Args:
        path: File with one entry per line, which starts with the identifier of
            the test. Blank lines and lines that start with ``#`` are skipped.

    Returns:
        The identifiers; empty when the file does not exist.
    """
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    rows = [line for line in lines if line.strip() and line[0] != "#"]
    return frozenset(row.split()[0].rstrip(",;:") for row in rows)


def main() -> int:
    """Run the tests and print the number of passed and failed tests last.

    Returns:
        Exit code: 0 if at least one test passed and all failures are known.
    """
    sys.path.insert(0, str(ROOT))
    recorder = OutcomeRecorder()
    hooks = [("testOutcome", recorder)]
    arguments = ["nose2", "-s", str(ROOT), "-t", str(ROOT), *sys.argv[1:]]
    discover(argv=arguments, exit=False, extraHooks=hooks)
    known = read_known_red(KNOWN_RED)
    new = sorted(recorder.failed - known)
    passed = recorder.passed - recorder.failed
    sys.stderr.flush()
    for name in sorted(recorder.failed & known):
        print(f"known red: {name}")
    for name in sorted(passed & known):
        print(f"listed as known red, but passed: {name}")
    for name in new:
        print(f"failed: {name}")
    skipped = len(recorder.skipped)
    print(f"{len(passed)} passed, {len(new)} failed, {skipped} skipped")
    return 1 if new or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
