"""API keys: the configuration holds only their digests."""

import hashlib
import hmac

from myrtlehook_core import Configuration, Workspace

BEARER = "Bearer "

ABSENT_DIGEST = "0" * 64
"""Compared when no key matches, so that both ways do the same work."""


def authenticate(configuration: Configuration, authorization: str) -> Workspace | None:
    """Return the workspace whose key the caller showed, or None."""
    if not authorization.startswith(BEARER):
        return None
    shown = hashlib.sha256(authorization[len(BEARER) :].strip().encode()).hexdigest()
    # The look-up is by a digest that a caller cannot steer; the comparison takes
    # the same time wherever the two differ. A walk over every key would cost more
    # than the rest of a request at 17,000 workspaces.
    workspace = configuration.key_workspaces.get(shown, "")
    found = configuration.workspaces.get(workspace)
    known_digests = found.key_digests if found is not None else (ABSENT_DIGEST,)
    matches = [hmac.compare_digest(digest, shown) for digest in known_digests]
    return found if any(matches) else None
