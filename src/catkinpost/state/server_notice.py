"""Latest notices of backend servers about themselves, by instance."""

import msgspec

from catkinpost.protocol.message import ServerNotice
from catkinpost.state.bounded import BoundedDict
from catkinpost.state.instance_view import Instance, InstanceState

__all__ = ["ServerNotices", "compute_pace"]

MAX_INSTANCES = 4096
# Requests per second below a limit of zero: without any response nobody would learn
# that the limit has ended.
MIN_PACE_PER_S = 0.5


def compute_pace(rate_limit: float) -> float:
    """Return the requests per second that are sent under a rate limit."""
    return max(MIN_PACE_PER_S, rate_limit)


class ServerNotices:
    """Latest notice of each backend server that this node has heard of.

    A notice holds for one incarnation of its server. An instance that is removed from
    the list keeps its notice, since a list that lags may name it again. A notice of the
    incarnation that was listed before is late and does not count.

    :ivar listed: incarnation that was listed last and, if another was listed before,
        that one, by instance.
    """

    def __init__(self) -> None:
        self.notices: BoundedDict[str, ServerNotice] = BoundedDict(MAX_INSTANCES)
        self.listed: BoundedDict[str, tuple[str, str | None]] = BoundedDict(
            MAX_INSTANCES
        )

    def record_listed(self, name: str, incarnation: str) -> None:
        """Record the incarnation of a server that the list names from now on."""
        latest, earlier = self.listed.pop(name, (incarnation, None))
        if latest != incarnation:
            earlier = latest
        self.listed.get_or_create(name, lambda: (incarnation, earlier))

    def is_late(self, name: str, notice: ServerNotice) -> bool:
        """Return whether a notice is of a server that the list has replaced."""
        _, earlier = self.listed.get(name, ("", None))
        return notice.incarnation == earlier

    def record(self, name: str, notice: ServerNotice) -> bool:
        """Record the latest notice of a server.

        A server that has announced that it leaves stays a leaving one until it has
        another incarnation.

        :param name: name of its instance.
        :param notice: the notice.
        :return: whether it counts and differs from the one before.
        """
        if self.is_late(name, notice):
            return False
        previous = self.notices.get(name)
        is_same_server = previous and previous.incarnation == notice.incarnation
        if is_same_server and previous.leaving:
            notice = msgspec.structs.replace(notice, leaving=True)
        if previous == notice:
            return False
        self.notices.pop(name, None)
        self.notices.get_or_create(name, lambda: notice)
        return True

    def get(self, name: str, incarnation: str) -> ServerNotice | None:
        """Return the latest notice of one incarnation of a server.

        :param name: name of its instance.
        :param incarnation: incarnation as listed.
        """
        notice = self.notices.get(name)
        if notice is None or notice.incarnation != incarnation:
            return None
        return notice

    def get_latest(self, name: str) -> ServerNotice | None:
        """Return the latest notice of whichever incarnation was heard of last."""
        return self.notices.get(name)

    def is_leaving(self, instance: Instance) -> bool:
        """Return whether the list or the server itself marks it as leaving."""
        if instance.state is InstanceState.LEAVING:
            return True
        notice = self.get(instance.name, instance.incarnation)
        return notice is not None and notice.leaving
