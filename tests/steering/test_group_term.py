"""Tests that at most one of several claims acquires a term."""

import pytest
import returns.pipeline
import returns.result

from verbenafall_core.object_store import port
from verbenafall_sidecar.steering import group_term
from verbenafall_standins.fakes import memory_store


class Failing:
    """A store whose writes fail with one kind, applied or not."""

    def __init__(self, store, kind, applied):
        self.store = store
        self.kind = kind
        self.applied = applied

    def read(self, name):
        return self.store.read(name)

    def create(self, name, value):
        return self.fail(lambda: self.store.create(name, value))

    def update(self, name, value, expected_version):
        return self.fail(
            lambda: self.store.update(name, value, expected_version)
        )

    def fail(self, write):
        if self.applied:
            write()
        return returns.result.Failure(port.StoreFailure(self.kind, "scripted"))


@pytest.fixture
def store():
    return memory_store.create_memory_store()


ENDS = [
    (port.FailureKind.CONFLICT, False, group_term.ClaimFailure.LOST),
    (port.FailureKind.UNCERTAIN, True, group_term.ClaimFailure.LOST),
    (port.FailureKind.UNCERTAIN, False, group_term.ClaimFailure.LOST),
    (port.FailureKind.UNAVAILABLE, False, group_term.ClaimFailure.UNAVAILABLE),
    (port.FailureKind.THROTTLED, False, group_term.ClaimFailure.UNAVAILABLE),
]


class TestAcquireTerm:
    def test_terms_increase(self, store):
        terms = [
            group_term.acquire_term(store, "g", f"h{number}")
            for number in range(4)
        ]
        assert terms == sorted(set(terms))

    @pytest.mark.parametrize(("kind", "applied", "end"), ENDS)
    def test_failed_write_acquires_no_term(self, store, kind, applied, end):
        failing = Failing(store, kind, applied)
        assert group_term.acquire_term(failing, "g", "h") is end
        later = group_term.acquire_term(store, "g", "other")
        assert returns.pipeline.is_successful(store.read("group-terms/g"))
        assert later > 0
