"""Identity of a node and its proof of membership towards peers."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass, field

from catkinpost.protocol.message import PROTOCOL_VERSION, Challenge, Hello, Welcome

__all__ = ["Identity", "get_holder_instance", "generate_nonce"]

HOLDER_SEPARATOR = "#"

NONCE_BYTES = 16
INCARNATION_BYTES = 8


def generate_nonce() -> bytes:
    """Return fresh random bytes to authenticate against."""
    return secrets.token_bytes(NONCE_BYTES)


def get_holder_instance(holder: str) -> str:
    """Return the instance's name of a key's holder."""
    return holder.partition(HOLDER_SEPARATOR)[0]


@dataclass(frozen=True, kw_only=True)
class Identity:
    """Name, place and incarnation of one node.

    :param instance: name of the instance.
    :param service: service of its backend server.
    :param secret: key that all nodes share.
    :param peers_address: where the node accepts peers.
    :param incarnation: random name of this run of the process.
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
        """Return the proof that this node knows the shared secret."""
        text = b"\0".join(
            [role, nonce, self.instance.encode(), self.incarnation.encode()]
        )
        return hmac.digest(self.secret, text, hashlib.sha256)

    def is_valid_proof(
        self, proof: bytes, nonce: bytes, role: bytes, peer: Hello | Welcome
    ) -> bool:
        """Check a peer's proof.

        :param proof: proof that came with the peer's introduction.
        :param nonce: nonce that the proof must cover.
        :param role: ``hello`` or ``welcome``.
        :param peer: the peer's introduction.
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
        """Build the introduction of the connecting side."""
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
        )

    def build_welcome(self, hello: Hello, version: int, digest: bytes, load) -> Welcome:
        """Build the introduction of the accepting side."""
        return Welcome(
            version=PROTOCOL_VERSION,
            instance=self.instance,
            service=self.service,
            incarnation=self.incarnation,
            policy_version=version,
            policy_digest=digest,
            proof=self.compute_proof(hello.nonce, b"welcome"),
            load=load,
        )
