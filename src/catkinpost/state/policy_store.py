"""The policy in force at one node; it only ever moves forward."""

import hashlib
from dataclasses import dataclass, field

from catkinpost.protocol.ini import Problem
from catkinpost.protocol.message import PolicyContent, SectionCopy
from catkinpost.protocol.policy import (
    Policy,
    Section,
    build_policy,
    check_document,
)

__all__ = ["PolicyChange", "PolicyStore"]

NO_VERSION = -1
DIGEST_BYTES = 16
MAX_TOMBSTONES = 1000


@dataclass(frozen=True, kw_only=True)
class PolicyChange:
    """Effect of a document or of a peer's sections.

    :param version: version in force afterwards.
    :param changed: names of sections that changed.
    :param removed: names of sections that went.
    :param problems: errors of the document that was read.
    """

    version: int
    changed: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)


class PolicyStore:
    """Accepted sections, each with the version that brought it.

    A document with a lower version than the one in force is ignored. A broken
    section keeps its last good form. Two stores that exchange their contents
    end up equal: for each section the higher version wins, and a removed
    section leaves a tombstone, a copy with an empty text.
    """

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.declared: frozenset[str] = frozenset()
        self.copies: dict[str, SectionCopy] = {}
        self.models: dict[str, Section] = {}
        self.policy = Policy()
        self.problems: list[Problem] = []
        self.digest = b""
        self.since: float | None = None
        self.source = ""

    @property
    def known(self) -> bool:
        """Whether any version is in force."""
        return self.version != NO_VERSION

    def accept_document(
        self, version: int, text: str, *, now: float, source: str
    ) -> PolicyChange | None:
        """Bring a document into force.

        :param version: version that the platform gave to the document.
        :param text: the whole document.
        :param now: time on the node's clock.
        :param source: where the document was read.
        :return: the change, or ``None`` when the version is already superseded.
        """
        if version < self.version:
            return None
        checked = check_document(text, fallback=self.models)
        copies = {
            name: SectionCopy(name, version, section.text)
            for name, section in checked.sections.items()
            if not self.holds_text(name, section.text)
        }
        change = self.adopt(version, checked.declared, copies, now, source)
        self.problems = checked.problems
        return PolicyChange(
            version=self.version,
            changed=change.changed,
            removed=change.removed,
            problems=checked.problems,
        )

    def holds_text(self, name: str, text: str) -> bool:
        copy = self.copies.get(name)
        return copy is not None and copy.text == text

    def merge(
        self, content: PolicyContent, *, now: float, source: str
    ) -> PolicyChange | None:
        """Take over what a peer has accepted and this store lacks.

        :param content: the peer's sections.
        :param now: time on the node's clock.
        :param source: name of the peer.
        :return: the change, or ``None`` when there is nothing new.
        """
        if content.policy_version > self.version and content.since > self.version:
            return None
        newer = content.policy_version > self.version
        declared = frozenset(content.declared) if newer else self.declared
        copies = {
            copy.name: copy
            for copy in content.sections
            if copy.name in declared and self.is_newer(copy)
        }
        if not copies and not newer:
            return None
        version = max(self.version, content.policy_version)
        return self.adopt(version, declared, copies, now, source)

    def is_newer(self, copy: SectionCopy) -> bool:
        mine = self.copies.get(copy.name)
        if mine is None:
            return True
        if mine.text == copy.text:
            return False
        return (copy.version, copy.text) > (mine.version, mine.text)

    def adopt(
        self,
        version: int,
        declared: frozenset[str],
        copies: dict[str, SectionCopy],
        now: float,
        source: str,
    ) -> PolicyChange:
        removed = [
            name
            for name, copy in self.copies.items()
            if name not in declared and copy.text
        ]
        for name in removed:
            self.copies[name] = SectionCopy(name, version, "")
        self.copies.update(copies)
        self.drop_old_tombstones()
        moved = version != self.version
        self.version = version
        self.declared = declared
        self.rebuild()
        if moved or self.since is None:
            self.since = now
            self.source = source
        return PolicyChange(version=version, changed=sorted(copies), removed=removed)

    def drop_old_tombstones(self) -> None:
        tombstones = [copy for copy in self.copies.values() if not copy.text]
        tombstones.sort(key=lambda copy: copy.version)
        for copy in tombstones[:-MAX_TOMBSTONES]:
            del self.copies[copy.name]

    def rebuild(self) -> None:
        text = "\n".join(copy.text for copy in self.copies.values() if copy.text)
        self.models = check_document(text).models
        self.policy = build_policy(self.models)
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for name in sorted(self.copies):
            text = self.copies[name].text
            if text:
                digest.update(f"{name}\0{text}\0".encode())
        self.digest = digest.digest()

    def content_since(self, version: int) -> PolicyContent:
        """Return what a store at the given version lacks.

        :param version: version of the asking store; -1 asks for everything.
        """
        return PolicyContent(
            since=version,
            policy_version=self.version,
            declared=sorted(self.declared),
            sections=[copy for copy in self.copies.values() if copy.version > version],
        )

    def render(self) -> str:
        """Return the document in force as text."""
        return "\n".join(copy.text for copy in self.copies.values() if copy.text)
