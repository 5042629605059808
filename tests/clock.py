"""Run asynchronous tests on a mock clock."""

import functools
import random
import threading

import hypothesis
import trio
import trio.testing

__all__ = ["TrioDriver", "on_mock_clock", "wait_all_tasks_blocked"]

# Hypothesis controls the order in which tasks run, so that failures are repeatable.
trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
hypothesis.register_random(trio._core._run._r)
hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.load_profile("repeatable")

IO_THRESHOLD_S = 0.02
LONGEST_TEST_S = 36_000


def on_mock_clock(test=None, *, io=False, seed=0):
    """Run an asynchronous test method on a clock that skips idle time.

    :param io: whether the test uses sockets, which need some real time.
    :param seed: seed of the random numbers and of the order of tasks.
    """
    if test is None:
        return functools.partial(on_mock_clock, io=io, seed=seed)

    @functools.wraps(test)
    def run(*args):
        async def main():
            with trio.fail_after(LONGEST_TEST_S):
                await test(*args)

        random.seed(seed)
        trio._core._run._r.seed(seed)
        threshold = IO_THRESHOLD_S if io else 0
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=threshold))

    return run


async def wait_all_tasks_blocked():
    """Wait until every other task waits for something."""
    await trio.testing.wait_all_tasks_blocked()


class TrioDriver:
    """Event loop that a rule-based test steps from outside.

    Tasks run between the steps; the clock moves only when the test advances it.
    """

    def __init__(self):
        self.clock = trio.testing.MockClock()
        self.started = threading.Event()
        self.thread = threading.Thread(target=self.main, daemon=True)
        self.thread.start()
        self.started.wait()

    def main(self):
        trio.run(self.serve, clock=self.clock)

    async def serve(self):
        self.stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.token = trio.lowlevel.current_trio_token()
            self.started.set()
            await self.stopped.wait()
            nursery.cancel_scope.cancel()

    def run(self, function, *args):
        """Run an asynchronous function in the loop until everything waits."""

        async def step():
            result = await function(*args)
            await wait_all_tasks_blocked()
            return result

        return trio.from_thread.run(step, trio_token=self.token)

    def spawn(self, function, *args):
        """Start a task in the loop."""

        async def step():
            self.nursery.start_soon(function, *args)

        self.run(step)

    def advance(self, seconds):
        """Move the clock and run all tasks that are due."""

        async def step():
            self.clock.jump(seconds)
            await wait_all_tasks_blocked()

        self.run(step)

    def stop(self):
        """End the loop and its tasks."""
        trio.from_thread.run_sync(self.stopped.set, trio_token=self.token)
        self.thread.join()
