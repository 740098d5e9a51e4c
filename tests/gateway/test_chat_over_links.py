"""Chat over HTTP and a real link, with an unmodified openai client."""

from concurrent import futures
import http.client
import json
import threading

import openai
import pytest

from gateway import gateway_fakes as fakes
from verbenafall_core import messages

TOKENS = ["Two ", "mixers ", "for ", "niño", " hire", "."]
MESSAGES = [{"role": "user", "content": "How much are two mixers?"}]


def serve_answer(message):
    return fakes.answer(message, TOKENS)


def create_client(address, credential=fakes.CREDENTIAL):
    return openai.OpenAI(
        base_url=f"http://{address}/v1", api_key=credential, max_retries=0
    )


def read_stream(client):
    stream = client.chat.completions.create(
        model="quote-model", messages=MESSAGES, stream=True
    )
    chunks = [chunk.choices[0] for chunk in stream]
    text = "".join(choice.delta.content or "" for choice in chunks)
    return text, chunks[-1].finish_reason


class TestChatOverLinks:
    def test_unmodified_client_gets_both_kinds_of_answers(self):
        """Guards against answers that existing client libraries reject."""
        gateway = fakes.create_gateway()
        with fakes.linked_sidecar(gateway, serve_answer) as address:
            with create_client(address) as client:
                plain = client.chat.completions.create(
                    model="quote-model", messages=MESSAGES
                )
                models = client.models.list()
                streamed = read_stream(client)
            assert plain.choices[0].message.content == "".join(TOKENS)
            assert plain.choices[0].finish_reason == "stop"
            assert streamed == ("".join(TOKENS), "stop")
            assert [item.id for item in models] == ["quote-model"]

    def test_unmodified_client_raises_its_errors(self):
        """Guards against error bodies that existing clients cannot parse."""
        gateway = fakes.create_gateway()
        with fakes.linked_sidecar(gateway, serve_answer) as address:
            with (
                create_client(address, "wrong") as client,
                pytest.raises(openai.AuthenticationError) as unknown,
            ):
                client.models.list()
            with (
                create_client(address) as client,
                pytest.raises(openai.NotFoundError) as missing,
            ):
                client.chat.completions.create(model="no", messages=MESSAGES)
        assert unknown.value.code == "unknown_credential"
        assert missing.value.code == "unknown_model"
        assert missing.value.body["outcome"] == "not_run"

    def test_stream_error_event_reaches_the_client(self):
        """Guards against an interrupted stream that looks complete."""
        gateway = fakes.create_gateway()

        def fail_after_first_chunk(message):
            failed = fakes.failed(message, fakes.outcomes.Outcome.RAN)
            return [fakes.chunk(message, 0, "Two "), failed]

        with (
            fakes.linked_sidecar(gateway, fail_after_first_chunk) as address,
            create_client(address) as client,
            pytest.raises(openai.APIError) as error,
        ):
            read_stream(client)
        assert error.value.body["outcome"] == "ran"

    def test_serves_a_burst_of_150_streams(self):
        """Guards against a thread pool that serves a burst only in part.

        The sidecar answers only when all streams are open at the same time.
        """
        gateway = fakes.create_gateway()
        dispatches = []

        def answer_when_all_are_open(message):
            dispatches.append(message)
            if len(dispatches) < 150:
                return []
            return [part for item in dispatches for part in serve_answer(item)]

        with (
            fakes.linked_sidecar(
                gateway, answer_when_all_are_open, threads=160
            ) as address,
            create_client(address) as client,
            futures.ThreadPoolExecutor(150) as pool,
        ):
            results = list(pool.map(read_stream, [client] * 150))
        assert results == [("".join(TOKENS), "stop")] * 150

    def test_closed_connection_cancels_a_streaming_attempt(self):
        """Guards against engines that generate for a disconnected client.

        The gateway notices the closed connection when it writes further tokens,
        which the sidecar sends once a second request has arrived.
        """
        gateway = fakes.create_gateway()
        dispatches, cancelled = [], threading.Event()

        def continue_first_after_second_dispatch(message):
            if isinstance(message, messages.Cancel):
                assert message.attempt_id == dispatches[0].attempt_id
                cancelled.set()
                return []
            dispatches.append(message)
            first = dispatches[0]
            if len(dispatches) == 1:
                return [fakes.chunk(first, 0, "Two ")]
            more = [fakes.chunk(first, n, "x" * 999) for n in range(1, 2000)]
            return more + serve_answer(message)

        with (
            fakes.linked_sidecar(
                gateway, continue_first_after_second_dispatch
            ) as address,
            create_client(address) as client,
        ):
            with client.chat.completions.create(
                model="quote-model", messages=MESSAGES, stream=True
            ) as stream:
                next(iter(stream))
            assert read_stream(client) == ("".join(TOKENS), "stop")
            assert cancelled.wait(30)
        assert gateway.app.limits.total == 0

    def test_closed_connection_cancels_a_non_streaming_attempt(self):
        """Guards against engines that generate for a disconnected client.

        Nothing is written before the answer is complete, so the gateway has to
        check the connection.
        """
        gateway = fakes.create_gateway()
        dispatches, cancelled = [], threading.Event()
        dispatched = threading.Event()

        def continue_first_after_second_dispatch(message):
            if isinstance(message, messages.Cancel):
                assert message.attempt_id == dispatches[0].attempt_id
                cancelled.set()
                return []
            dispatches.append(message)
            dispatched.set()
            if len(dispatches) == 1:
                return []
            more = [fakes.chunk(dispatches[0], n, "Two ") for n in range(9)]
            return more + serve_answer(message)

        with fakes.linked_sidecar(
            gateway, continue_first_after_second_dispatch
        ) as address:
            connection = http.client.HTTPConnection(*address)
            body = json.dumps({"model": "quote-model", "messages": MESSAGES})
            headers = {
                "Authorization": f"Bearer {fakes.CREDENTIAL}",
                "Content-Type": "application/json",
                # Longer than the test waits, as the attempt is also cancelled
                # at the deadline.
                "X-Deadline-Ms": "120000",
            }
            connection.request("POST", "/v1/chat/completions", body, headers)
            assert dispatched.wait(30)
            connection.close()
            with create_client(address) as client:
                assert read_stream(client) == ("".join(TOKENS), "stop")
            assert cancelled.wait(30)
        assert gateway.app.limits.total == 0
