"""Makes some system calls of one process fail, and shifts its wall clock, with a preloaded library.

The library is compiled with the machine's C compiler from `faults.c` in this folder. It affects only the
process that it is loaded into.
"""

from __future__ import annotations

import mmap
import os
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).parent / "faults.c"
RULE = struct.Struct("<iiqq")  # `struct rule` in faults.c: error, every, calls, failed
SHIFT = struct.Struct("<q")  # ns
SHORT_TRANSFER = 0  # in place of an errno: the call transfers only one byte


class SystemCall(IntEnum):
    """The system calls that can fail, in the order of `enum call` in faults.c."""

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
    """Compiles the library into `folder`, unless the folder has it already, and returns its path.

    Raises:
        FaultsError: There is no C compiler, or the compilation failed.
    """
    library = folder / "faults.so"
    if not library.exists():
        temporary_path = folder / f"faults-{os.getpid()}.so"
        command = ["cc", "-O2", "-Wall", "-shared", "-fPIC", "-o", str(temporary_path), str(SOURCE), "-ldl"]
        try:
            result = subprocess.run(command, capture_output=True, text=True, check=False)
        except OSError as error:
            raise FaultsError(f"cannot run the C compiler cc: {error}") from None
        if result.returncode:
            raise FaultsError(f"cc failed on {SOURCE}: {result.stderr}")
        temporary_path.rename(library)
    return library


class Faults:
    """The faults of one process, which can be changed while the process runs."""

    def __init__(self, library: Path, control: Path) -> None:
        """Creates the file `control`, which this object and the process both map into memory."""
        self._library = library
        self._path = control
        size = SHIFT.size + RULE.size * len(SystemCall)
        control.write_bytes(bytes(size))
        with control.open("r+b") as file:
            self._control = mmap.mmap(file.fileno(), size)

    def environment(self) -> dict[str, str]:
        """Returns the environment variables that the process has to be started with."""
        return {"LD_PRELOAD": str(self._library), "FAULTS_FILE": str(self._path)}

    def set(self, call: SystemCall, error: int, every: int) -> None:
        """Makes each `every`-th call fail with `error`, an errno or SHORT_TRANSFER. `every` 0: none fails."""
        RULE.pack_into(self._control, self._rule_offset(call), error, every, 0, 0)

    def clear(self) -> None:
        """Stops all failures of calls; the wall clock stays shifted."""
        for call in SystemCall:
            self.set(call, SHORT_TRANSFER, 0)

    def failure_count(self, call: SystemCall) -> int:
        """Returns how often the call has failed since its rule was last set."""
        return int(RULE.unpack_from(self._control, self._rule_offset(call))[3])

    def shift_wall_clock(self, seconds: float) -> None:
        """Shifts the wall clock that the process reads by `seconds` from the real one."""
        SHIFT.pack_into(self._control, 0, round(seconds * 1e9))

    def close(self) -> None:
        """Unmaps the control file; the faults stay as they are."""
        self._control.close()

    @staticmethod
    def _rule_offset(call: SystemCall) -> int:
        return SHIFT.size + RULE.size * call
