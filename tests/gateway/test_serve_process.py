"""The gateway as a process: invalid settings, serving, planned stop."""

import contextlib
import hashlib
import os
import re
import signal
import subprocess
import sys
import threading

from cryptography.hazmat.primitives import serialization
import openai
import pytest

import bundle_helpers
from gateway import gateway_fakes as fakes
from verbenafall_core import clock as clock_lib
from verbenafall_core import link_loop
from verbenafall_core import messages
from verbenafall_standins import http_serving
from verbenafall_standins import instance_list
from verbenafall_standins import object_store

SETTINGS = """
[instance]
name = gateway-1
data_centre = dc-1
[listen]
client = 127.0.0.1:0
admin = 127.0.0.1:0
[platform]
object_store = {store}
instance_list = {instances}
[bundles]
public_keys = {key}
[limits]
{limits}
"""
ANSWER = ["one ", "two ", "three"]


def start(directory, store, instances, *flags, limits=""):
    key = directory / "key.pem"
    key.write_bytes(
        bundle_helpers.PUBLIC_KEYS[0].public_bytes(
            serialization.Encoding.PEM,
            serialization.PublicFormat.SubjectPublicKeyInfo,
        )
    )
    path = directory / "gateway.ini"
    path.write_text(
        SETTINGS.format(
            store=store, instances=instances, key=key, limits=limits
        )
    )
    command = (sys.executable, "-m", "verbenafall_gateway", "serve")
    return subprocess.Popen(
        [*command, "--settings", str(path), *flags],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )


def read_until(process, *patterns):
    """Read log lines until all patterns are found.

    Returns:
        The first group of the first pattern.
    """
    found, lines = {}, []
    for line in process.stderr:
        lines.append(line)
        for pattern in patterns:
            if match := re.search(pattern, line):
                found[pattern] = match
        if len(found) == len(patterns):
            return found[patterns[0]][1]
    raise AssertionError("".join(lines))


@contextlib.contextmanager
def platform(sidecar):
    """Serve a store with an accepted bundle and a list with a sidecar."""
    store = object_store.create_object_store()
    digest = hashlib.sha256(fakes.CREDENTIAL.encode()).hexdigest()
    team = bundle_helpers.DOCUMENT["teams"][0]
    text = bundle_helpers.text_of(
        teams=[{**team, "credential_digests": [digest]}]
    )
    bundle_helpers.put_bundle(store.store, bundle_helpers.signed(text=text))
    bundle_helpers.put_head(store.store, 1)
    instances = instance_list.create_instance_list()
    hello = messages.Hello(1, "engine-1", "sidecar", "dc-1", "chat")
    loop = link_loop.create_link_loop(
        hello,
        lambda: messages.Heartbeat(1, 0, True, False),
        sidecar,
        clock_lib.system_clock(),
    )
    address = str(loop.listen(fakes.ANY_PORT))
    entry = {"address": address, "name": hello.instance, "state": "live"}
    entry |= {"role": "sidecar", "data_centre": "dc-1", "service": "chat"}
    instances.replace([entry])
    servers = [
        http_serving.create_standin(standin.handle, threads=8)
        for standin in (store, instances)
    ]
    for server in (loop, *servers):
        server.start()
    try:
        yield servers[0].url, servers[1].url
    finally:
        for server in (loop, *servers):
            server.stop(http_serving.STOP_LIMIT)


def read_stream_during_stop(address, process, release):
    """Read a stream; send SIGTERM twice after its first token."""
    with openai.OpenAI(
        base_url=f"http://{address}/v1",
        api_key=fakes.CREDENTIAL,
        max_retries=0,
    ) as client:
        stream = client.chat.completions.create(
            model="chat-1",
            messages=[{"role": "user", "content": "count"}],
            stream=True,
        )
        parts = []
        for chunk in stream:
            parts.append(chunk.choices[0].delta.content or "")
            if parts[-1] == ANSWER[0]:
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGTERM)
                read_until(process, "(gateway_draining)")
                release.set()
        assert chunk.choices[0].finish_reason == "stop"
    return "".join(parts)


@pytest.mark.system
class TestServe:
    def test_prints_all_faults_and_exits_with_2(self, tmp_path):
        """Guards against a start with settings that are valid only in part."""
        with start(tmp_path, "store", "list", "--check") as process:
            _, lines = process.communicate(timeout=60)
        assert process.returncode == 2
        assert "object_store" in lines
        assert "instance_list" in lines

    def test_planned_stop_completes_an_open_stream(self, tmp_path):
        """Guards against answers truncated by a planned stop."""
        release = threading.Event()

        def answer_when_released(message):
            accepted, first, *rest = fakes.answer(message, ANSWER)
            yield accepted
            yield first
            release.wait(60)
            yield from rest

        class Sidecar(fakes.SidecarHandler):
            def on_message(self, link, message):
                if isinstance(message, messages.Dispatch):
                    threading.Thread(
                        target=super().on_message, args=(link, message)
                    ).start()

        with (
            platform(Sidecar(answer_when_released)) as urls,
            start(tmp_path, *urls) as process,
        ):
            try:
                address = read_until(
                    process,
                    r"gateway_started client=(\S+)",
                    "bundle_in_force",
                    "link_opened",
                )
                text = read_stream_during_stop(address, process, release)
                last_line = process.stderr.readlines()[-1]
                assert process.wait(60) == 0
            finally:
                process.kill()
        assert text == "".join(ANSWER)
        assert "gateway_stopped open=0" in last_line

    def test_open_requests_are_answered_at_the_stop_limit(self, tmp_path):
        """Guards against connections closed without a final answer."""

        def answer_in_part(message):
            return fakes.answer(message, ANSWER)[:2]

        with (
            platform(fakes.SidecarHandler(answer_in_part)) as urls,
            start(tmp_path, *urls, limits="stop_limit = 3 s") as process,
        ):
            try:
                address = read_until(
                    process,
                    r"gateway_started client=(\S+)",
                    "bundle_in_force",
                    "link_opened",
                )
                with pytest.raises(openai.APIError) as error:
                    read_stream_during_stop(address, process, threading.Event())
                last_line = process.stderr.readlines()[-1]
                assert process.wait(60) == 0
            finally:
                process.kill()
        assert error.value.code == "draining"
        assert error.value.body["outcome"] == "ran"
        assert "gateway_stopped open=1" in last_line
