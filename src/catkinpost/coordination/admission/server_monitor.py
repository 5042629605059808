"""Notices of the node's own backend server, and the requests that it is sent."""

import math
from collections import deque
from collections.abc import Callable

import trio
from eliot import log_message

from catkinpost.coordination.admission.admission import Admission
from catkinpost.coordination.routing.dialect import Dialect
from catkinpost.protocol.http import HttpResponse
from catkinpost.protocol.message import Call, ServerNotice
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.server_notice import ServerNotices

__all__ = ["ServerMonitor"]

# Span over which requests are counted for the log.
COUNT_WINDOW_S = 4.0
LOG_INTERVAL_S = 1.0


class ServerMonitor:
    """Reader of the notices in the responses of one backend server.

    While the server names a rate limit, a line a second tells how many requests it
    was sent.

    :param instance: name of this node's instance.
    :param notices: latest notices by instance.
    :param admission: keeps the rate limit that the server names.
    :param dialect: HTTP conventions of the backend server.
    :param on_leaving: called when the server announces that it leaves.
    """

    def __init__(
        self,
        *,
        instance: str,
        notices: ServerNotices,
        admission: Admission,
        dialect: Dialect,
        on_leaving: Callable[[], None] = lambda: None,
    ) -> None:
        self.instance = instance
        self.notices = notices
        self.admission = admission
        self.dialect = dialect
        self.on_leaving = on_leaving
        self.sent_at: deque[float] = deque()
        self.logged_at = -math.inf

    def get_notice(self) -> ServerNotice | None:
        """Return the server's latest notice, ``None`` before its first response."""
        return self.notices.get_latest(self.instance)

    def record_send(self) -> None:
        """Count a request that is about to be sent to the server."""
        now = trio.current_time()
        self.sent_at.append(now)
        while self.sent_at[0] <= now - COUNT_WINDOW_S:
            self.sent_at.popleft()
        notice = self.get_notice()
        if notice is None or notice.rate_limit is None:
            return
        if now >= self.logged_at + LOG_INTERVAL_S:
            self.logged_at = now
            log_message(
                "server: requests under a rate limit",
                rate_limit=notice.rate_limit,
                sent=len(self.sent_at),
                window_s=COUNT_WINDOW_S,
            )

    def record_response(
        self, call: Call, response: HttpResponse, refusal: Failure | None
    ) -> None:
        """Record the notice in a response.

        :param call: the call that was sent.
        :param response: response of the server.
        :param refusal: the failure that the response reports, ``None`` for a result.
        """
        if refusal is not None and refusal.reason is not Reason.BACKEND_SHED:
            # Another server's response, or bytes that cannot be trusted.
            return
        rate_limit = self.dialect.read_rate_limit(response)
        if isinstance(rate_limit, Failure):
            log_message("server: rate limit ignored", why=rate_limit.detail)
            latest = self.notices.get(self.instance, call.incarnation)
            rate_limit = None if latest is None else latest.rate_limit
        notice = ServerNotice(
            call.incarnation, rate_limit, self.dialect.is_server_leaving(response)
        )
        self.record_notice(notice)

    def record_notice(self, notice: ServerNotice) -> None:
        """Apply a notice of the server, and log one that differs."""
        if self.notices.is_late(self.instance, notice):
            if notice.leaving:
                log_message(
                    "server: late notice ignored", incarnation=notice.incarnation
                )
            return
        is_first = self.get_notice() is None
        # The ends of local calls record notices as well, and may record older ones.
        self.admission.set_rate_limit(notice.rate_limit)
        if not self.notices.record(self.instance, notice):
            return
        if is_first and notice.rate_limit is None and not notice.leaving:
            return
        log_message(
            "server: notice",
            incarnation=notice.incarnation,
            rate_limit=notice.rate_limit,
            leaving=notice.leaving,
            sent=len(self.sent_at),
        )
        if notice.leaving:
            self.on_leaving()

    def adopt_notice(self, notice: ServerNotice) -> None:
        """Adopt a notice that a peer has received, until the server's own response.

        :param notice: notice from the time before this process started.
        """
        if self.get_notice() is None:
            self.record_notice(notice)
