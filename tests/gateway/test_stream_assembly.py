"""Assembly of chunks: only the next chunk of the attempt is delivered."""

import hypothesis
from hypothesis import strategies
import pytest

from verbenafall_core import messages
from verbenafall_gateway.delivery import stream_assembly

DELIVER = stream_assembly.Verdict.DELIVER
DROP = stream_assembly.Verdict.DROP
GAP = stream_assembly.Verdict.GAP

# Name, resume index, (attempt, sequence) of each chunk, verdicts.
SEQUENCES = [
    ("in_order", 0, [("a", 0), ("a", 1)], [DELIVER, DELIVER]),
    ("resumed", 5, [("a", 5), ("a", 6)], [DELIVER, DELIVER]),
    ("repeated", 0, [("a", 0), ("a", 0)], [DELIVER, DROP]),
    ("other_attempt", 0, [("b", 0), ("a", 0)], [DROP, DELIVER]),
    ("gap", 0, [("a", 0), ("a", 2)], [DELIVER, GAP]),
    ("reordered", 0, [("a", 1), ("a", 0)], [GAP, DELIVER]),
    ("before_resume", 3, [("a", 2)], [DROP]),
    ("negative", 0, [("a", -1)], [DROP]),
]

# Name, chunk count, byte count, whether two chunks of "xy" are complete.
ENDS = [
    ("matching", "a", 2, 4, True),
    ("short", "a", 3, 4, False),
    ("long", "a", 1, 4, False),
    ("bytes", "a", 2, 5, False),
    ("other_attempt", "b", 2, 4, False),
]

TRUTH = [f"token {number} " for number in range(8)]
CHUNKS = strategies.tuples(
    strategies.sampled_from(["a", "b", "c"]), strategies.integers(-1, 8)
)


def chunk(attempt, sequence, text="xy"):
    return messages.Chunk("r", attempt, sequence, text.encode())


class TestAssembly:
    @pytest.mark.parametrize(
        ("resume_index", "chunks", "verdicts"),
        [row[1:] for row in SEQUENCES],
        ids=[row[0] for row in SEQUENCES],
    )
    def test_verdicts(self, resume_index, chunks, verdicts):
        """Guards against crossed, repeated or missing parts of answers."""
        assembly = stream_assembly.create_assembly("a", resume_index)
        found = []
        for attempt, sequence in chunks:
            step = stream_assembly.check_chunk(
                assembly, chunk(attempt, sequence)
            )
            assembly = step.assembly
            found.append(step.verdict)
        assert found == verdicts

    @pytest.mark.parametrize(
        ("attempt", "count", "size", "complete"),
        [row[1:] for row in ENDS],
        ids=[row[0] for row in ENDS],
    )
    def test_totals(self, attempt, count, size, complete):
        """Guards against a truncated answer that passes for complete."""
        assembly = stream_assembly.create_assembly("a", 4)
        for sequence in (4, 5):
            step = stream_assembly.check_chunk(assembly, chunk("a", sequence))
            assembly = step.assembly
        end = messages.End("r", attempt, count, size, 200, (), "stop")
        assert stream_assembly.is_complete(assembly, end) is complete

    @hypothesis.given(
        strategies.lists(
            strategies.one_of(CHUNKS, strategies.just("resume")), max_size=40
        )
    )
    def test_delivers_only_a_prefix_of_the_true_answer(self, events):
        """Guards against any sequence of chunks that corrupts an answer.

        Attempts follow each other at a gap or a lost link. Chunks of the
        current attempt carry the true tokens, all others carry garbage.
        """
        attempts = iter("abcdefghijklmnopqrstuvwxyz" * 2)
        assembly = stream_assembly.create_assembly(next(attempts), 0)
        delivered = []
        for event in events:
            verdict = GAP
            if event != "resume":
                attempt, sequence = event
                own = attempt == assembly.attempt_id
                known = own and 0 <= sequence < len(TRUTH)
                text = TRUTH[sequence] if known else "garbage"
                if own and not known:
                    continue  # The engine has no such token.
                step = stream_assembly.check_chunk(
                    assembly, chunk(attempt, sequence, text)
                )
                assembly, verdict = step
                if verdict is DELIVER:
                    delivered.append(text)
            if verdict is GAP:
                assembly = stream_assembly.create_assembly(
                    next(attempts), len(delivered)
                )
        assert delivered == TRUTH[: len(delivered)]
