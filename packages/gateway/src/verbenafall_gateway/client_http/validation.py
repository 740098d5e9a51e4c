"""Validates client requests; each fault says what is expected."""

from collections.abc import Sequence
import datetime
import hashlib
import json
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeVar
import urllib.parse

import returns.result

from verbenafall_core.bundles import model
from verbenafall_gateway.choice import bundle_index
from verbenafall_gateway.client_http import answers

T = TypeVar("T")
Checked = returns.result.Result[T, answers.Fault]

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_KEY_CHARACTERS: Final = 128
MAX_DEADLINE_MS: Final = 3_600_000
SAFE_METHODS: Final = frozenset({"GET", "HEAD"})
FORWARDED_METHODS: Final = frozenset(
    {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)


class ChatCall(NamedTuple):
    """A validated chat request.

    Attributes:
        body: JSON body for the engine. It always requests a stream, even if
            the client did not, since a broken answer is resumed after the
            tokens received so far.
        stream: Whether the client requested an event stream.
        prompt: Text of the messages, for prefix affinity.
        include_usage: Whether the client's stream ends with token counts.
    """

    model: str
    body: bytes
    stream: bool
    prompt: str
    include_usage: bool = False


class RecordsCall(NamedTuple):
    """A validated call of a records service.

    Attributes:
        path: Path and query as sent by the client.
    """

    method: str
    path: str
    idempotent: bool


def find_team(
    authorization: str | None, index: bundle_index.BundleIndex
) -> Checked[model.TeamSpec]:
    """Return the team that the credential of a request belongs to."""
    scheme, _, credential = (authorization or "").partition(" ")
    credential = credential.strip()
    if scheme.lower() != "bearer" or not credential:
        return _fault(
            401,
            "missing_credential",
            'header Authorization is missing or is not "Bearer <credential>"',
        )
    digest = hashlib.sha256(credential.encode("latin-1", "replace"))
    team = index.teams.get(digest.hexdigest())
    if team is None:
        return _fault(
            401,
            "unknown_credential",
            f"the credential is of no team in bundle {index.bundle.version}",
        )
    return returns.result.Success(team)


def find_model_service(
    name: str, team: model.TeamSpec, index: bundle_index.BundleIndex
) -> Checked[model.ServiceSpec]:
    """Return the service of a model, if the team may call it."""
    service = index.models.get(name)
    if service is None:
        return _fault(
            404,
            "unknown_model",
            f"model {name!r} is not in use; see /v1/models",
        )
    return _check_allowed(service, team)


def find_records_service(
    name: str, team: model.TeamSpec, index: bundle_index.BundleIndex
) -> Checked[model.ServiceSpec]:
    """Return the records service with a name, if the team may call it."""
    service = index.records.get(name)
    if service is None:
        return _fault(
            404, "unknown_service", f"there is no records service {name!r}"
        )
    return _check_allowed(service, team)


def check_key(key: str | None) -> Checked[str]:
    """Check an idempotency key; a missing one becomes an empty string."""
    if key is None:
        return returns.result.Success("")
    printable = key.isascii() and key.isprintable()
    if not printable or not 1 <= len(key) <= MAX_KEY_CHARACTERS:
        return _fault(
            400,
            "bad_idempotency_key",
            "header Idempotency-Key must have 1 to"
            f" {MAX_KEY_CHARACTERS} printable ASCII characters",
        )
    return returns.result.Success(key)


def check_deadline(
    text: str | None, default: datetime.timedelta
) -> Checked[datetime.timedelta]:
    """Return the time limit that a client set, or the default."""
    if text is None:
        return returns.result.Success(default)
    # int() raises an error for a text with thousands of digits.
    valid = text.isascii() and text.isdigit() and len(text) <= 9
    if not valid or not 1 <= int(text) <= MAX_DEADLINE_MS:
        return _fault(
            400,
            "bad_deadline",
            "header X-Deadline-Ms must be a whole number of milliseconds"
            f" from 1 to {MAX_DEADLINE_MS}",
        )
    return returns.result.Success(datetime.timedelta(milliseconds=int(text)))


def check_chat(raw: bytes) -> Checked[ChatCall]:
    """Parse and check the body of a chat request."""
    return _parse_json(raw).bind(_check_chat_object)


def check_records(
    method: str,
    path: str,
    key: str,
    rules: Sequence[model.CallRule],
) -> Checked[RecordsCall]:
    """Check a call of a records service.

    Args:
        method: HTTP method in upper case.
        path: Path and query as sent by the client.
        key: Validated idempotency key, or an empty string.
        rules: The service's rules for calls that may be repeated.
    """
    if method not in FORWARDED_METHODS:
        return _fault(
            405,
            "bad_method",
            f"method {method} is not forwarded, use one of"
            f" {', '.join(sorted(FORWARDED_METHODS))}",
        )
    decoded = urllib.parse.unquote(path.partition("?")[0])
    # The endpoint might resolve such a path to one that another rule covers.
    if any(part in (".", "..") for part in decoded.split("/")):
        return _fault(
            400, "bad_path", 'the path must have no "." or ".." segments'
        )
    idempotent = is_idempotent(method, decoded, rules)
    if not idempotent and not key:
        return _fault(
            400,
            "missing_idempotency_key",
            f"{method} {decoded} may run only once and needs the header"
            " Idempotency-Key",
        )
    return returns.result.Success(RecordsCall(method, path, idempotent))


def is_idempotent(
    method: str, path: str, rules: Sequence[model.CallRule]
) -> bool:
    """Return whether a call may run more than once.

    The first matching rule decides. Without one, only GET and HEAD may.
    """
    for rule in rules:
        if rule.method in ("*", method) and path.startswith(rule.path_prefix):
            return rule.idempotent
    return method in SAFE_METHODS


def _parse_json(raw: bytes) -> Checked[Any]:
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        return _fault(
            400, "bad_json", f"the body is not UTF-8 at byte {error.start}"
        )
    try:
        return returns.result.Success(
            json.loads(text, parse_constant=_reject_constant)
        )
    except json.JSONDecodeError as error:
        return _fault(
            400,
            "bad_json",
            f"the body is not JSON: {error.msg} at line {error.lineno}"
            f" column {error.colno}",
        )
    except ValueError as error:
        return _fault(400, "bad_json", f"the body is not JSON: {error}")
    except RecursionError:
        return _fault(400, "bad_json", "the body is nested too deeply")


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not allowed")


def _check_chat_object(body: Any) -> Checked[ChatCall]:
    if not isinstance(body, dict):
        return _chat_fault("the body must be a JSON object")
    problem = _find_chat_problem(body)
    if problem:
        return _chat_fault(problem)
    stream = body.get("stream") or False
    forwarded = json.dumps({**body, "stream": True}).encode()
    prompt = "\n".join(_message_text(item) for item in body["messages"])
    options = body.get("stream_options") or {}
    include_usage = options.get("include_usage") or False
    return returns.result.Success(
        ChatCall(body["model"], forwarded, stream, prompt, include_usage)
    )


def _find_chat_problem(body: dict[str, Any]) -> str:
    name = body.get("model")
    if not isinstance(name, str) or not name:
        return "model must be a text"
    problem = _find_stream_problem(body)
    if problem:
        return problem
    if body.get("n") not in (None, 1) or isinstance(body.get("n"), bool):
        return "n must be 1; each request has one answer"
    if body.get("resume") is not None:
        return "resume is reserved for the service itself"
    limit = body.get("max_tokens")
    if limit is not None and not _is_positive_int(limit):
        return "max_tokens must be a whole number above 0"
    return _find_messages_problem(body.get("messages"))


def _find_stream_problem(body: dict[str, Any]) -> str:
    if not isinstance(body.get("stream"), bool | None):
        return "stream must be true or false"
    options = body.get("stream_options")
    if not isinstance(options, dict | None):
        return "stream_options must be an object"
    if options and not isinstance(options.get("include_usage"), bool | None):
        return "stream_options.include_usage must be true or false"
    return ""


def _find_messages_problem(items: Any) -> str:
    if not isinstance(items, list) or not items:
        return "messages must be a list with at least one message"
    for index, item in enumerate(items):
        if not isinstance(item, dict):
            return f"messages[{index}] must be an object"
        if not isinstance(item.get("role"), str):
            return f"messages[{index}].role must be a text"
        if not isinstance(item.get("content"), str | list | None):
            return (
                f"messages[{index}].content must be a text or a list of parts"
            )
    return ""


def _is_positive_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _message_text(item: dict[str, Any]) -> str:
    content = item.get("content")
    if isinstance(content, str):
        return content
    parts = content if isinstance(content, list) else []
    texts = [part.get("text") for part in parts if isinstance(part, dict)]
    return "".join(text for text in texts if isinstance(text, str))


def _check_allowed(
    service: model.ServiceSpec, team: model.TeamSpec
) -> Checked[model.ServiceSpec]:
    if service.name in team.services:
        return returns.result.Success(service)
    return _fault(
        403,
        "service_not_allowed",
        f"team {team.name} may not call service {service.name}",
    )


def _chat_fault(message: str) -> returns.result.Failure[answers.Fault]:
    return _fault(400, "bad_request", message)


def _fault(
    status: int, code: str, message: str
) -> returns.result.Failure[answers.Fault]:
    return returns.result.Failure(answers.Fault(status, code, message))
