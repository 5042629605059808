"""Start of a node on the users' platform, from its settings file to its end."""

import os
import sys
from pathlib import Path

from catkinpost.log import start_log
from catkinpost.node import Node
from catkinpost.platform.environment import PlatformEnvironment
from catkinpost.platform.names import SETTINGS_VARIABLE
from catkinpost.platform.settings import parse_platform_settings
from catkinpost.process import run_process
from catkinpost.protocol.outcome import Failure

__all__ = ["run"]

EXIT_BAD_SETTINGS = 2


def run() -> int:
    """Run the node until a stop is requested.

    :return: exit status of the process.
    """
    path = Path(os.environ[SETTINGS_VARIABLE])
    settings = parse_platform_settings(path.read_text(encoding="utf-8"))
    if isinstance(settings, Failure):
        print(f"{path}: {settings.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    start_log(sys.stdout.fileno())
    node = Node(settings.node, PlatformEnvironment(settings, path))
    run_process(node.run, poll_interval=settings.node.bounds.poll_interval)
    return 0
