"""Refusal of requests that crash the backend servers that run them."""

from collections.abc import Callable

import trio

from catkinpost.protocol.message import Message, SuspectNotice
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.policy import Mode, ServiceSection
from catkinpost.state.crash_suspect import CrashSuspects
from catkinpost.state.decision_log import DecisionLog

__all__ = ["CrashGuard"]

CRASH_WINDOW_S = 1.0
RETRY_AFTER_S = 60.0
# Bounds what is sent to a node that has just connected to a few kilobytes: the latest
# suspects.
MAX_SENT_SUSPECTS = 64

DEFAULT_SECTION = ServiceSection(owner="default")

Broadcast = Callable[[Message], None]


class CrashGuard:
    """Crash counts by request, with refusal of a request after two crashes.

    A request that was in flight at one crash is a suspect. It runs only while no other
    suspect does, so that its next crash distinguishes it from requests that were merely
    in flight at the same time. A suspect that completes is released.

    :param instance: name of this node's instance.
    :param broadcast: function that sends a message to the service's other nodes.
    :param decisions: log for decisions.
    """

    def __init__(
        self, *, instance: str, broadcast: Broadcast, decisions: DecisionLog
    ) -> None:
        self.instance = instance
        self.broadcast = broadcast
        self.decisions = decisions
        self.update_section(DEFAULT_SECTION)
        self.suspects = CrashSuspects()
        self.running: dict[bytes, int] = {}
        self.suspect_limiter = trio.CapacityLimiter(1)
        self.last_crash_at: float | None = None

    def update_section(self, section: ServiceSection) -> None:
        """Apply the section of the service."""
        self.mode = section.crash_guard
        self.crash_limit = section.crash_limit
        self.isolate_suspects = section.isolate_suspects

    def check_request(self, fingerprint: bytes) -> Failure | None:
        """Refuse a request that has crashed too many backend servers.

        :param fingerprint: digest of the request.
        """
        if self.mode is Mode.OFF:
            return None
        crashes = self.suspects.get_crash_count(fingerprint)
        if crashes < self.crash_limit:
            return None
        detail = f"the request was running at {crashes} crashes of backend servers"
        self.decisions.add(
            "crash-guard",
            "refuse",
            fingerprint.hex(),
            reason=detail,
            mode=self.mode,
            crashes=crashes,
        )
        if self.mode is Mode.OBSERVE:
            return None
        return Failure(
            reason=Reason.CRASH_SUSPECT, detail=detail, retry_after=RETRY_AFTER_S
        )

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a request must run in isolation after a crash."""
        if self.mode is not Mode.ON or not self.isolate_suspects:
            return False
        return self.suspects.get_crash_count(fingerprint) > 0

    def record_start(self, fingerprint: bytes) -> None:
        """Record that the backend server runs a request."""
        self.running[fingerprint] = self.running.get(fingerprint, 0) + 1

    def record_end(self, fingerprint: bytes, *, completed: bool) -> None:
        """Record the end of a request.

        :param fingerprint: digest of the request.
        :param completed: whether the backend server returned a response.
        """
        count = self.running.get(fingerprint, 0) - 1
        if count > 0:
            self.running[fingerprint] = count
        else:
            self.running.pop(fingerprint, None)
        if completed and self.suspects.get_crash_count(fingerprint):
            self.release_suspect(fingerprint)

    def release_suspect(self, fingerprint: bytes) -> None:
        self.suspects.set_count(fingerprint, self.instance, 0)
        self.broadcast(SuspectNotice(fingerprint, 0, self.instance))
        self.decisions.add(
            "crash-guard",
            "release",
            fingerprint.hex(),
            reason="the request completed",
            mode=self.mode,
        )

    def record_backend_crash(self) -> None:
        """Count a crash for the requests in flight.

        Lost connections within the crash window are signs of the same crash.
        """
        now = trio.current_time()
        if self.last_crash_at is not None and now - self.last_crash_at < CRASH_WINDOW_S:
            return
        self.last_crash_at = now
        if self.mode is Mode.OFF:
            return
        known_suspects = [
            item for item in self.running if self.suspects.get_crash_count(item)
        ]
        # A known suspect explains the crash, so the other requests are not counted.
        for fingerprint in known_suspects or list(self.running):
            crashes = self.suspects.get_crash_count_at(fingerprint, self.instance) + 1
            self.suspects.set_count(fingerprint, self.instance, crashes)
            self.broadcast(SuspectNotice(fingerprint, crashes, self.instance))
            self.decisions.add(
                "crash-guard",
                "suspect",
                fingerprint.hex(),
                reason="the backend server crashed while it ran the request",
                mode=self.mode,
                crashes=crashes,
                beside=len(self.running) - 1,
            )

    def build_suspect_notices(self) -> list[SuspectNotice]:
        """Build the notices for a node that has just connected."""
        latest_counts = self.suspects.list_counts()[-MAX_SENT_SUSPECTS:]
        return [
            SuspectNotice(fingerprint, crashes, origin)
            for fingerprint, origin, crashes in latest_counts
        ]

    def apply_notice(self, notice: SuspectNotice) -> None:
        """Apply the crash count that another node reports."""
        self.suspects.set_count(notice.fingerprint, notice.origin, notice.crashes)
