"""Contract tests of the instance list port, and tests of its service."""

import datetime
import json

import pytest
import returns.pipeline
import returns.result

import adapters
from verbenafall_core import addresses
from verbenafall_core import http_client
from verbenafall_core.instance_list import http_adapter
from verbenafall_core.instance_list import port
from verbenafall_core.instance_list import service as service_lib
from verbenafall_standins import instance_list

ADAPTER_VARIABLE = "VERBENAFALL_CONTRACT_INSTANCE_LIST"
GATEWAY = port.Instance(
    "gw-1",
    "gateway",
    "kgn-mona",
    "",
    addresses.Address("127.0.0.1", 8000),
    port.InstanceState.LIVE,
)
SIDECAR = port.Instance(
    "sc-1",
    "sidecar",
    "kgn-halfway",
    "drafter",
    addresses.Address("::1", 8001),
    port.InstanceState.LEAVING,
)
ENTRY = GATEWAY._asdict() | {"address": "127.0.0.1:8000"}
LIVE_SIDECAR = SIDECAR._replace(state=port.InstanceState.LIVE)


@pytest.fixture(scope="module", params=adapters.adapter_kinds(ADAPTER_VARIABLE))
def listed(request):
    with adapters.open_list(request.param) as under_test:
        yield under_test


class TestInstanceListContract:
    @pytest.mark.parametrize(
        "instances", [(), (GATEWAY,), (GATEWAY, SIDECAR)], ids=len
    )
    def test_published_list_is_read(self, listed, instances):
        listed.publish(instances)
        assert sorted(listed.adapter.read().unwrap()) == sorted(instances)

    def test_change_of_state_is_read(self, listed):
        listed.publish((LIVE_SIDECAR,))
        listed.adapter.read()
        listed.publish((SIDECAR,))
        assert listed.adapter.read().unwrap() == (SIDECAR,)


class TestOutage:
    def test_outage_and_lag(self):
        standin = instance_list.create_instance_list(
            datetime.timedelta(hours=1)
        )
        with adapters.serving(standin.handle) as url:
            client = http_client.create_http_client()
            adapter = http_adapter.create_http_instance_list(client, url)
            adapters.publish(client, url, (GATEWAY,))
            assert adapter.read().unwrap() == ()
            standin.down = True
            assert not returns.pipeline.is_successful(adapter.read())
        assert not returns.pipeline.is_successful(adapter.read())


class TestParseList:
    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{}",
            json.dumps([ENTRY, ENTRY | {"state": "gone"}]).encode(),
            json.dumps([ENTRY, ENTRY | {"address": "localhost:1"}]).encode(),
            json.dumps([ENTRY, {"name": "x"}]).encode(),
        ],
    )
    def test_list_with_a_malformed_entry_is_rejected(self, body):
        """A list without the entry would make its instance look removed."""
        result = http_adapter.parse_list(body)
        assert not returns.pipeline.is_successful(result)


def to_body(*names):
    return json.dumps([ENTRY | {"name": name} for name in names]).encode()


# Response bodies, and the names that each read returns; None is a failure.
BODIES = {
    "same body": ([to_body("a"), to_body("a")], [["a"], ["a"]]),
    "changed body": ([to_body("a"), to_body("a", "b")], [["a"], ["a", "b"]]),
    "changed back": (
        [to_body("a"), to_body("b"), to_body("a")],
        [["a"], ["b"], ["a"]],
    ),
    "malformed twice, then good": (
        [to_body("a"), b"[", b"[", to_body("a")],
        [["a"], None, None, ["a"]],
    ),
}


class ScriptedClient:
    def __init__(self, bodies):
        self.bodies = list(bodies)

    def call(self, request):
        return returns.result.Success(
            http_client.HttpResponse(200, (), self.bodies.pop(0))
        )


class TestRepeatedReads:
    @pytest.mark.parametrize("label", BODIES)
    def test_reads(self, label):
        """The cached last response must not hide a change or a failure."""
        bodies, expected = BODIES[label]
        adapter = http_adapter.create_http_instance_list(
            ScriptedClient(bodies), "http://127.0.0.1:1"
        )
        for names in expected:
            result = adapter.read()
            if names is None:
                assert not returns.pipeline.is_successful(result)
            else:
                assert [one.name for one in result.unwrap()] == names


def response(status, body=b"", etag=""):
    headers = (("etag", etag),) if etag else ()
    return http_client.HttpResponse(status, headers, body)


