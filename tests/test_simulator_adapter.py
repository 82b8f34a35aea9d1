"""The simulator adapter as a separate process, and the build that it runs from."""

from __future__ import annotations

import struct
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.support.simulator_frames import CONFIG_TEXT, CONTEXT, ENDPOINT, ENTRY, batch, framed, record

ROOT = Path(__file__).parent.parent
FIRST_PAGE = record(8, "BII", 0, 0, 1)
CREATE = record(4, "QII", 1, len(ENTRY), len(CONFIG_TEXT))  # for a batch with ENTRY + CONFIG_TEXT as its tail
LIST_FIRST_PAGE = record(13, "BQB", 4, 1, 0)


def arrival(number: int, customer: int) -> bytes:
    return record(5, "IHHfffIQH", number, 0, 0, 1.0, 0.0, 1.0, 900000, customer, 0)


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-m", "quota_ingress.simulator.adapter"]
    return subprocess.run(command, input=data, capture_output=True, cwd=ROOT, timeout=60)


def test_replies_to_each_batch_and_exits_without_error_at_the_end_of_input() -> None:
    records = [FIRST_PAGE]
    for instance in (0, 1):
        records += [record(7, "I", instance), CREATE, LIST_FIRST_PAGE]
    restart = [record(7, "I", 1), record(3), CREATE, LIST_FIRST_PAGE]
    restart_and_arrival = [FIRST_PAGE, *restart, record(7, "I", 0), arrival(8, 3)]
    process = run_adapter(
        framed(batch(number=1))
        + framed(batch(*records, tail=ENTRY + CONFIG_TEXT, number=2))
        + framed(batch(*restart_and_arrival, tail=ENTRY + CONFIG_TEXT, number=3))
    )
    assert (process.returncode, process.stderr) == (0, b"")
    first, second, third = process.stdout[:12], process.stdout[12:24], process.stdout[24:]
    assert first == struct.pack("<III", 8, 0, 1) and second == struct.pack("<III", 8, 0, 2)
    assert struct.unpack_from("<III", third) == (56, 2, 3)
    assert third[12:18] == struct.pack("<HI", 14, 0)
    assert third[36:48] == struct.pack("<HI6s", 1, 8, ENDPOINT)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\x10\0", b"length"),
        (struct.pack("<I", 100) + b"abc", b"frame"),
        (framed(batch(record(99))), b"record code 99"),
        (framed(batch(CONTEXT, record(12, "I", 4))), b"instance 5"),
    ],
)
def test_invalid_input_ends_the_process_with_one_line_of_error(data: bytes, message: bytes) -> None:
    process = run_adapter(data)
    assert process.returncode == 1 and process.stdout == b""
    assert (
        message in process.stderr and process.stderr.count(b"\n") == 1 and b"Traceback" not in process.stderr
    )


def test_a_batch_of_25000_requests_gets_a_complete_reply() -> None:
    setup = batch(FIRST_PAGE, CONTEXT, CREATE, LIST_FIRST_PAGE, tail=ENTRY + CONFIG_TEXT)
    arrivals = [arrival(n, n) for n in range(25_000)]
    process = run_adapter(framed(setup) + framed(batch(CONTEXT, *arrivals)))
    assert process.returncode == 0
    assert struct.unpack_from("<II", process.stdout, 12)[1] == 25_001


def test_the_build_repeats_an_interrupted_one_and_its_result_runs(tmp_path: Path) -> None:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert set(deploy) == {"build", "run", "sim", "policy", "node", "packages"}
    assert all((ROOT / name).exists() for name in deploy["node"])
    assert all((ROOT / name).is_file() for name in deploy["policy"])
    files = subprocess.run(["git", "ls-files"], cwd=ROOT, capture_output=True, text=True, check=True).stdout
    for name in files.split():
        if name.startswith("quota_ingress/") or name == "requirements.txt":
            (tmp_path / name).parent.mkdir(exist_ok=True)
            (tmp_path / name).write_bytes((ROOT / name).read_bytes())
    (tmp_path / ".venv").mkdir()  # left by an interrupted build
    for _ in range(2):
        subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=tmp_path, check=True, timeout=300)
    run = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]], cwd=tmp_path, input=framed(batch()), capture_output=True, timeout=60
    )
    assert run.returncode == 0 and run.stdout == struct.pack("<III", 8, 0, 3)
