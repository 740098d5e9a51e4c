"""Validates bundle texts and reports all faults of a text at once."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import json
from typing import Any
from typing import Final
from typing import NamedTuple

import jsonschema
import msgspec
import returns.result

from verbenafall_core.bundles import schema

MAX_TEXT_BYTES: Final = 8 * 1024 * 1024

_VALIDATOR: Final = jsonschema.Draft202012Validator(schema.BUNDLE)

_EXPECTED_PHRASES: Final = {
    "type": "a value of type",
    "pattern": "text that matches",
    "minimum": "at least",
    "maximum": "at most",
    "minItems": "at least",
    "maxLength": "a length of at most",
}

DocumentPath = tuple[str | int, ...]
Document = dict[str, Any]


class BundleFault(NamedTuple):
    """One validation fault of a bundle text.

    Attributes:
        location: Path of the invalid value, such as "teams[3].services[0]",
            or "document" for the whole text.
        problem: What is wrong.
        expected: What would be valid.
    """

    location: str
    problem: str
    expected: str

    def __str__(self) -> str:
        """Return one line for the operator."""
        return f"{self.location}: {self.problem}; expected {self.expected}"


CheckResult = returns.result.Result[Document, tuple[BundleFault, ...]]


class _RepeatedKeyError(Exception):
    pass


def check_text(text: bytes) -> CheckResult:
    """Decode and check a bundle text; return the document or all faults.

    Text that is too long or is not valid JSON gives a single fault.
    """
    if len(text) > MAX_TEXT_BYTES:
        fault = BundleFault(
            "document",
            f"has {len(text)} bytes",
            f"at most {MAX_TEXT_BYTES} bytes",
        )
        return returns.result.Failure((fault,))
    try:
        document = json.loads(
            text.decode("utf-8"),
            object_pairs_hook=_reject_repeated_keys,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError, _RepeatedKeyError) as error:
        fault = BundleFault(
            "document", str(error), "JSON in UTF-8 without repeated keys"
        )
        return returns.result.Failure((fault,))
    return check_document(document)


def check_document(document: Any) -> CheckResult:
    """Check a decoded document against the schema, then its semantics.

    Parts with schema faults are excluded from the semantic checks, so that
    one mistake is not reported twice.
    """
    problem = _find_shape_problem(document)
    errors = _schema_errors(document) if problem else []
    faults = [_schema_fault(error) for error in errors]
    if problem and not faults:
        # JSON Schema accepts 1.0 as an integer; msgspec does not.
        faults.append(BundleFault("document", problem, "that type"))
    if isinstance(document, dict):
        invalid = {tuple(error.absolute_path)[:2] for error in errors}
        faults.extend(_semantic_faults(document, invalid))
    if faults:
        return returns.result.Failure(tuple(faults))
    return returns.result.Success(document)


def _find_shape_problem(document: Any) -> str:
    """Return the first fault that msgspec finds, or an empty string.

    JSON Schema validation reports every fault but takes seconds for
    thousands of teams, and every process checks every bundle. It therefore
    runs only after this faster check has failed.
    """
    try:
        msgspec.convert(document, schema.BundleShape)
    except msgspec.ValidationError as error:
        return str(error)
    return ""


def _schema_errors(document: Any) -> list[jsonschema.ValidationError]:
    return sorted(
        _VALIDATOR.iter_errors(document),
        key=lambda error: format_path(tuple(error.absolute_path)),
    )


def format_path(path: DocumentPath) -> str:
    """Return a path as text, such as "teams[3].name".

    The empty path is "document".
    """
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}"
    return text.removeprefix(".") or "document"


def _reject_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    decoded = dict(pairs)
    if len(decoded) != len(pairs):
        repeated = _repeated(key for key, _ in pairs)
        raise _RepeatedKeyError(f"repeated key {', '.join(repeated)}")
    return decoded


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is no JSON number")


def _repeated(values: Iterable[Any]) -> list[Any]:
    counts = collections.Counter(values)
    return [value for value, count in counts.items() if count > 1]


def _schema_fault(error: jsonschema.ValidationError) -> BundleFault:
    location = format_path(tuple(error.absolute_path))
    return BundleFault(
        location, _describe_problem(error), _describe_expected(error)
    )


def _describe_problem(error: jsonschema.ValidationError) -> str:
    instance: Any = error.instance
    if error.validator == "required":
        missing = [key for key in _keys(error) if key not in instance]
        return f"lacks {', '.join(missing)}"
    if error.validator == "additionalProperties":
        extra = sorted(set(instance) - set(_keys(error)))
        return f"has unknown keys {', '.join(extra)}"
    if error.validator == "minItems":
        return f"has {len(instance)} items"
    return f"is {_truncate(json.dumps(instance))}"


def _describe_expected(error: jsonschema.ValidationError) -> str:
    value: Any = error.validator_value
    kind = str(error.validator)
    if kind in ("required", "additionalProperties"):
        return f"the keys {', '.join(_keys(error))}"
    if kind == "enum":
        return f"one of {', '.join(value)}"
    return f"{_EXPECTED_PHRASES.get(kind, kind)} {value}"


def _keys(error: jsonschema.ValidationError) -> list[str]:
    part: Any = error.schema
    return list(part["properties"])


def _truncate(text: str) -> str:
    return text if len(text) <= 60 else text[:57] + "..."


def _semantic_faults(
    document: Document, invalid: set[DocumentPath]
) -> Iterator[BundleFault]:
    for key in ("services", "teams", "groups"):
        yield from _duplicate_names(document, key)
    if ("data_centres",) not in invalid:
        yield from _duplicates(document, "data_centres")
    kinds_by_name = {
        item["name"]: item.get("kind")
        for item in _items(document, "services")
        if isinstance(item.get("name"), str)
    }
    yield from _duplicate_models(document)
    yield from _duplicate_credentials(document, invalid)
    for index, item in _valid_items(document, "services", invalid):
        yield from _service_faults(index, item)
    for index, item in _valid_items(document, "teams", invalid):
        yield from _team_faults(index, item, set(kinds_by_name))
    for index, item in _valid_items(document, "groups", invalid):
        yield from _group_faults(index, item, kinds_by_name)


def _items(document: Document, key: str) -> list[dict[str, Any]]:
    value = document.get(key)
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, dict)]


def _valid_items(
    document: Document, key: str, invalid: set[DocumentPath]
) -> Iterator[tuple[int, dict[str, Any]]]:
    value = document.get(key)
    if not isinstance(value, list):
        return
    for index, item in enumerate(value):
        if isinstance(item, dict) and (key, index) not in invalid:
            yield index, item


def _duplicate_names(document: Document, key: str) -> Iterator[BundleFault]:
    names = [item.get("name") for item in _items(document, key)]
    for name in _repeated(name for name in names if isinstance(name, str)):
        yield BundleFault(
            key, f"{name!r} appears more than once", "unique names"
        )


def _duplicates(document: Document, key: str) -> Iterator[BundleFault]:
    values = document.get(key)
    if not isinstance(values, list):
        return
    for value in _repeated(v for v in values if isinstance(v, str)):
        yield BundleFault(
            key, f"{value!r} appears more than once", "unique names"
        )


def _duplicate_models(document: Document) -> Iterator[BundleFault]:
    models = [
        item["model"]
        for item in _items(document, "services")
        if isinstance(item.get("model"), str) and item["model"]
    ]
    for model in _repeated(models):
        yield BundleFault(
            "services",
            f"model {model!r} appears more than once",
            "one service for each model",
        )


def _duplicate_credentials(
    document: Document, invalid: set[DocumentPath]
) -> Iterator[BundleFault]:
    owners: dict[str, str] = {}
    for index, team in _valid_items(document, "teams", invalid):
        for position, digest in enumerate(team["credential_digests"]):
            location = format_path(
                ("teams", index, "credential_digests", position)
            )
            if digest in owners:
                yield BundleFault(
                    location,
                    f"is also a credential of team {owners[digest]!r}",
                    "a credential that identifies one team",
                )
            owners.setdefault(digest, team["name"])


def _service_faults(index: int, item: dict[str, Any]) -> Iterator[BundleFault]:
    location = format_path(("services", index))
    if item["kind"] == "model" and not item["model"]:
        yield BundleFault(
            f"{location}.model", "is empty", "the name that clients give"
        )
    if item["kind"] == "model" and item["rules"]:
        yield BundleFault(
            f"{location}.rules",
            "is not empty",
            "rules of records services only",
        )
    if item["kind"] == "records" and item["model"]:
        yield BundleFault(
            f"{location}.model",
            f"is {item['model']!r}",
            "an empty text for a records service",
        )
    yield from _rule_faults(f"{location}.rules", item["rules"])


def _rule_faults(
    location: str, rules: list[dict[str, Any]]
) -> Iterator[BundleFault]:
    for index, rule in enumerate(rules):
        for earlier in rules[:index]:
            same_method = earlier["method"] in ("*", rule["method"])
            prefix = earlier["path_prefix"]
            if same_method and rule["path_prefix"].startswith(prefix):
                yield BundleFault(
                    f"{location}[{index}]",
                    f"is never reached, as the rule for {earlier['method']}"
                    f" {prefix} comes before it",
                    "the narrower rule first",
                )
                break


def _team_faults(
    index: int, item: dict[str, Any], services: set[str]
) -> Iterator[BundleFault]:
    location = format_path(("teams", index, "services"))
    for position, name in enumerate(item["services"]):
        if name not in services:
            yield BundleFault(
                f"{location}[{position}]",
                f"{name!r} is no service",
                f"one of {', '.join(sorted(services))}",
            )
    for name in _repeated(item["services"]):
        yield BundleFault(
            location, f"{name!r} appears more than once", "unique names"
        )


def _group_faults(
    index: int, item: dict[str, Any], kinds_by_name: dict[str, Any]
) -> Iterator[BundleFault]:
    location = format_path(("groups", index))
    if kinds_by_name.get(item["service"]) != "model":
        names = sorted(
            name for name, kind in kinds_by_name.items() if kind == "model"
        )
        yield BundleFault(
            f"{location}.service",
            f"{item['service']!r} is no model service",
            f"one of {', '.join(names)}",
        )
    for version in _repeated(entry["version"] for entry in item["maps"]):
        yield BundleFault(
            f"{location}.maps",
            f"version {version} appears more than once",
            "unique map versions",
        )
    for number, entry in enumerate(item["maps"]):
        yield from _map_faults(
            f"{location}.maps[{number}].placement", item, entry["placement"]
        )


def _map_faults(
    location: str, group: dict[str, Any], placement: list[int]
) -> Iterator[BundleFault]:
    if len(placement) != group["experts"]:
        yield BundleFault(
            location,
            f"places {len(placement)} experts",
            f"{group['experts']}, the group's number of experts",
        )
    for expert, rank in enumerate(placement):
        if rank >= group["ranks"]:
            yield BundleFault(
                f"{location}[{expert}]",
                f"rank {rank} is out of range",
                f"0 to {group['ranks'] - 1}",
            )
