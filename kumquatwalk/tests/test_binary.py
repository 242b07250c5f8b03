"""Tests that build the executable and run it."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import unittest

from kumquatwalk import __version__

_REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
_BUILD = _REPOSITORY / "scripts" / "build_binary.py"
_MEMORY_DIRECTORY = "/dev/shm"
_TIMEOUT_S = 120
_ACCESS_MODE = 0o3


def find_children(pid: int) -> list[int]:
    """Return the process ids of a process's children."""
    children = []
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text(encoding="utf-8").rpartition(")")[2].split()
        except (FileNotFoundError, ProcessLookupError):
            continue
        if int(fields[1]) == pid:
            children.append(int(path.parent.name))
    return children


def list_written_files(pid: int) -> list[str]:
    """Return the regular files that a process has open for writing."""
    files = []
    for link in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        path = os.readlink(link)
        info = pathlib.Path(f"/proc/{pid}/fdinfo/{link.name}")
        flags = next(
            line.split()[1]
            for line in info.read_text(encoding="utf-8").splitlines()
            if line.startswith("flags:")
        )
        if int(flags, 8) & _ACCESS_MODE and pathlib.Path(path).is_file():
            files.append(path)
    return files


def count_written_bytes(pid: int) -> int:
    """Return the number of bytes that a process wrote to storage."""
    text = pathlib.Path(f"/proc/{pid}/io").read_text(encoding="utf-8")
    counts = dict(line.split(": ") for line in text.splitlines())
    return int(counts["write_bytes"])


class BinaryTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        build = tempfile.TemporaryDirectory()
        cls.addClassCleanup(build.cleanup)
        cls.binary = pathlib.Path(build.name, "kumquatwalk")
        command = [sys.executable, str(_BUILD), str(cls.binary)]
        subprocess.run(
            command, check=True, timeout=_TIMEOUT_S, capture_output=True
        )

    def setUp(self):
        empty = tempfile.TemporaryDirectory()
        self.addCleanup(empty.cleanup)
        self.empty = pathlib.Path(empty.name)
        memory = tempfile.TemporaryDirectory(dir=_MEMORY_DIRECTORY)
        self.addCleanup(memory.cleanup)
        self.root = pathlib.Path(memory.name, "unpacked")

    def _start(self, *arguments: str, **variables: str) -> subprocess.Popen:
        # Outside the virtual environment, so that the libraries can come from
        # the binary only.
        python = os.path.realpath(sys.executable)
        home = str(self.empty)
        process = subprocess.Popen(
            [python, "-I", str(self.binary), *arguments],
            cwd=home,
            env={"HOME": home, "TMPDIR": home, "SHIV_ROOT": str(self.root)}
            | variables,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    def test_version_runs_and_unpacks_into_memory_only(self):
        process = self._start("version", "--json")
        stdout, stderr = process.communicate(timeout=_TIMEOUT_S)
        self.assertEqual((process.returncode, stderr), (0, ""))
        self.assertEqual(json.loads(stdout)["version"], __version__)
        self.assertEqual(list(self.empty.iterdir()), [])
        self.assertTrue(any(self.root.rglob("kumquatwalk/cli/main.py")))
        schemas = {p.name for p in _REPOSITORY.glob("kumquatwalk/**/*.capnp")}
        unpacked = {p.name for p in self.root.rglob("kumquatwalk/**/*.capnp")}
        self.assertEqual(unpacked, schemas)

    def test_runs_as_one_process_and_writes_no_file(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.settimeout(_TIMEOUT_S)
            port = server.getsockname()[1]
            process = self._start("members", f"--node=127.0.0.1:{port}")
            connection, _ = server.accept()
            # The program has started up and waits for a response.
            with connection:
                self.assertEqual(find_children(process.pid), [])
                self.assertEqual(list_written_files(process.pid), [])
                self.assertEqual(count_written_bytes(process.pid), 0)
        process.communicate(timeout=_TIMEOUT_S)
        self.assertEqual(process.returncode, 5)
        self.assertEqual(list(self.empty.iterdir()), [])

    def test_node_runs_as_one_process_and_stops_gracefully(self):
        ports = [f"--{n}-port=0" for n in ("http", "local", "link")]
        process = self._start(
            *("node", "--node-id=a1", "--zone=a", "--host=127.0.0.1"),
            "--platform=127.0.0.1:9",
            *ports,
        )
        self.assertRegex(process.stdout.readline(), "^listening http=127")
        self.assertEqual(find_children(process.pid), [])
        self.assertEqual(list_written_files(process.pid), [])
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=_TIMEOUT_S)
        self.assertEqual(process.returncode, 0)
        self.assertEqual(list(self.empty.iterdir()), [])

    def test_directory_that_is_not_in_memory_is_refused(self):
        mounts = pathlib.Path("/proc/self/mounts").read_text(encoding="utf-8")
        points = [line.split()[1:3] for line in mounts.splitlines()]
        unsuitable_mount = next(
            p for p, kind in points if kind in ("proc", "sysfs")
        )
        root = f"{unsuitable_mount}/kumquatwalk"
        process = self._start("version", SHIV_ROOT=root)
        _, stderr = process.communicate(timeout=_TIMEOUT_S)
        self.assertEqual(process.returncode, 78)
        self.assertIn("setting_invalid: SHIV_ROOT is", stderr)

    def test_directory_that_others_may_write_to_is_refused(self):
        self.root.mkdir(mode=0o700)
        self.root.chmod(0o777)
        process = self._start("version")
        _, stderr = process.communicate(timeout=_TIMEOUT_S)
        self.assertEqual(process.returncode, 78)
        self.assertIn("others may write", stderr)
