"""Rendezvous (highest random weight) hashing."""

import hashlib


def score(key: str, node: str) -> int:
    """Return the weight of a node for a key; the highest weight wins."""
    # JSON escapes in client requests may contain lone surrogates.
    text = f"{key}\0{node}".encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(text, digest_size=8)
    return int.from_bytes(digest.digest(), "big")
