"""Checks bundle texts and explains every fault at once."""

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

_EXPECTED_WORDS: Final = {
    "type": "a value of type",
    "pattern": "text that matches",
    "minimum": "at least",
    "maximum": "at most",
    "minItems": "at least",
    "maxLength": "a length of at most",
}

Place = tuple[str | int, ...]
Document = dict[str, Any]


class BundleFault(NamedTuple):
    """One thing that is wrong with a bundle text.

    Attributes:
        place: Where it is, such as "teams[3].services[0]".
        problem: What is wrong.
        expected: What would be valid.
    """

    place: str
    problem: str
    expected: str

    def __str__(self) -> str:
        """Return one line for the operator."""
        return f"{self.place}: {self.problem}; expected {self.expected}"


CheckResult = returns.result.Result[Document, tuple[BundleFault, ...]]


class _RepeatedKeyError(Exception):
    pass


def check_text(text: bytes) -> CheckResult:
    """Return the document of a bundle text, or all its faults."""
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
            object_pairs_hook=_unique_keys,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError, _RepeatedKeyError) as error:
        fault = BundleFault(
            "document", str(error), "JSON in UTF-8 without repeated keys"
        )
        return returns.result.Failure((fault,))
    return check_document(document)


def check_document(document: Any) -> CheckResult:
    """Check a decoded document.

    Parts with schema faults are left out of the checks of meaning, so that
    one mistake is not reported twice.
    """
    problem = _shape_problem(document)
    errors = _schema_errors(document) if problem else []
    faults = [_schema_fault(error) for error in errors]
    if problem and not faults:
        # JSON Schema takes 1.0 for an integer, the shape does not.
        faults.append(BundleFault("document", problem, "that type"))
    if isinstance(document, dict):
        broken = {tuple(error.absolute_path)[:2] for error in errors}
        faults.extend(_meaning_faults(document, broken))
    if faults:
        return returns.result.Failure(tuple(faults))
    return returns.result.Success(document)


def _shape_problem(document: Any) -> str:
    """Return what the compiled check finds first, empty for nothing.

    JSON Schema explains every fault but takes seconds for thousands of
    teams, and each process checks each bundle. So this check runs first.
    """
    try:
        msgspec.convert(document, schema.BundleShape)
    except msgspec.ValidationError as error:
        return str(error)
    return ""


def _schema_errors(document: Any) -> list[jsonschema.ValidationError]:
    return sorted(
        _VALIDATOR.iter_errors(document),
        key=lambda error: format_place(tuple(error.absolute_path)),
    )


def format_place(path: Place) -> str:
    """Return a path as text, such as "teams[3].name"."""
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}"
    return text.removeprefix(".") or "document"


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        repeated = _repeated(key for key, _ in pairs)
        raise _RepeatedKeyError(f"repeated key {', '.join(repeated)}")
    return found


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is no JSON number")


def _repeated(values: Iterable[Any]) -> list[Any]:
    counts = collections.Counter(values)
    return [value for value, count in counts.items() if count > 1]


def _schema_fault(error: jsonschema.ValidationError) -> BundleFault:
    place = format_place(tuple(error.absolute_path))
    return BundleFault(place, _problem(error), _expected(error))


def _problem(error: jsonschema.ValidationError) -> str:
    instance: Any = error.instance
    if error.validator == "required":
        missing = [key for key in _keys(error) if key not in instance]
        return f"lacks {', '.join(missing)}"
    if error.validator == "additionalProperties":
        extra = sorted(set(instance) - set(_keys(error)))
        return f"has unknown keys {', '.join(extra)}"
    if error.validator == "minItems":
        return f"has {len(instance)} items"
    return f"is {_shorten(json.dumps(instance))}"


def _expected(error: jsonschema.ValidationError) -> str:
    value: Any = error.validator_value
    kind = str(error.validator)
    if kind in ("required", "additionalProperties"):
        return f"the keys {', '.join(_keys(error))}"
    if kind == "enum":
        return f"one of {', '.join(value)}"
    return f"{_EXPECTED_WORDS.get(kind, kind)} {value}"


def _keys(error: jsonschema.ValidationError) -> list[str]:
    part: Any = error.schema
    return list(part["properties"])


def _shorten(text: str) -> str:
    return text if len(text) <= 60 else text[:57] + "..."


