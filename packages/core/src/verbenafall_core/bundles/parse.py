"""Converts validated bundle documents into typed bundles."""

import datetime
from typing import Any

import returns.result

from verbenafall_core.bundles import check
from verbenafall_core.bundles import model

ParseResult = returns.result.Result[model.Bundle, tuple[check.BundleFault, ...]]


def parse_text(text: bytes) -> ParseResult:
    """Validate a bundle text and return the bundle, or all faults."""
    return check.check_text(text).map(parse_document)


def parse_document(document: dict[str, Any]) -> model.Bundle:
    """Convert a document that has already passed check_document()."""
    return model.Bundle(
        version=document["version"],
        deployment=document["deployment"],
        region=document["region"],
        data_centres=tuple(document["data_centres"]),
        services=tuple(map(_parse_service, document["services"])),
        teams=tuple(map(_parse_team, document["teams"])),
        groups=tuple(map(_parse_group, document["groups"])),
    )


def _milliseconds(value: int) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=value)


def _parse_service(item: dict[str, Any]) -> model.ServiceSpec:
    return model.ServiceSpec(
        name=item["name"],
        kind=model.ServiceKind(item["kind"]),
        model=item["model"],
        slots=item["slots"],
        deadline=_milliseconds(item["deadline_ms"]),
        fences_orders=item["fences_orders"],
        rules=tuple(model.CallRule(**rule) for rule in item["rules"]),
    )


def _parse_team(item: dict[str, Any]) -> model.TeamSpec:
    return model.TeamSpec(
        name=item["name"],
        credential_digests=tuple(item["credential_digests"]),
        shares=item["shares"],
        max_in_flight=item["max_in_flight"],
        priority=item["priority"],
        services=tuple(item["services"]),
    )


def _parse_group(item: dict[str, Any]) -> model.GroupSpec:
    return model.GroupSpec(
        name=item["name"],
        service=item["service"],
        ranks=item["ranks"],
        experts=item["experts"],
        maps=tuple(
            model.MapSpec(entry["version"], tuple(entry["placement"]))
            for entry in item["maps"]
        ),
        skew_weight=float(item["skew_weight"]),
        move_weight=float(item["move_weight"]),
        minimum_dwell=_milliseconds(item["minimum_dwell_ms"]),
        moves_per_minute=item["moves_per_minute"],
    )
