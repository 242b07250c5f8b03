"""Run the test suite and judge it against the list of known faults.

A test named in ``KNOWN-RED.txt`` may fail; every other failure fails the run.
A listed test that passes is named too, so that its line can be removed.
"""

import pathlib
import sys

from nose2 import discover

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class OutcomeRecorder:
    """Hook of nose2 that records the outcome of each test."""

    def __init__(self):
        self.passed: set[str] = set()
        self.failed: set[str] = set()
        self.skipped: set[str] = set()

    def testOutcome(self, event) -> None:  # pylint: disable=invalid-name
        """Record one outcome; nose2 calls this by its name.

        Args:
            event: Event of nose2 with the test, its outcome and whether that
                outcome was expected.
        """
        name = event.test.id()
        if event.outcome == "subtest":
            # Sent for each part, passed ones too; the whole test's own event
            # follows only when all parts passed.
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
        path: File with one entry a line, its first field the test identifier.
            Blank lines and lines that begin with ``#`` are passed over.

    Returns:
        The identifiers; empty when the file does not exist.
    """
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    rows = [line for line in lines if line.strip() and line[0] != "#"]
    return frozenset(row.split()[0].rstrip(",;:") for row in rows)


def main() -> int:
    """Run the tests and print the verdict as the last line.

    Returns:
        Zero when some test passed and every failure is a known one.
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
