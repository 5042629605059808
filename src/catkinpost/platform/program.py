"""Start of a node on the users' platform, from its settings file to its end."""

import os
import sys
from pathlib import Path

import trio
from eliot import log_message

from catkinpost.log import start_log
from catkinpost.node import Node
from catkinpost.platform.environment import PlatformEnvironment, log_settings
from catkinpost.platform.names import SETTINGS_VARIABLE
from catkinpost.platform.settings import PlatformSettings, parse_platform_settings
from catkinpost.process import end_process, log_failure, log_start, run_process
from catkinpost.protocol.outcome import Failure, Reason

__all__ = ["load_settings", "run"]

EXIT_BAD_SETTINGS = 2
# The file may be replaced at the moment of the start, and be missing or incomplete.
SETTINGS_TIMEOUT_S = 2.0
SETTINGS_POLL_S = 0.02


def run() -> int:
    """Run the node until a stop is requested, and end the process.

    :return: exit status of the process if the node can't be started.
    """
    start_log(open_output())
    with log_failure():
        return run_from_settings(os.environ.get(SETTINGS_VARIABLE, ""))


def run_from_settings(path: str) -> int:
    """Run the node with the settings of a file, and end the process.

    :param path: path of the file, empty if none is named.
    :return: exit status of the process if the node can't be started.
    """
    if not path:
        return report_bad_settings(f"{SETTINGS_VARIABLE} names no settings file")
    settings = trio.run(load_settings, Path(path))
    if isinstance(settings, Failure):
        return report_bad_settings(f"{path}: {settings.detail}")
    bounds = settings.node.bounds
    log_start(bounds)
    log_settings("settings: read", settings)
    node = Node(settings.node, PlatformEnvironment(settings, Path(path)))
    run_process(node.run, poll_interval=bounds.poll_interval)
    node.planned_stop.log_end()
    end_process()


def report_bad_settings(problem: str) -> int:
    """Log why the node can't be started, and print it for who starts it by hand.

    :param problem: what is wrong with the settings.
    :return: exit status of the process.
    """
    log_message("process: settings not usable", why=problem)
    print(problem, file=sys.stderr)
    return EXIT_BAD_SETTINGS


def open_output() -> int:
    """Return the descriptor of the standard output, or one that takes its place.

    A socket would get the number of a closed one, and the log as its data.
    """
    if sys.stdout is None:
        return os.open(os.devnull, os.O_WRONLY)
    return sys.stdout.fileno()


async def load_settings(path: Path) -> PlatformSettings | Failure:
    """Read the settings file, and wait for some time until it can be used.

    A file that is cut between two lines may be valid: two reads must agree.

    :return: the settings, or the reason why the file still can't be used.
    """
    ends_at = trio.current_time() + SETTINGS_TIMEOUT_S
    previous, settings = None, read_settings(path)
    if isinstance(settings, Failure):
        log_message("settings: wait", path=str(path), why=settings.detail)
    while trio.current_time() < ends_at:
        if isinstance(settings, PlatformSettings) and settings == previous:
            break
        await trio.sleep(SETTINGS_POLL_S)
        previous, settings = settings, read_settings(path)
    return settings


def read_settings(path: Path) -> PlatformSettings | Failure:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(reason=Reason.BAD_SETTINGS, detail=repr(error))
    return parse_platform_settings(text)
