"""Encoding of bundles in the object store, and verification of signed texts.

The head is JSON. A bundle is a msgpack map of the compressed text and its
signature. Texts are compressed in the store and on links because a text with
16,000 teams exceeds the size limits of both.
"""

import json
from typing import Any
from typing import Final
from typing import NamedTuple
import zlib

import msgpack
import msgspec
import returns.result

from verbenafall_core.bundles import check
from verbenafall_core.bundles import model
from verbenafall_core.bundles import parse
from verbenafall_core.bundles import signing

HEAD_NAME: Final = "bundles/head"
MAX_REASON_FAULTS: Final = 3


class Head(NamedTuple):
    """The accepted and the pending version.

    Attributes:
        accepted: Highest accepted version, 0 for none.
        pending: Version that processes are to prepare, 0 for none.
    """

    accepted: int
    pending: int


class VerifiedBundle(NamedTuple):
    """A signed text that passed verification, and the bundle parsed from it."""

    signed: model.SignedBundle
    bundle: model.Bundle


HeadResult = returns.result.Result[Head, str]
TextResult = returns.result.Result[bytes, str]
SignedResult = returns.result.Result[model.SignedBundle, str]
VerifiedResult = returns.result.Result[VerifiedBundle, str]


def bundle_name(version: int) -> str:
    """Return the store's object name for a version."""
    return f"bundles/{version}"


def encode_head(head: Head) -> bytes:
    """Encode the head for the store."""
    return json.dumps(head._asdict()).encode()


def decode_head(value: bytes) -> HeadResult:
    """Decode the head; the failure is a message for the operator."""
    try:
        document: Any = json.loads(value)
        fields = [document["accepted"], document["pending"]]
        head = msgspec.convert(fields, Head)
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        return returns.result.Failure(f"{HEAD_NAME} is malformed: {error!r}")
    return returns.result.Success(head)


def compress(text: bytes) -> bytes:
    """Return a text in the form that is stored and sent to peers."""
    return zlib.compress(text)


def decompress(data: bytes) -> TextResult:
    """Return the text, unless it is corrupt or exceeds MAX_TEXT_BYTES."""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, check.MAX_TEXT_BYTES)
    except zlib.error as error:
        return returns.result.Failure(f"text cannot be decompressed: {error}")
    if not inflater.eof:
        return returns.result.Failure("text is cut short or too long")
    return returns.result.Success(text)


def encode_bundle(signed: model.SignedBundle) -> bytes:
    """Encode a signed bundle for the store."""
    packed: bytes = msgpack.packb(
        {"text": compress(signed.text), "signature": signed.signature}
    )
    return packed


def decode_bundle(version: int, value: bytes) -> SignedResult:
    """Decode a signed bundle; its signature is not yet verified."""
    try:
        record = msgpack.unpackb(value)
        data, signature = record["text"], record["signature"]
        valid = isinstance(data, bytes) and isinstance(signature, bytes)
    except (
        ValueError,
        KeyError,
        TypeError,
        msgpack.exceptions.UnpackException,
    ):
        valid = False
    if not valid:
        return returns.result.Failure(
            f"{bundle_name(version)} is no signed bundle"
        )
    return decompress(data).map(
        lambda text: model.SignedBundle(version, text, signature)
    )


def verify(
    signed: model.SignedBundle, keys: signing.PublicKeys
) -> VerifiedResult:
    """Check signature, content and version; the failure is the reason.

    The reason shows the first MAX_REASON_FAULTS faults of the content.
    """
    if not signing.verify(signed.text, signed.signature, keys):
        return returns.result.Failure("no known key made the signature")
    parsed = parse.parse_text(signed.text)
    if not isinstance(parsed, returns.result.Success):
        faults = parsed.failure()
        shown = "; ".join(map(str, faults[:MAX_REASON_FAULTS]))
        return returns.result.Failure(f"{len(faults)} faults: {shown}")
    bundle = parsed.unwrap()
    if bundle.version != signed.version:
        return returns.result.Failure(
            f"text has version {bundle.version}, not {signed.version}"
        )
    return returns.result.Success(VerifiedBundle(signed, bundle))
