"""Digests that identify documents and configurations in messages between routers."""

import hashlib

VERSION_DIGEST_CHARACTERS = 16


def digest_text(text: str) -> str:
    """Return the digest that identifies a document: SHA-256 of its UTF-8 bytes, in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def digest_manifest(text: str) -> str:
    """Return the short digest that identifies a configuration between routers.

    It also orders versions of the same number. Every probe carries it, so it is kept
    short; 64 bits suffice to distinguish the few versions in circulation at a time.
    """
    return digest_text(text)[:VERSION_DIGEST_CHARACTERS]
