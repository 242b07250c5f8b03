"""Tests of the build that the deploy file names, with an interpreter that
records what is installed in place of the real one.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest

from kumquatwalk.standin.deployed_command import ROOT

# Stands for ``python3``: installs one module, or breaks off half-way.
INTERPRETER = """\
#!/bin/sh
if [ "$1" = -c ]; then
  if [ -n "$OTHER_MACHINE" ]; then echo "$OTHER_MACHINE"; exit; fi
  exec {executable} "$@"
fi
echo "$@" >> "$RECORD"
while [ "$1" != --target ]; do shift; done
mkdir -p "$2/library" && touch "$2/library/part" && [ -z "$INTERRUPTED" ] || exit 1
touch "$2/library/rest"
"""


class BuildTest(unittest.TestCase):

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = pathlib.Path(directory.name)
        shutil.copytree(ROOT / "deploy", self.folder / "deploy")
        commands = self.folder / "commands"
        commands.mkdir()
        interpreter = commands / "python3"
        text = INTERPRETER.format(executable=sys.executable)
        interpreter.write_text(text, encoding="utf-8")
        interpreter.chmod(0o755)
        self.record = self.folder / "record"
        self.record.touch()
        self.environment = os.environ | {
            "PATH": f"{commands}:{os.environ['PATH']}",
            "RECORD": str(self.record),
        }

    def build(self, **variables: str) -> int:
        """Run the build and return its exit status."""
        deploy = (self.folder / "deploy" / "system.toml").read_text("utf-8")
        return subprocess.run(
            tomllib.loads(deploy)["build"],
            shell=True,
            cwd=self.folder,
            env=self.environment | variables,
            check=False,
        ).returncode

    def count_installations(self) -> int:
        """Return how often libraries were installed."""
        return len(self.record.read_text("utf-8").splitlines())

    def has_all_libraries(self) -> bool:
        """Return whether the last part of the libraries is there."""
        return (self.folder / "target/deps/library/rest").exists()

    def test_complete_installation_is_kept(self):
        self.assertEqual([self.build(), self.build()], [0, 0])
        self.assertEqual(self.count_installations(), 1)

    # Guards against FAULT: what an interrupted installation had left counted as
    # built, so that no process started.
    def test_interrupted_installation_is_made_again(self):
        self.assertNotEqual(self.build(INTERRUPTED="1"), 0)
        self.assertEqual(self.build(), 0)
        self.assertTrue(self.has_all_libraries())

    # Guards against FAULT: an installation that broke off took away libraries
    # that processes of the machine run with.
    def test_interrupted_installation_keeps_the_one_before(self):
        self.assertEqual(self.build(OTHER_MACHINE="cpython-311-x86_64"), 0)
        self.assertNotEqual(self.build(INTERRUPTED="1"), 0)
        self.assertTrue(self.has_all_libraries())

    # Guards against FAULT: libraries carried over from a machine of another
    # kind counted as built, so that no process started.
    def test_libraries_of_another_kind_of_machine_are_replaced(self):
        self.assertEqual(self.build(OTHER_MACHINE="cpython-311-x86_64"), 0)
        (self.folder / "target/deps/library/other").touch()
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.count_installations(), 2)
        self.assertFalse((self.folder / "target/deps/library/other").exists())

    def test_changed_requirements_are_installed(self):
        self.assertEqual(self.build(), 0)
        with open(
            self.folder / "deploy/requirements.txt", "a", encoding="utf-8"
        ) as file:
            file.write("# changed\n")
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.count_installations(), 2)


if __name__ == "__main__":
    unittest.main()
