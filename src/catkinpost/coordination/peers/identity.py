"""Identity of a node and its proof of membership for peers."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass, field

from catkinpost.protocol.message import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Load,
    Welcome,
)

__all__ = ["Identity", "get_holder_instance", "generate_nonce"]

HOLDER_SEPARATOR = "#"

NONCE_BYTES = 16
INCARNATION_BYTES = 8


def generate_nonce() -> bytes:
    """Return random bytes for one authentication exchange."""
    return secrets.token_bytes(NONCE_BYTES)


def get_holder_instance(holder: str) -> str:
    """Return the instance name that the holder of a key contains."""
    return holder.partition(HOLDER_SEPARATOR)[0]


@dataclass(frozen=True, kw_only=True)
class Identity:
    """Name, place and incarnation of one node.

    :param instance: name of the instance.
    :param service: service of its backend server.
    :param secret: key that all nodes share.
    :param peers_address: address at which the node accepts peers.
    :param incarnation: random identifier of this run of the process.
    """

    instance: str
    service: str
    secret: bytes
    peers_address: str | None = None
    incarnation: str = field(
        default_factory=lambda: secrets.token_hex(INCARNATION_BYTES)
    )

    @property
    def holder(self) -> str:
        """Name under which this run of the node holds idempotency keys."""
        return f"{self.instance}{HOLDER_SEPARATOR}{self.incarnation}"

    def compute_proof(self, nonce: bytes, role: bytes) -> bytes:
        """Return the proof that this node holds the shared secret."""
        text = b"\0".join(
            [role, nonce, self.instance.encode(), self.incarnation.encode()]
        )
        return hmac.digest(self.secret, text, hashlib.sha256)

    def is_valid_proof(
        self, proof: bytes, nonce: bytes, role: bytes, peer: Hello | Welcome
    ) -> bool:
        """Check a peer's proof.

        :param proof: proof from the peer's handshake message.
        :param nonce: nonce that the proof must cover.
        :param role: ``hello`` or ``welcome``.
        :param peer: the peer's handshake message.
        """
        claimed = Identity(
            instance=peer.instance,
            service=peer.service,
            secret=self.secret,
            incarnation=peer.incarnation,
        )
        return hmac.compare_digest(proof, claimed.compute_proof(nonce, role))

    def build_hello(
        self, challenge: Challenge, version: int, digest: bytes, nonce: bytes
    ):
        """Build the handshake message of the connecting side."""
        return Hello(
            version=PROTOCOL_VERSION,
            instance=self.instance,
            service=self.service,
            incarnation=self.incarnation,
            policy_version=version,
            policy_digest=digest,
            nonce=nonce,
            proof=self.compute_proof(challenge.nonce, b"hello"),
            peers_address=self.peers_address,
            feeds=True,
        )

    def build_welcome(
        self, hello: Hello, version: int, digest: bytes, load: Load, clock_us: int
    ) -> Welcome:
        """Build the handshake message of the accepting side."""
        return Welcome(
            version=PROTOCOL_VERSION,
            instance=self.instance,
            service=self.service,
            incarnation=self.incarnation,
            policy_version=version,
            policy_digest=digest,
            proof=self.compute_proof(hello.nonce, b"welcome"),
            load=load,
            feeds=True,
            withdrawals=True,
            clock_us=clock_us,
            credits=True,
        )
