"""``python -m catkinpost.platform``: a node on the users' platform."""

import signal
import sys

__all__ = ["main"]


def main() -> int:
    """Run the node until a stop is requested."""
    # SIGHUP announces a changed settings file: until the file is watched, the
    # signal must not end the process. The import below takes most of its start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from catkinpost.platform.program import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
