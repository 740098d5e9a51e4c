"""Mutations of the forwarding code that its tests must detect.

Guards against tests that pass whatever the code does. The mutations of the
rules on maps, two for each, are in tests/faults/test_mutations_p4_to_p7.py.
"""

import pytest

from forwarding import forwarding_fakes as fakes
from forwarding import test_directory
from forwarding import test_directory_store_restored
from forwarding import test_forwarder
from verbenafall_core.routes import table
from verbenafall_gateway.forwarding import channel_pool
from verbenafall_gateway.forwarding import configuration_state
from verbenafall_gateway.forwarding import departures
from verbenafall_gateway.forwarding import endpoint_directory
from verbenafall_gateway.forwarding import exchange
from verbenafall_gateway.forwarding import retry_decision

Directory = endpoint_directory.EndpointDirectory
State = configuration_state.ConfigurationState


def repeat_whatever_failed(patch):
    patch.setattr(
        retry_decision,
        "should_retry",
        lambda progress, outcome: (
            not isinstance(outcome, retry_decision.Delivered)
            and progress.runs < progress.max_runs
        ),
    )


def reuse_all_connections(patch):
    acquire = channel_pool.ChannelPool.acquire

    async def reuse(pool, endpoint, fresh):
        del fresh
        return await acquire(pool, endpoint, fresh=False)

    patch.setattr(channel_pool.ChannelPool, "acquire", reuse)


def refuse_what_may_have_run(patch):
    decide = retry_decision.final_action

    def refuse(progress, outcome):
        action = decide(progress, outcome)
        gave_up = action is retry_decision.Action.GIVE_UP
        return retry_decision.Action.REFUSE if gave_up else action

    patch.setattr(retry_decision, "final_action", refuse)


def reset_runs_at_the_deadline(patch):
    finish_timed_out = exchange.Exchange.finish_timed_out

    def reset_runs(served, job):
        job.runs = 0
        finish_timed_out(served, job)

    patch.setattr(exchange.Exchange, "finish_timed_out", reset_runs)


def ignore_other_gateways(patch):
    patch.setattr(Directory, "merge_leaving", lambda directory, leaving: None)


def use_leaving_endpoints(patch):
    def rebuild(directory):
        directory.by_service = {
            "s": [item.value for item in directory.listed.values()]
        }

    patch.setattr(Directory, "rebuild", rebuild)


def trust_copied_entries(patch):
    patch.setattr(
        departures,
        "has_returned",
        lambda departure, version, endpoint, copied_until: (
            version > departure.version
        ),
    )


def accept_any_version(patch):
    offer = State.offer

    def offer_to_empty(state, offered, source):
        state.configuration = None
        return offer(state, offered, source)

    patch.setattr(State, "offer", offer_to_empty)


def keep_the_first_routes(patch):
    offer = State.offer

    def offer_without_routes(state, offered, source):
        routes, known = state.routes, state.configuration
        accepted = offer(state, offered, source)
        if known is not None:
            state.routes = routes
        return accepted

    patch.setattr(State, "offer", offer_without_routes)


def check_misbehaving(script, kind, status):
    def check():
        test_forwarder.TestFaults().test_first_endpoint_misbehaves(
            script, kind, status, False
        )

    return check


def check_own_connections():
    subject = test_forwarder.TestForwarding()
    subject.test_each_non_idempotent_request_has_its_own_connection()


def check_deadline():
    test_forwarder.TestTimeouts().test_final_answer_at_the_deadline()


def check_leaving():
    subject = test_directory.TestOthers()
    subject.test_leaving_endpoints_are_reported_and_merged(
        endpoint_directory.create_endpoint_directory()
    )


def check_drained():
    directory = endpoint_directory.create_endpoint_directory()
    listed = [test_directory.item("a", 5), test_directory.item("b", 5)]
    test_directory.apply(directory, 5, listed, complete=True)
    draining = test_directory.item("a", 6, draining=True)
    test_directory.TestStore().test_change(directory, [draining], ["b"])


def check_copied_entry():
    restored = test_directory_store_restored
    restored.TestStoreRestored().test_second_restore()


def check_versions():
    state = configuration_state.create_configuration_state()
    for version, path in ((5, "/n/"), (3, "/o/"), (6, "/m/")):
        route = fakes.route(path_prefix=path)
        state.offer(fakes.configuration(version, route), "store")
        assert state.version() == max(version, 5)
    assert table.find_route(state.routes, fakes.HOST, "/m/x") is not None
    assert table.find_route(state.routes, fakes.HOST, "/n/x") is None


no_answer = check_misbehaving(test_forwarder.no_answer, "non_idempotent", 502)
MUTATIONS = [
    ("TWICE", repeat_whatever_failed, no_answer),
    ("TWICE", reuse_all_connections, check_own_connections),
    ("REFUSED", refuse_what_may_have_run, no_answer),
    ("REFUSED", reset_runs_at_the_deadline, check_deadline),
    ("DRAIN", ignore_other_gateways, check_leaving),
    ("DRAIN", use_leaving_endpoints, check_drained),
    ("DRAIN", trust_copied_entries, check_copied_entry),
    ("CONFIG", accept_any_version, check_versions),
    ("CONFIG", keep_the_first_routes, check_versions),
]


class TestMutations:
    @pytest.mark.parametrize(
        ("mutate", "check"),
        [row[1:] for row in MUTATIONS],
        ids=[f"{row[0]}-{row[1].__name__}" for row in MUTATIONS],
    )
    def test_is_detected(self, monkeypatch, mutate, check):
        check()
        mutate(monkeypatch)
        with pytest.raises(AssertionError):
            check()
