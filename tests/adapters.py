"""Adapters for the contract tests.

They work in memory or over HTTP, or are created by a function that an
environment variable names.
"""

import contextlib
import datetime
import importlib
import json
import os
from typing import NamedTuple

import returns.result

from verbenafall_core import clock as clock_lib
from verbenafall_core import http_client
from verbenafall_core.instance_list import http_adapter as list_adapter
from verbenafall_core.instance_list import port as list_port
from verbenafall_core.object_store import http_adapter as store_adapter
from verbenafall_sidecar.delivery import transfers
from verbenafall_sidecar.endpoint import engine_http
from verbenafall_sidecar.endpoint import service_http
from verbenafall_standins import http_serving
from verbenafall_standins import instance_list
from verbenafall_standins import object_store
from verbenafall_standins import plain_service
from verbenafall_standins.engines import group as group_lib
from verbenafall_standins.engines import http_app
from verbenafall_standins.fakes import memory_store

CALL_TIMEOUT = datetime.timedelta(seconds=10)


class MemoryList:
    def __init__(self):
        self.instances = ()

    def read(self):
        return returns.result.Success(self.instances)


class ListUnderTest(NamedTuple):
    """An adapter, and a function that sets the instances to list."""

    adapter: list_port.InstanceList
    publish: object


def adapter_kinds(variable):
    """Return the kinds of adapters to test.

    The last one is the environment variable, if it is set. It holds
    "module:function"; the function has no parameters and returns an adapter,
    or for an instance list, a ListUnderTest.
    """
    return ["memory", "http", *([variable] if variable in os.environ else [])]


def create_from_environment(variable):
    module, _, function = os.environ[variable].partition(":")
    return getattr(importlib.import_module(module), function)()


@contextlib.contextmanager
def serving(handler, threads=8):
    server = http_serving.create_standin(handler, threads=threads)
    server.start()
    try:
        yield server.url
    finally:
        server.stop()


@contextlib.contextmanager
def open_store(kind):
    """Yield a store adapter, and the store or stand-in that it calls."""
    if kind == "memory":
        store = memory_store.create_memory_store()
        yield store, store
    elif kind == "http":
        standin = object_store.create_object_store()
        with serving(standin.handle) as url:
            client = http_client.create_http_client()
            yield (
                store_adapter.create_http_object_store(
                    client, url, CALL_TIMEOUT
                ),
                standin,
            )
    else:
        yield create_from_environment(kind), None


@contextlib.contextmanager
def open_list(kind):
    """Yield an adapter to an instance list, and how to set the list."""
    if kind == "memory":
        listed = MemoryList()
        yield ListUnderTest(
            listed, lambda found: setattr(listed, "instances", found)
        )
    elif kind == "http":
        standin = instance_list.create_instance_list(datetime.timedelta())
        with serving(standin.handle) as url:
            client = http_client.create_http_client()
            adapter = list_adapter.create_http_instance_list(client, url)
            yield ListUnderTest(
                adapter, lambda found: publish(client, url, found)
            )
    else:
        yield create_from_environment(kind)


class EndpointUnderTest(NamedTuple):
    """An adapter to an endpoint, and the URL of the stand-in, if any."""

    adapter: object
    url: str | None


def endpoint_kinds(variable):
    """Return the kinds of endpoint adapters; see adapter_kinds."""
    return ["http", *([variable] if variable in os.environ else [])]


@contextlib.contextmanager
def transfer_loop():
    loop = transfers.create_transfer_loop(clock_lib.system_clock())
    loop.start()
    try:
        yield loop
    finally:
        loop.stop(CALL_TIMEOUT)


@contextlib.contextmanager
def open_engine(kind):
    """Yield an adapter to an engine; the stand-in needs 2 ms a step."""
    if kind != "http":
        yield EndpointUnderTest(create_from_environment(kind), None)
        return
    group = group_lib.create_group(group_lib.GroupOptions(step_ms=2, experts=8))
    server = http_app.create_engine_server(group, 0)
    group.start()
    server.start()
    try:
        with transfer_loop() as loop:
            client = http_client.create_http_client()
            yield EndpointUnderTest(
                engine_http.create_http_engine(server.url, loop, client),
                server.url,
            )
    finally:
        server.stop()
        group.stop()


@contextlib.contextmanager
def open_plain_service(kind):
    """Yield an adapter to a plain service."""
    if kind != "http":
        yield EndpointUnderTest(create_from_environment(kind), None)
        return
    service = plain_service.create_plain_service()
    with serving(service.handle) as url, transfer_loop() as loop:
        yield EndpointUnderTest(
            service_http.create_http_plain_service(url, loop), url
        )


def publish(client, url, instances):
    entries = [
        entry._asdict() | {"address": str(entry.address)} for entry in instances
    ]
    send(client, "PUT", f"{url}/-/instances", entries)


def send(client, method, url, body=None, headers=()):
    """Send a request to a stand-in; return the status and body."""
    data = b"" if body is None else json.dumps(body).encode()
    request = http_client.HttpRequest(
        method, url, headers, data, CALL_TIMEOUT, True
    )
    response = client.call(request).unwrap()
    return response.status, response.body
