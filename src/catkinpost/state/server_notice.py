"""Latest notices of backend servers about themselves, by instance."""

from collections.abc import Callable

from catkinpost.protocol.message import ServerNotice
from catkinpost.state.bounded import BoundedDict
from catkinpost.state.instance_view import Instance, InstanceState

__all__ = ["ServerNotices"]

MAX_INSTANCES = 4096


class ServerNotices:
    """Latest notice of each backend server that this node has heard of.

    A notice holds for one incarnation of its server. An instance that is removed from
    the list keeps its notice, since a list that lags may name it again.
    """

    def __init__(self) -> None:
        self.notices: BoundedDict[str, ServerNotice] = BoundedDict(MAX_INSTANCES)
        self.listeners: list[Callable[[str, ServerNotice], None]] = []

    def record(self, name: str, notice: ServerNotice) -> bool:
        """Record the latest notice of a server.

        A server that has announced that it leaves stays a leaving one until it has
        another incarnation.

        :param name: name of its instance.
        :param notice: the notice.
        :return: whether it differs from the one before.
        """
        previous = self.notices.get(name)
        if previous == notice:
            return False
        if (
            previous is not None
            and previous.leaving
            and previous.incarnation == notice.incarnation
            and not notice.leaving
        ):
            return self.record(
                name, ServerNotice(notice.incarnation, notice.rate_limit, True)
            )
        self.notices.pop(name, None)
        self.notices.get_or_create(name, lambda: notice)
        for listener in self.listeners:
            listener(name, notice)
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
