"""Reads the body of a client's request."""

from typing import Final

from cheroot import errors as cheroot_errors
import returns.result
from werkzeug import wrappers

from verbenafall_gateway.client_http import answers
from verbenafall_gateway.client_http import validation

READ_BYTES: Final = 64 * 1024


def read_body(request: wrappers.Request) -> validation.Checked[bytes]:
    """Return the body; one over the size limit is read and discarded."""
    source = request.environ["wsgi.input"]
    parts: list[bytes] = []
    size = 0
    try:
        while data := source.read(READ_BYTES):
            size += len(data)
            if size <= validation.MAX_BODY_BYTES:
                parts.append(data)
    except TimeoutError:
        return body_fault(
            408, "slow_body", "the body did not arrive within 10 s"
        )
    except (cheroot_errors.MaxSizeExceeded, OSError):
        return oversized_body_fault()
    except ValueError as error:
        return body_fault(400, "bad_body", f"bad chunked body: {error}")
    if size > validation.MAX_BODY_BYTES:
        return oversized_body_fault()
    if request.content_length is not None and size != request.content_length:
        return body_fault(
            400,
            "short_body",
            f"the body ended after {size} of {request.content_length} bytes",
        )
    return returns.result.Success(b"".join(parts))


def oversized_body_fault() -> validation.Checked[bytes]:
    """Return the failed check of a body over the size limit."""
    return body_fault(
        413,
        "body_too_large",
        f"the body exceeds {validation.MAX_BODY_BYTES} bytes",
    )


def body_fault(
    status: int, code: str, message: str
) -> validation.Checked[bytes]:
    """Return the failed check of a body."""
    return returns.result.Failure(answers.Fault(status, code, message))
