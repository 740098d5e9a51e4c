"""A follower of the platform's store that is restored at any moment."""

import json
import re

import hypothesis
import returns.result

from core import restore_machine
from platform_adapter import standin_store
from verbenafall_core import http_client
from verbenafall_core.object_store import revisions
from verbenafall_platform import store as store_lib

KIND = "words"


class StandinAdapter:
    """The stand-in with the methods that the state machine calls."""

    def __init__(self):
        self.standin = standin_store.StandinStore()

    @property
    def era(self):
        return self.standin.era

    def put(self, name, value):
        self.standin.put(KIND, name, value)

    def remove(self, name):
        self.standin.remove(KIND, name)

    def restore(self, changes):
        self.standin.restore(changes)

    def forget_history(self):
        self.standin.oldest = self.standin.revision

    def content(self):
        objects = self.standin.objects.get(KIND, {}).values()
        return {
            name: (version, value)
            for name, version, value in map(self.to_item, objects)
        }

    def history(self):
        return {self.to_item(stored) for _, _, stored, _ in self.standin.log}

    def to_item(self, stored):
        metadata = stored["metadata"]
        version = revisions.create_revision(self.era, metadata["revision"])
        return metadata["name"], version, stored["spec"]


class TransportClient:
    """Calls the stand-in directly, through the transport of the machine."""

    def __init__(self, standin, transport):
        self.standin = standin
        self.transport = transport

    def call(self, request):
        path = re.sub(
            r"(?<=watch=)\d+",
            lambda found: str(self.transport.earlier(int(found[0]))),
            request.url,
        )
        response = self.transport.carry(
            lambda: self.standin.handle_call(request.method, path, None)
        )
        if response is None:
            return returns.result.Failure(
                http_client.HttpFailure(sent=True, message="no response")
            )
        status, content, era = response
        headers = ((standin_store.ERA_HEADER.lower(), str(era)),)
        body = json.dumps(content).encode()
        return returns.result.Success(
            http_client.HttpResponse(status, headers, body)
        )


class PlatformMachine(restore_machine.RestoreMachine):
    """Reads lists of several pages through the adapter."""

    def create_store(self):
        return StandinAdapter()

    def create_collection(self):
        calls = store_lib.StoreCalls(
            TransportClient(self.store.standin, self.transport), "", self.era
        )
        return store_lib.PlatformCollection(
            calls, KIND, lambda _name, spec: spec
        )

    def teardown(self):
        self.store.standin.close()


TestFollowerStoreRestored = PlatformMachine.TestCase
TestFollowerStoreRestored.settings = hypothesis.settings(
    max_examples=50, stateful_step_count=30
)
