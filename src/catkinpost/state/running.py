"""Calls that are running at the node's own backend server."""

import secrets
from dataclasses import dataclass, field

import trio

from catkinpost.state.allowance import Allowance

__all__ = ["RunningCall", "RunningCalls"]

TOKEN_BYTES = 9


@dataclass(kw_only=True, eq=False)
class RunningCall:
    """One request that the backend server is running.

    :param calls_by_token: running calls of the same node by token.
    :param service: service that runs the call.
    :param call_class: request class.
    :param tenant: tenant.
    :param rank: rank of importance that child calls inherit.
    :param deadline: time on the node's clock until which the backend server works.
    :param allowance: retries left for the child calls.
    :param fingerprint: digest of the request.
    :param started_at: time at which the request was sent to the backend server.
    :param child_scopes: cancel scopes of the child calls in progress.
    :param called_services: services of all child calls.
    """

    calls_by_token: dict[str, "RunningCall"]
    service: str
    call_class: str
    tenant: str
    rank: int
    deadline: float
    allowance: Allowance
    fingerprint: bytes = b""
    started_at: float = 0.0
    child_scopes: set[trio.CancelScope] = field(default_factory=set)
    called_services: set[str] = field(default_factory=set)
    token_text: str = ""

    @property
    def token(self) -> str:
        """Token that the backend server sends with its child calls.

        It is created on first use, as not every backend server receives one.
        """
        if not self.token_text:
            self.token_text = secrets.token_urlsafe(TOKEN_BYTES)
            self.calls_by_token[self.token_text] = self
        return self.token_text

    def cancel_children(self) -> None:
        """Cancel every child call in progress."""
        for scope in list(self.child_scopes):
            scope.cancel()


class RunningCalls:
    """Running calls, and an index of the calls that have a token."""

    def __init__(self) -> None:
        self.calls: set[RunningCall] = set()
        self.calls_by_token: dict[str, RunningCall] = {}

    def start(self, **fields) -> RunningCall:
        """Register a call.

        :param fields: fields of :class:`RunningCall` except ``calls_by_token``.
        """
        call = RunningCall(calls_by_token=self.calls_by_token, **fields)
        self.calls.add(call)
        return call

    def finish(self, call: RunningCall) -> None:
        """Remove a call that has ended."""
        self.calls.discard(call)
        self.calls_by_token.pop(call.token_text, None)

    def find_by_token(self, token: str) -> RunningCall | None:
        """Return the running call of a token, ``None`` when it has ended."""
        return self.calls_by_token.get(token)