def _meaning_faults(
    document: Document, broken: set[Place]
) -> Iterator[BundleFault]:
    for key in ("services", "teams", "groups"):
        yield from _duplicate_names(document, key)
    if ("data_centres",) not in broken:
        yield from _duplicates(document, "data_centres")
    kinds = {
        item["name"]: item.get("kind")
        for item in _items(document, "services")
        if isinstance(item.get("name"), str)
    }
    yield from _duplicate_models(document)
    yield from _duplicate_credentials(document, broken)
    for index, item in _sound(document, "services", broken):
        yield from _service_faults(index, item)
    for index, item in _sound(document, "teams", broken):
        yield from _team_faults(index, item, set(kinds))
    for index, item in _sound(document, "groups", broken):
        yield from _group_faults(index, item, kinds)


def _items(document: Document, key: str) -> list[dict[str, Any]]:
    value = document.get(key)
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, dict)]


def _sound(
    document: Document, key: str, broken: set[Place]
) -> Iterator[tuple[int, dict[str, Any]]]:
    value = document.get(key)
    if not isinstance(value, list):
        return
    for index, item in enumerate(value):
        if isinstance(item, dict) and (key, index) not in broken:
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
    document: Document, broken: set[Place]
) -> Iterator[BundleFault]:
    owners: dict[str, str] = {}
    for index, team in _sound(document, "teams", broken):
        for position, digest in enumerate(team["credential_digests"]):
            place = format_place(
                ("teams", index, "credential_digests", position)
            )
            if digest in owners:
                yield BundleFault(
                    place,
                    f"is also a credential of team {owners[digest]!r}",
                    "a credential that identifies one team",
                )
            owners.setdefault(digest, team["name"])


def _service_faults(index: int, item: dict[str, Any]) -> Iterator[BundleFault]:
    place = format_place(("services", index))
    if item["kind"] == "model" and not item["model"]:
        yield BundleFault(
            f"{place}.model", "is empty", "the name that clients give"
        )
    if item["kind"] == "model" and item["rules"]:
        yield BundleFault(
            f"{place}.rules", "is not empty", "rules of records services only"
        )
    if item["kind"] == "records" and item["model"]:
        yield BundleFault(
            f"{place}.model",
            f"is {item['model']!r}",
            "an empty text for a records service",
        )
    yield from _rule_faults(f"{place}.rules", item["rules"])


def _rule_faults(
    place: str, rules: list[dict[str, Any]]
) -> Iterator[BundleFault]:
    for index, rule in enumerate(rules):
        for earlier in rules[:index]:
            same_method = earlier["method"] in ("*", rule["method"])
            prefix = earlier["path_prefix"]
            if same_method and rule["path_prefix"].startswith(prefix):
                yield BundleFault(
                    f"{place}[{index}]",
                    f"is never reached, as the rule for {earlier['method']}"
                    f" {prefix} comes before it",
                    "the narrower rule first",
                )
                break


def _team_faults(
    index: int, item: dict[str, Any], services: set[str]
) -> Iterator[BundleFault]:
    place = format_place(("teams", index, "services"))
    for position, name in enumerate(item["services"]):
        if name not in services:
            yield BundleFault(
                f"{place}[{position}]",
                f"{name!r} is no service",
                f"one of {', '.join(sorted(services))}",
            )
    for name in _repeated(item["services"]):
        yield BundleFault(
            place, f"{name!r} appears more than once", "unique names"
        )


def _group_faults(
    index: int, item: dict[str, Any], kinds: dict[str, Any]
) -> Iterator[BundleFault]:
    place = format_place(("groups", index))
    if kinds.get(item["service"]) != "model":
        names = sorted(name for name, kind in kinds.items() if kind == "model")
        yield BundleFault(
            f"{place}.service",
            f"{item['service']!r} is no model service",
            f"one of {', '.join(names)}",
        )
    for version in _repeated(entry["version"] for entry in item["maps"]):
        yield BundleFault(
            f"{place}.maps",
            f"version {version} appears more than once",
            "unique map versions",
        )
    for number, entry in enumerate(item["maps"]):
        yield from _map_faults(
            f"{place}.maps[{number}].placement", item, entry["placement"]
        )


def _map_faults(
    place: str, group: dict[str, Any], placement: list[int]
) -> Iterator[BundleFault]:
    if len(placement) != group["experts"]:
        yield BundleFault(
            place,
            f"places {len(placement)} experts",
            f"{group['experts']}, the group's number of experts",
        )
    for expert, rank in enumerate(placement):
        if rank >= group["ranks"]:
            yield BundleFault(
                f"{place}[{expert}]",
                f"rank {rank} is out of range",
                f"0 to {group['ranks'] - 1}",
            )
