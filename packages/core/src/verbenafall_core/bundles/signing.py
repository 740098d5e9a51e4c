"""Ed25519 signatures of bundle texts and their key files (PEM)."""

from collections.abc import Sequence
import os
import pathlib
from typing import Final
from typing import NamedTuple

from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519
import returns.result

PRIVATE_KEY_FILE: Final = "bundle-signing-key.pem"
PUBLIC_KEY_FILE: Final = "bundle-public-key.pem"

_PEM_BEGIN: Final = b"-----BEGIN "

PublicKeys = Sequence[ed25519.Ed25519PublicKey]


class KeyPaths(NamedTuple):
    """Paths of the PEM files of a key pair."""

    private: pathlib.Path
    public: pathlib.Path


KeyPathsResult = returns.result.Result[KeyPaths, str]
PrivateResult = returns.result.Result[ed25519.Ed25519PrivateKey, str]
PublicResult = returns.result.Result[
    tuple[ed25519.Ed25519PublicKey, ...], tuple[str, ...]
]


def generate_key_files(directory: pathlib.Path) -> KeyPathsResult:
    """Write a new key pair into a directory, creating it if needed.

    Fails if either file exists already; nothing is overwritten.
    """
    paths = KeyPaths(directory / PRIVATE_KEY_FILE, directory / PUBLIC_KEY_FILE)
    existing = [str(path) for path in paths if path.exists()]
    if existing:
        return returns.result.Failure(f"{', '.join(existing)} exists already")
    key = ed25519.Ed25519PrivateKey.generate()
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    public = key.public_key().public_bytes(
        serialization.Encoding.PEM,
        serialization.PublicFormat.SubjectPublicKeyInfo,
    )
    try:
        directory.mkdir(parents=True, exist_ok=True)
        _write_new(paths.private, private, 0o600)
        _write_new(paths.public, public, 0o644)
    except OSError as error:
        return returns.result.Failure(str(error))
    return returns.result.Success(paths)


def _write_new(path: pathlib.Path, data: bytes, mode: int) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    with os.fdopen(descriptor, "wb") as file:
        file.write(data)


def read_private_key(path: pathlib.Path) -> PrivateResult:
    """Read a private key file; the failure names the file and the error."""
    try:
        key = serialization.load_pem_private_key(path.read_bytes(), None)
    except (
        OSError,
        ValueError,
        TypeError,
        exceptions.UnsupportedAlgorithm,
    ) as error:
        return returns.result.Failure(f"{path}: {error}")
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        return returns.result.Failure(f"{path}: is not an Ed25519 private key")
    return returns.result.Success(key)


def read_public_keys(paths: Sequence[pathlib.Path]) -> PublicResult:
    """Read public key files; the failure lists all files with errors.

    A file may contain several keys, so that the old and the new key are both
    valid during a key rotation.
    """
    keys: list[ed25519.Ed25519PublicKey] = []
    problems: list[str] = []
    for path in paths:
        try:
            loaded = [
                serialization.load_pem_public_key(_PEM_BEGIN + block)
                for block in _split_pem(path.read_bytes())
            ]
        except (
            OSError,
            ValueError,
            exceptions.UnsupportedAlgorithm,
        ) as error:
            problems.append(f"{path}: {error}")
            continue
        for key in loaded:
            if isinstance(key, ed25519.Ed25519PublicKey):
                keys.append(key)
            else:
                problems.append(f"{path}: contains a key that is not Ed25519")
    if problems:
        return returns.result.Failure(tuple(problems))
    return returns.result.Success(tuple(keys))


def _split_pem(data: bytes) -> list[bytes]:
    blocks = data.split(_PEM_BEGIN)[1:]
    if not blocks:
        raise ValueError("contains no PEM key")
    return blocks


def sign(text: bytes, key: ed25519.Ed25519PrivateKey) -> bytes:
    """Return the detached signature over the exact bytes of a text."""
    return key.sign(text)


def verify(text: bytes, signature: bytes, keys: PublicKeys) -> bool:
    """Return whether the signature is valid for any of the keys."""
    return any(_matches(text, signature, key) for key in keys)


def _matches(
    text: bytes, signature: bytes, key: ed25519.Ed25519PublicKey
) -> bool:
    try:
        key.verify(signature, text)
    except exceptions.InvalidSignature:
        return False
    return True
