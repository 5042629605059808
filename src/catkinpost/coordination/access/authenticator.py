"""Decision whether the key of a request is valid, withdrawn, unknown or unjudged."""

import math
from dataclasses import dataclass

import trio

from catkinpost.protocol.credential import parse_credential, take_credentials
from catkinpost.protocol.http import HttpRequest
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.policy import ClassSection, Importance
from catkinpost.protocol.settings import BoundsSection
from catkinpost.state.policy_age import PolicyAge
from catkinpost.state.policy_store import PolicyStore

__all__ = ["UNKNOWN_CALLER", "Authenticator", "Caller", "KeyBounds"]

# The node follows the platform again as soon as it can be reached.
OUTDATED_RETRY_AFTER_S = 0.5


@dataclass(frozen=True, kw_only=True)
class KeyBounds:
    """Bounds on the age of the policy by which keys are judged, in seconds.

    :param max_age_s: age up to which a known key is accepted: a withdrawn one is out of
        use after as long, on every node.
    :param unknown_age_s: age up to which an unknown key is refused as unknown: an added
        one is in use after as long, on nodes that can follow the platform.
    """

    max_age_s: float = math.inf
    unknown_age_s: float = math.inf

    @classmethod
    def build(cls, bounds: BoundsSection) -> "KeyBounds":
        """Return the bounds that the settings of a node name."""
        return cls(
            max_age_s=bounds.workspace_key_age or math.inf,
            unknown_age_s=bounds.unknown_key_age or math.inf,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Caller:
    """Caller as its credential tells.

    :param digest: digest of its key, ``None`` without a usable one.
    :param workspace: workspace that holds the key, ``None`` for none that is known.
    :param importance: importance of the workspace's requests, ``None`` for that of
        their classes.
    :param problem: why the credential is not usable.
    """

    digest: str | None = None
    workspace: str | None = None
    importance: Importance | None = None
    problem: str = ""


UNKNOWN_CALLER = Caller()


@dataclass(kw_only=True, eq=False)
class Authenticator:
    """Judge of the keys that callers send.

    Load pattern: callers go on with a key that was withdrawn, on open connections and
    at nodes that hear nothing of the platform. A node therefore accepts a key only
    while what it knows is young enough to include its withdrawal; later it refuses the
    request as not run, since the key may be as good as before.

    :param store: policy in force.
    :param age: age of the policy.
    :param bounds: bounds on the age.
    """

    store: PolicyStore
    age: PolicyAge
    bounds: KeyBounds = KeyBounds()

    def identify(self, request: HttpRequest, scheme: bytes) -> Caller:
        """Find the caller of a request, and take its credentials off the request.

        While the policy uses no keys, credentials concern the backend server.

        :param scheme: scheme of the credentials, in lower case.
        """
        policy = self.store.policy
        if not policy.uses_keys:
            return UNKNOWN_CALLER
        credential = parse_credential(take_credentials(request), scheme)
        name = policy.find_workspace(credential.digest)
        if name is None:
            return Caller(digest=credential.digest, problem=credential.problem)
        return Caller(
            digest=credential.digest,
            workspace=name,
            importance=policy.workspaces[name].importance,
        )

    def check(self, caller: Caller, section: ClassSection) -> Failure | None:
        """Return why a caller's request must not run, ``None`` if it may.

        :param section: class of the request.
        """
        if not self.store.policy.needs_key(section):
            return None
        if caller.digest is None:
            return build_unauthenticated_failure(caller.problem)
        age_s = self.age.get_age(trio.current_time())
        if caller.workspace is None:
            if age_s <= self.bounds.unknown_age_s:
                return build_unauthenticated_failure("no workspace has the key")
            return build_outdated_failure("the key may have been added")
        if age_s > self.bounds.max_age_s:
            return build_outdated_failure("the key may have been withdrawn")
        return None

    def check_again(self, caller: Caller) -> Failure | None:
        """Return a failure if the key of a waiting request was withdrawn meanwhile.

        What was known when the request came was young enough for it.
        """
        if caller.workspace is None:
            return None
        if self.store.policy.find_workspace(caller.digest) == caller.workspace:
            return None
        return build_unauthenticated_failure("the key was withdrawn")

    @property
    def is_outdated(self) -> bool:
        """Whether requests with a key are refused, as the policy is too old."""
        if not self.store.policy.uses_keys:
            return False
        return self.age.get_age(trio.current_time()) > self.bounds.max_age_s


def build_unauthenticated_failure(detail: str) -> Failure:
    return Failure(reason=Reason.UNAUTHENTICATED, detail=detail)


def build_outdated_failure(detail: str) -> Failure:
    return Failure(
        reason=Reason.KEYS_OUTDATED,
        detail=f"{detail} since the platform was last heard of",
        retry_after=OUTDATED_RETRY_AFTER_S,
    )
