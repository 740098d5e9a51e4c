"""JSON Schema of a bundle text."""

from typing import Any
from typing import Final

NAME_PATTERN: Final = "^[a-z0-9][a-z0-9-]{0,62}$"
DIGEST_PATTERN: Final = "^[0-9a-f]{64}$"
MAX_INT: Final = 2**53 - 1


def _object(**properties: Any) -> dict[str, Any]:
    return {
        "type": "object",
        "properties": properties,
        "required": list(properties),
        "additionalProperties": False,
    }


def _list(items: dict[str, Any], least: int = 0) -> dict[str, Any]:
    return {"type": "array", "items": items, "minItems": least}


def _integer(least: int) -> dict[str, Any]:
    return {"type": "integer", "minimum": least, "maximum": MAX_INT}


_NAME: Final = {"type": "string", "pattern": NAME_PATTERN}
_WEIGHT: Final = {"type": "number", "minimum": 0}

_RULE: Final = _object(
    method={"type": "string", "pattern": r"^([A-Z]+|\*)$"},
    path_prefix={"type": "string", "pattern": "^/"},
    idempotent={"type": "boolean"},
)
_SERVICE: Final = _object(
    name=_NAME,
    kind={"enum": ["model", "records"]},
    model={"type": "string", "maxLength": 128},
    slots=_integer(1),
    deadline_ms=_integer(1),
    fences_orders={"type": "boolean"},
    rules=_list(_RULE),
)
_TEAM: Final = _object(
    name=_NAME,
    credential_digests=_list(
        {"type": "string", "pattern": DIGEST_PATTERN}, least=1
    ),
    shares=_integer(1),
    max_in_flight=_integer(1),
    priority=_integer(0),
    services=_list(_NAME, least=1),
)
_MAP: Final = _object(version=_integer(1), placement=_list(_integer(0), 1))
_GROUP: Final = _object(
    name=_NAME,
    service=_NAME,
    ranks=_integer(1),
    experts=_integer(1),
    maps=_list(_MAP, least=1),
    skew_weight=_WEIGHT,
    move_weight=_WEIGHT,
    minimum_dwell_ms=_integer(0),
    moves_per_minute=_integer(1),
)

BUNDLE: Final[dict[str, Any]] = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    **_object(
        version=_integer(1),
        deployment=_NAME,
        region=_NAME,
        data_centres=_list(_NAME, least=1),
        services=_list(_SERVICE, least=1),
        teams=_list(_TEAM),
        groups=_list(_GROUP),
    ),
}
