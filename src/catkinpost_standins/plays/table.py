"""Table of plays, in which each pair of factors' values occurs."""

from collections.abc import Iterator
from dataclasses import dataclass, fields
from itertools import combinations

from allpairspy import AllPairs

__all__ = [
    "CROWD_PLAYS",
    "FACTORS",
    "OUTLASTING_PLAYS",
    "PIPELINE_PLAYS",
    "STOP_PLAYS",
    "TRICKLE_PLAYS",
    "Play",
    "build_plays",
    "list_pairs",
]

FACTORS = {
    "work": [
        "SIGTERM at the entry",
        "SIGTERM at the target",
        "SIGTERM at both",
        "SIGTERM after the server's end",
        "SIGTERM in series",
        "SIGTERM with a change",
        "SIGTERM in a pause",
        "successor at once",
        "signals at the start",
        "settings replaced slowly",
        "SIGHUP",
        "SIGHUP in a pause",
        "shorter idle time-out",
        "shorter route time-out",
        "route moves",
        "draining",
        "drained without notice",
        "silent store",
        "link cut",
        "three works",
        "peer held still",
    ],
    "form": [
        "kept",
        "new",
        "ahead",
        "spread",
        "idle",
        "expect",
        "pieces",
        "split head",
    ],
    "kind": ["safe", "unsafe"],
    "upload": ["empty", "small", "large", "chunked"],
    "answer": ["small", "large", "chunked", "until close"],
    "server": ["quick", "slow", "early answer", "interim", "sheds", "resets idle"],
    "place": ["here", "near", "far"],
    "reader": ["quick", "slow"],
    "queue": ["free", "full"],
    "traffic": ["heeds readiness", "goes on"],
    "network": ["plain", "delay", "narrow"],
}


@dataclass(frozen=True)
class Play:
    """One row of the table: the value of each factor.

    Values beside those of ``FACTORS`` are of fixed rows: form ``"pipeline"`` is clients
    that go on sending behind unread answers; reader ``"trickle"`` is slower than the
    answers that it asks for, and ``"late"`` pauses before each; answer and server
    ``"mixed"`` are sizes and times that differ between the requests of a play, answer
    ``"mostly small"`` the same sizes with few large ones. Server ``"outlasts"`` sends
    its answers slowly, many until after a short deadline. Queue ``"crowd"`` is more
    clients than the node has processor time for.

    :param work: planned work.
    :param form: how clients send, and on which connections.
    :param kind: kind of the route.
    :param upload: form of the request's body.
    :param answer: form of the server's body.
    :param server: what the server does with a request.
    :param place: where the route's server stands, seen from the clients.
    :param reader: how clients read.
    :param queue: whether requests wait for a slot.
    :param traffic: whether clients stop when their node says that it is not ready.
    :param network: what the links between machines do.
    """

    work: str
    form: str
    kind: str
    upload: str
    answer: str
    server: str
    place: str
    reader: str
    queue: str
    traffic: str
    network: str

    def describe(self) -> str:
        """Return the values in one line."""
        return ", ".join(getattr(self, field.name) for field in fields(self))


# Pairs seldom join what these need: an answer that a reset or the idle time-out can
# cut, and requests that wait at a stop.
STOP_PLAYS = [
    Play(
        "SIGTERM at the entry",
        "spread",
        "safe",
        "empty",
        answer,
        server,
        place,
        "slow",
        queue,
        "goes on",
        "plain",
    )
    for answer, server, place, queue in [
        ("chunked", "slow", "here", "free"),
        ("large", "quick", "here", "free"),
        ("chunked", "slow", "near", "full"),
    ]
]

PIPELINE_PLAYS = [
    Play(
        work,
        "pipeline",
        "safe",
        "empty",
        answer,
        "mixed",
        place,
        reader,
        "free",
        "goes on",
        "plain",
    )
    for reader, answer in [("trickle", "mixed"), ("late", "mostly small")]
    for work, place in [
        ("SIGTERM at the entry", "here"),
        ("SIGTERM at the entry", "near"),
        ("SIGTERM at the entry", "far"),
        ("SIGTERM in series", "near"),
        ("SIGTERM at both", "near"),
        ("SIGTERM at the target", "near"),
        ("SIGTERM at the target", "far"),
        ("shorter idle time-out", "here"),
        ("SIGHUP", "near"),
    ]
]

# An answer takes its caller longer than a node has left behind the end of reading.
TRICKLE_PLAYS = [
    Play(
        "SIGTERM at the entry",
        "kept",
        "safe",
        "empty",
        "large",
        "quick",
        place,
        "trickle",
        "free",
        "goes on",
        "plain",
    )
    for place in ("here", "near")
]

# A server that has begun its answer can't answer for its deadline.
OUTLASTING_PLAYS = [
    Play(
        work,
        "kept",
        "safe",
        "empty",
        answer,
        "outlasts",
        place,
        "quick",
        "free",
        "goes on",
        "plain",
    )
    for answer in ("chunked", "until close")
    for work, place in [
        ("SIGTERM at the entry", "here"),
        ("SIGTERM at the entry", "near"),
        ("SIGTERM at the entry", "far"),
        ("SIGTERM at both", "near"),
    ]
]


# More callers than a node has time for, each with a connection of its own.
CROWD_PLAYS = [
    Play(
        work,
        "new",
        "safe",
        "empty",
        "small",
        "quick",
        place,
        "quick",
        "crowd",
        "goes on",
        "plain",
    )
    for work, place in [
        ("SIGTERM at the entry", "here"),
        ("SIGTERM at the entry", "near"),
        ("SIGTERM at both", "near"),
    ]
]


def build_plays() -> list[Play]:
    """Return plays in which each pair of values of two factors occurs, and others."""
    pairs = (Play(*row) for row in AllPairs(list(FACTORS.values())))
    return [
        *pairs,
        *STOP_PLAYS,
        *PIPELINE_PLAYS,
        *TRICKLE_PLAYS,
        *OUTLASTING_PLAYS,
        *CROWD_PLAYS,
    ]


def list_pairs(play: Play) -> Iterator[tuple[tuple[str, str], tuple[str, str]]]:
    """List the pairs of values of ``FACTORS`` that a play reaches."""
    values = [
        (name, getattr(play, name))
        for name in FACTORS
        if getattr(play, name) in FACTORS[name]
    ]
    yield from combinations(values, 2)
