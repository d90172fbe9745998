"""What makes two requests the same one: their caller, path and body, whatever their ids."""

import hashlib

FINGERPRINT_BYTES = 16
"""So long that two requests of a fleet's life never share one, also where callers try."""


def fingerprint_request(workspace: str, method: str, target: str, body: bytes) -> bytes:
    """Return the fingerprint of a request; every router gives it the same one.

    The workspace is part of it, so that no workspace can speak for another one's requests.
    """
    head = f"{len(workspace)}/{workspace}/{method}/{len(target)}/{target}/".encode()
    digest = hashlib.blake2b(head, digest_size=FINGERPRINT_BYTES)
    digest.update(body)
    return digest.digest()
