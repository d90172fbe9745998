"""Fingerprints of requests: equal for the same workspace, method, path and body, at any id."""

import hashlib

FINGERPRINT_BYTES = 16
"""Long enough to rule out collisions over a fleet's lifetime, even deliberate ones."""


def fingerprint_request(workspace: str, method: str, target: str, body: bytes | bytearray) -> bytes:
    """Return the fingerprint of a request, which is the same at every router.

    It includes the workspace, so that no workspace can affect another one's requests.
    """
    head = f"{len(workspace)}/{workspace}/{method}/{len(target)}/{target}/".encode()
    digest = hashlib.blake2b(head, digest_size=FINGERPRINT_BYTES)
    digest.update(body)
    return digest.digest()
