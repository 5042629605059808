"""Start of a real node as the deploy file has it."""

import os
import signal
import subprocess
import sys
from importlib.util import find_spec
from pathlib import Path

__all__ = ["NODE_OPTIONS", "catches", "start_node"]

SETTINGS_VARIABLE = "CATKINPOST_CONFIG"
NODE_OPTIONS = ("-S", "-P", "-O")


def start_node(settings: Path, log: Path) -> subprocess.Popen:
    """Start the process of a node.

    :param settings: its settings file.
    :param log: file to which its output is added.
    """
    package = find_spec("catkinpost.platform").submodule_search_locations[0]
    # Without the module `site`, packages are found by this path alone.
    packages = os.pathsep.join(item for item in sys.path if item)
    environment = {SETTINGS_VARIABLE: str(settings), "PYTHONPATH": packages}
    with log.open("ab") as output:
        return subprocess.Popen(
            [sys.executable, *NODE_OPTIONS, f"{package}/__main__.py"],
            env=os.environ | environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )


def catches(process: subprocess.Popen, number: signal.Signals) -> bool:
    """Whether a process has a handler of its own for a signal.

    That of SIGINT comes with the interpreter.
    """
    status = Path(f"/proc/{process.pid}/status").read_text()
    mask = next(line for line in status.splitlines() if line.startswith("SigCgt"))
    return bool(int(mask.split()[1], 16) >> (number - 1) & 1)
