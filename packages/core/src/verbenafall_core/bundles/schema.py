"""Structure of a bundle text, and the JSON Schema derived from it."""

from typing import Annotated
from typing import Any
from typing import Final
from typing import Literal

import msgspec

NAME_PATTERN: Final = "^[a-z0-9][a-z0-9-]{0,62}$"
DIGEST_PATTERN: Final = "^[0-9a-f]{64}$"
MAX_INT: Final = 2**53 - 1

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Digest = Annotated[str, msgspec.Meta(pattern=DIGEST_PATTERN)]
Method = Annotated[str, msgspec.Meta(pattern=r"^([A-Z]+|\*)$")]
PathPrefix = Annotated[str, msgspec.Meta(pattern="^/")]
ModelName = Annotated[str, msgspec.Meta(max_length=128)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_INT)]
Weight = Annotated[float, msgspec.Meta(ge=0)]


class RuleShape(msgspec.Struct, forbid_unknown_fields=True):
    """Structure of model.CallRule."""

    method: Method
    path_prefix: PathPrefix
    idempotent: bool


class ServiceShape(msgspec.Struct, forbid_unknown_fields=True):
    """Structure of model.ServiceSpec."""

    name: Name
    kind: Literal["model", "records"]
    model: ModelName
    slots: Positive
    deadline_ms: Positive
    fences_orders: bool
    rules: list[RuleShape]


class TeamShape(msgspec.Struct, forbid_unknown_fields=True):
    """Structure of model.TeamSpec."""

    name: Name
    credential_digests: Annotated[list[Digest], msgspec.Meta(min_length=1)]
    shares: Positive
    max_in_flight: Positive
    priority: Count
    services: Annotated[list[Name], msgspec.Meta(min_length=1)]


class MapShape(msgspec.Struct, forbid_unknown_fields=True):
    """Structure of model.MapSpec."""

    version: Positive
    placement: Annotated[list[Count], msgspec.Meta(min_length=1)]


class GroupShape(msgspec.Struct, forbid_unknown_fields=True):
    """Structure of model.GroupSpec."""

    name: Name
    service: Name
    ranks: Positive
    experts: Positive
    maps: Annotated[list[MapShape], msgspec.Meta(min_length=1)]
    skew_weight: Weight
    move_weight: Weight
    minimum_dwell_ms: Count
    moves_per_minute: Positive


class BundleShape(msgspec.Struct, forbid_unknown_fields=True):
    """Structure of model.Bundle."""

    version: Positive
    deployment: Name
    region: Name
    data_centres: Annotated[list[Name], msgspec.Meta(min_length=1)]
    services: Annotated[list[ServiceShape], msgspec.Meta(min_length=1)]
    teams: list[TeamShape]
    groups: list[GroupShape]


BUNDLE: Final[dict[str, Any]] = msgspec.json.schema(BundleShape)
