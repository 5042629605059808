"""Running asynchronous tests on a mock clock."""

import functools

import trio
import trio.testing

__all__ = ["on_mock_clock"]


def on_mock_clock(test):
    """Run an asynchronous test method on a clock that skips idle time."""

    @functools.wraps(test)
    def run(*args):
        async def main():
            with trio.fail_after(3600):
                await test(*args)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run
