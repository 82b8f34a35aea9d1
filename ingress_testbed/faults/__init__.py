"""Makes system calls of one process fail now and then, and shifts its wall clock, by a preloaded library.

The library is compiled from `faults.c` beside this file with the machine's C compiler. It acts on the process
that it is loaded into and on nothing else.
"""

from __future__ import annotations

import mmap
import os
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).parent / "faults.c"
RULE = struct.Struct("<iiqq")  # error, every, calls, failed
SHIFT = struct.Struct("<q")
SHORT_TRANSFER = 0  # in place of an errno: the call moves one byte only


class SystemCall(IntEnum):
    """In the order of `enum call` in faults.c."""

    ACCEPT = 0
    CONNECT = 1
    SOCKET = 2
    READ = 3
    WRITE = 4
    WAIT = 5
    BIND = 6
    LISTEN = 7
    RENAME = 8


class FaultsError(Exception):
    """The library could not be compiled."""


def build(folder: Path) -> Path:
    """Compiles the library into `folder`, unless it is there already, and returns its path.

    Raises:
        FaultsError: There is no C compiler, or it fails.
    """
    library = folder / "faults.so"
    if not library.exists():
        made = folder / f"faults-{os.getpid()}.so"
        command = ["cc", "-O2", "-Wall", "-shared", "-fPIC", "-o", str(made), str(SOURCE), "-ldl"]
        try:
            done = subprocess.run(command, capture_output=True, text=True, check=False)
        except OSError as error:
            raise FaultsError(f"no C compiler: {error}") from None
        if done.returncode:
            raise FaultsError(done.stderr)
        made.rename(library)
    return library


class Faults:
    """The faults of one process. They can be changed while it runs."""

    def __init__(self, library: Path, control: Path) -> None:
        """`control` is a file that is made for it; the process maps it, too."""
        self._library = library
        self._path = control
        size = SHIFT.size + RULE.size * len(SystemCall)
        control.write_bytes(bytes(size))
        with control.open("r+b") as file:
            self._control = mmap.mmap(file.fileno(), size)

    def environment(self) -> dict[str, str]:
        """Returns what the process has to be started with."""
        return {"LD_PRELOAD": str(self._library), "FAULTS_FILE": str(self._path)}

    def set(self, call: SystemCall, error: int, every: int) -> None:
        """Lets each `every`-th call fail with `error`, an errno or SHORT_TRANSFER; 0 for none."""
        RULE.pack_into(self._control, self._at(call), error, every, 0, 0)

    def clear(self) -> None:
        """No call fails from now on; the wall clock stays shifted."""
        for call in SystemCall:
            self.set(call, SHORT_TRANSFER, 0)

    def failure_count(self, call: SystemCall) -> int:
        """Returns how often the call has failed since it was set."""
        return int(RULE.unpack_from(self._control, self._at(call))[3])

    def shift_wall_clock(self, seconds: float) -> None:
        """Lets the process's wall clock be off by so much from now on."""
        SHIFT.pack_into(self._control, 0, round(seconds * 1e9))

    def close(self) -> None:
        """Ends the mapping; the faults stay as they are."""
        self._control.close()

    @staticmethod
    def _at(call: SystemCall) -> int:
        return SHIFT.size + RULE.size * call