# Responses, the ETag that each read sends, and the names that it returns.
CONDITIONAL_READS = {
    "unchanged": (
        [
            response(200, to_body("a"), '"1"'),
            response(304),
            response(304),
        ],
        ["", '"1"', '"1"'],
        [["a"], ["a"], ["a"]],
    ),
    "changed after unchanged": (
        [
            response(200, to_body("a"), '"1"'),
            response(304),
            response(200, to_body("b"), '"2"'),
            response(304),
        ],
        ["", '"1"', '"1"', '"2"'],
        [["a"], ["a"], ["b"], ["b"]],
    ),
    "malformed list with a tag": (
        [
            response(200, to_body("a"), '"1"'),
            response(200, b"[", '"2"'),
            response(200, to_body("a"), '"2"'),
        ],
        ["", '"1"', ""],
        [["a"], None, ["a"]],
    ),
    "tag is no longer sent": (
        [
            response(200, to_body("a"), '"1"'),
            response(200, to_body("a")),
        ]
        * 2,
        ["", '"1"', "", '"1"'],
        [["a"]] * 4,
    ),
    "not modified without a condition": ([response(304)], [""], [None]),
    "outage between": (
        [
            response(200, to_body("a"), '"1"'),
            response(503),
            response(304),
        ],
        ["", '"1"', '"1"'],
        [["a"], None, ["a"]],
    ),
}


class ConditionalClient:
    def __init__(self, responses):
        self.responses = list(responses)
        self.tags = []

    def call(self, request):
        self.tags.append(dict(request.headers).get("If-None-Match", ""))
        return returns.result.Success(self.responses.pop(0))


class TestConditionalReads:
    @pytest.mark.parametrize("label", CONDITIONAL_READS)
    def test_reads(self, label):
        """Guards against a stale list and full reads of an unchanged one."""
        responses, tags, expected = CONDITIONAL_READS[label]
        client = ConditionalClient(responses)
        adapter = http_adapter.create_http_instance_list(client, "http://x")
        for names in expected:
            result = adapter.read()
            if names is None:
                assert not returns.pipeline.is_successful(result)
            else:
                assert [one.name for one in result.unwrap()] == names
        assert client.tags == tags

    def test_unchanged_list_is_read_without_a_body(self):
        """Otherwise each process reads 115 kB a second in the largest fleet."""
        standin = instance_list.create_instance_list(datetime.timedelta())
        with adapters.serving(standin.handle) as url:
            client = http_client.create_http_client()
            adapters.publish(client, url, (GATEWAY,))
            adapter = http_adapter.create_http_instance_list(client, url)
            sizes = []
            call = client.call
            client.call = lambda request: record_size(call(request), sizes)
            assert [adapter.read().unwrap() for _ in range(3)] == [
                (GATEWAY,)
            ] * 3
        assert sizes[0] > 0
        assert sizes[1:] == [0, 0]


def record_size(result, sizes):
    sizes.append(len(result.unwrap().body))
    return result


FAILED = returns.result.Failure(port.ListFailure("down"))
# Results of the reads, and the lists that a subscriber is notified of.
POLLS = {
    "unchanged list is notified once": ([(GATEWAY,), (GATEWAY,)], [(GATEWAY,)]),
    "order does not matter": (
        [(GATEWAY, SIDECAR), (SIDECAR, GATEWAY)],
        [(GATEWAY, SIDECAR)],
    ),
    "failure keeps the last list": (
        [(GATEWAY,), FAILED, (GATEWAY,)],
        [(GATEWAY,)],
    ),
    "failure before the first list is not notified": ([FAILED], []),
    "state change": (
        [(LIVE_SIDECAR,), (SIDECAR,)],
        [(LIVE_SIDECAR,), (SIDECAR,)],
    ),
    "empty first list": ([()], [()]),
}


class ScriptedList:
    def __init__(self, reads):
        self.reads = [
            read if read is FAILED else returns.result.Success(read)
            for read in reads
        ]

    def read(self):
        return self.reads.pop(0)


class TestInstanceListService:
    @pytest.mark.parametrize("label", POLLS)
    def test_polls(self, label):
        reads, expected = POLLS[label]
        service = service_lib.create_instance_list_service(ScriptedList(reads))
        notifications = []
        service.subscribe(notifications.append)
        for _ in reads:
            service.poll()
        assert notifications == expected
        assert service.instances == (expected[-1] if expected else ())

    def test_late_subscriber_gets_the_list_despite_a_failing_one(self):
        service = service_lib.create_instance_list_service(
            ScriptedList([(GATEWAY,)])
        )
        service.subscribe(lambda instances: 1 / 0)
        service.poll()
        notifications = []
        service.subscribe(notifications.append)
        assert notifications == [(GATEWAY,)]
