"""Tests of the plain service's faults and of the stand-ins' commands."""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys

import pytest

import adapters
from verbenafall_core import http_client
from verbenafall_standins import __main__ as command_line
from verbenafall_standins import plain_service

MODES = [
    # mode, whether the client gets a response, number of runs
    ("up", True, 1),
    ("slow", True, 1),
    ("break_before", False, 0),
    ("break_after", False, 1),
]


class TestPlainService:
    """Guards against wrong run counts, which would hide repeated requests."""

    @pytest.mark.parametrize(("mode", "answered", "runs"), MODES)
    def test_fault(self, mode, answered, runs):
        service = plain_service.create_plain_service()
        with adapters.serving(service.handle) as url:
            client = http_client.create_http_client()
            adapters.send(client, "POST", f"{url}/-/faults", {"mode": mode})
            request = http_client.HttpRequest(
                "POST",
                f"{url}/deposits",
                (("X-Request-Id", "r"), ("Idempotency-Key", "k")),
                b"{}",
                adapters.CALL_TIMEOUT,
                True,
            )
            result = client.call(request)
            _, found = adapters.send(client, "GET", f"{url}/-/runs")
        assert (result.value_or(None) is not None) is answered
        expected = {
            "request_id": "r",
            "key": "k",
            "method": "POST",
            "path": "/deposits",
        }
        assert json.loads(found) == [expected] * runs


COMMANDS = {
    "platform": (
        ["--object-store", "--instance-list", "--weight-store"],
        {"object_store", "instance_list", "weight_store"},
    ),
    "engines": (["", ""], {"engine-0", "engine-1"}),
    "records": (["", ""], {"records-0", "records-1"}),
}


# Requests that stay open until the stand-in stops. cheroot waits for open
# requests without a time limit, so the stand-in has to end them itself.
STALL = ("POST", "/-/faults", {"mode": "stall", "rank": 0})
CHAT = {"messages": [{"role": "user", "content": "x"}], "stream": True}
WAITING = {
    "platform": (
        "object_store",
        [("GET", "/objects/a?watch_after=0&wait_ms=60000", None)],
    ),
    "engines": ("engine-0", [STALL, ("POST", "/v1/chat/completions", CHAT)]),
}


def send_without_reading(address, calls):
    """Send calls on one connection; do not read the last response."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    for number, (method, path, body) in enumerate(calls, 1):
        connection.request(method, path, body and json.dumps(body))
        if number < len(calls):
            connection.getresponse().read()
    return connection


class TestCommandLine:
    @pytest.mark.system
    @pytest.mark.parametrize("waiting", [False, True])
    @pytest.mark.parametrize("command", COMMANDS)
    def test_stops_cleanly_on_sigterm(self, command, waiting):
        options, names = COMMANDS[command]
        arguments = [
            part for option in options for part in (option, "127.0.0.1:0")
        ]
        path = os.pathsep.join(entry for entry in sys.path if entry)
        stack = contextlib.ExitStack()
        process = subprocess.Popen(
            [sys.executable, "-m", "verbenafall_standins", command]
            + [part for part in arguments if part],
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": path},
        )
        try:
            bound = json.loads(process.stdout.readline())
            if waiting and command in WAITING:
                name, calls = WAITING[command]
                connection = send_without_reading(bound[name], calls)
                stack.callback(connection.close)
            process.send_signal(signal.SIGTERM)
            assert process.wait(30) == 0
        finally:
            stack.close()
            process.kill()
            process.communicate()
        assert set(bound) == names

    @pytest.mark.parametrize(
        "arguments", [[], ["records"], ["records", "localhost:1"]]
    )
    def test_bad_arguments(self, arguments):
        with pytest.raises(SystemExit) as error:
            command_line.parse_arguments(arguments)
        assert error.value.code == 2
