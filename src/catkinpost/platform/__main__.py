"""Program of a node on the users' platform."""

# The module `signal` would take longer to import than the interpreter to start.
import _signal
import sys

__all__ = ["main"]


def main() -> int:
    """Run the node until a stop is requested."""
    # SIGHUP announces a changed settings file: until the file is watched, the
    # signal must not end the process. The import below takes most of its start.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    # The packages of the program lie beside it.
    packages = __file__.rsplit("/", 3)[0]
    if packages not in sys.path:
        sys.path.append(packages)
    from catkinpost.platform.program import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
