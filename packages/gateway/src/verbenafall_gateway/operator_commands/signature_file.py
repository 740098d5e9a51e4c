"""Signature file next to a bundle file: base64 with a line break."""

import base64
import binascii
import pathlib

import returns.result


def signature_path(bundle: pathlib.Path) -> pathlib.Path:
    """Return the path of the signature of a bundle file."""
    return bundle.with_name(f"{bundle.name}.sig")


def write_signature(
    bundle: pathlib.Path, signature: bytes
) -> returns.result.Result[pathlib.Path, str]:
    """Write the signature of a bundle file."""
    path = signature_path(bundle)
    try:
        path.write_bytes(base64.b64encode(signature) + b"\n")
    except OSError as error:
        return returns.result.Failure(str(error))
    return returns.result.Success(path)


def read_signature(
    bundle: pathlib.Path,
) -> returns.result.Result[bytes, str]:
    """Read the signature of a bundle file."""
    path = signature_path(bundle)
    try:
        encoded = path.read_bytes().strip()
        return returns.result.Success(base64.b64decode(encoded, validate=True))
    except OSError as error:
        return returns.result.Failure(f"{error}; run bundle sign first")
    except binascii.Error as error:
        return returns.result.Failure(f"{path}: not valid base64: {error}")
