"""``python -m catkinpost.platform``: a node on the users' platform."""

import os
import signal
import sys
from pathlib import Path

from catkinpost.log import start_log
from catkinpost.node import Node
from catkinpost.platform.environment import PlatformEnvironment
from catkinpost.platform.names import SETTINGS_VARIABLE
from catkinpost.platform.settings import parse_platform_settings
from catkinpost.process import run_process
from catkinpost.protocol.outcome import Failure

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Run the node until a stop is requested."""
    # SIGHUP announces a changed settings file: until the file is watched, the
    # signal must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = Path(os.environ[SETTINGS_VARIABLE])
    settings = parse_platform_settings(path.read_text(encoding="utf-8"))
    if isinstance(settings, Failure):
        print(f"{path}: {settings.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    start_log(sys.stdout.fileno())
    node = Node(settings.node, PlatformEnvironment(settings, path))
    run_process(node.run, poll_interval=settings.node.bounds.poll_interval)
    return 0


if __name__ == "__main__":
    sys.exit(main())
