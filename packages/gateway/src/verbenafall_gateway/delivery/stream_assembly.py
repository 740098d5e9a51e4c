"""Checks that an attempt's chunks form a gapless sequence (no I/O)."""

import enum
from typing import NamedTuple

from verbenafall_core import messages


class Verdict(enum.StrEnum):
    """What to do with a chunk.

    DELIVER: It is the next chunk.
    DROP: It belongs to another attempt or repeats an earlier chunk.
    GAP: At least one chunk before it is missing; the attempt has failed.
    """

    DELIVER = "deliver"
    DROP = "drop"
    GAP = "gap"


class Assembly(NamedTuple):
    """Position in the chunk sequence of one attempt.

    Attributes:
        resume_index: Sequence number of the attempt's first chunk.
        next_sequence: Sequence number of the next expected chunk.
        byte_count: Bytes delivered by this attempt.
    """

    attempt_id: str
    resume_index: int
    next_sequence: int
    byte_count: int


class Step(NamedTuple):
    """The assembly after a chunk and what to do with the chunk."""

    assembly: Assembly
    verdict: Verdict


def create_assembly(attempt_id: str, resume_index: int) -> Assembly:
    """Create the assembly of an attempt that has no chunks yet."""
    return Assembly(attempt_id, resume_index, resume_index, 0)


def check_chunk(assembly: Assembly, chunk: messages.Chunk) -> Step:
    """Decide whether to deliver, drop or reject a chunk."""
    if chunk.attempt_id != assembly.attempt_id:
        return Step(assembly, Verdict.DROP)
    if chunk.sequence < assembly.next_sequence:
        return Step(assembly, Verdict.DROP)
    if chunk.sequence > assembly.next_sequence:
        return Step(assembly, Verdict.GAP)
    extended = Assembly(
        assembly.attempt_id,
        assembly.resume_index,
        assembly.next_sequence + 1,
        assembly.byte_count + len(chunk.data),
    )
    return Step(extended, Verdict.DELIVER)


def is_complete(assembly: Assembly, end: messages.End) -> bool:
    """Return whether the totals in an End match the delivered chunks."""
    received = assembly.next_sequence - assembly.resume_index
    return (
        end.attempt_id == assembly.attempt_id
        and end.chunk_count == received
        and end.byte_count == assembly.byte_count
    )
