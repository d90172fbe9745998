"""Authentication by API keys, of which the configuration holds only digests."""

import hashlib
import hmac

from myrtlehook_core import Configuration, Workspace

BEARER = "Bearer "

ABSENT_DIGEST = "0" * 64
"""Compared when no workspace is found, so that both cases do the same work."""


def authenticate(configuration: Configuration, authorization: str) -> Workspace | None:
    """Return the workspace whose key the Authorization header holds, or None.

    A key beyond ASCII may be sent in Latin-1 or in UTF-8.
    """
    if not authorization.startswith(BEARER):
        return None
    key = authorization[len(BEARER) :].strip()
    found = _find_by_key(configuration, key.encode())
    if found is not None or key.isascii():
        return found
    return _find_by_key(configuration, _encode_as_sent(key))


def _encode_as_sent(key: str) -> bytes:
    """Return the bytes of a key as the client sent them; heads are decoded as Latin-1."""
    return key.encode("latin-1", "replace")


def _find_by_key(configuration: Configuration, key: bytes) -> Workspace | None:
    digest = hashlib.sha256(key).hexdigest()
    # The lookup goes by a digest, which a client cannot choose, and the comparison takes the
    # same time wherever the two digests differ. Comparing with every key would cost more than
    # the rest of a request at 17,000 workspaces.
    workspace = configuration.key_workspaces.get(digest, "")
    found = configuration.workspaces.get(workspace)
    known_digests = found.key_digests if found is not None else (ABSENT_DIGEST,)
    matches = [hmac.compare_digest(known, digest) for known in known_digests]
    return found if any(matches) else None
