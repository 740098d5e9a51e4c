"""Rendezvous hashing: each key ranks the nodes in an order of its own."""

import hashlib


def score(key: str, node: str) -> int:
    """Return the weight of a node for a key; the highest wins."""
    # A client may send lone surrogates in JSON escapes.
    text = f"{key}\0{node}".encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(text, digest_size=8)
    return int.from_bytes(digest.digest(), "big")
