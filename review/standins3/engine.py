"""A stand-in of an engine, as a process of its own.

Gets its options as JSON; prints its address, then one JSON object a line for
each request that it runs.
"""

import hashlib
import json
import os
import signal
import socket
import sys
import threading
import time

OPTIONS = json.loads(sys.argv[1])
NAME = OPTIONS["name"]
PRINT_LOCK = threading.Lock()
# Version of the weights; SIGUSR1 brings the next one.
WEIGHTS = {"version": 1}
# Requests of a grey engine so far.
GREY = {"requests": 0}


def tell(what, **fields):
    with PRINT_LOCK:
        sys.stdout.write(json.dumps({"what": what, **fields}) + "\n")
        sys.stdout.flush()


def read_request(channel, data):
    """Return the head's lines, the headers, the body and what follows."""
    while b"\r\n\r\n" not in data:
        more = channel.recv(65536)
        if not more:
            return None
        data += more
    head, _, data = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    while len(data) < length:
        more = channel.recv(65536)
        if not more:
            return None
        data += more
    return lines[0], headers, data[:length], data[length:]


def serve(channel):
    data = b""
    try:
        while True:
            request = read_request(channel, data)
            if request is None:
                break
            line, headers, _, data = request
            if not answer(channel, line, headers):
                break
    except OSError:
        pass
    channel.close()


def head(status, attempt, *extra):
    lines = [
        f"HTTP/1.1 {status} X",
        f"Verbenafall-Attempt-Id: {attempt}",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def signature(data):
    digest = hashlib.sha256(data).hexdigest()[:8]
    return f"Verbenafall-Engine-Signature: {NAME}.{len(data)}.{digest}"


def answer(channel, line, headers):
    """Answer one request; return whether the channel is kept."""
    path = line.split(" ")[1]
    attempt = headers.get("verbenafall-attempt-id", "")
    expected = headers.get("verbenafall-expect-instance")
    if expected not in (None, NAME):
        channel.sendall(
            head(
                421,
                attempt,
                f"Verbenafall-Instance-Id: {NAME}",
                f"At-Server: {NAME}",
                "Content-Length: 0",
            )
        )
        return True
    wanted = headers.get("verbenafall-expect-version")
    if wanted is not None and wanted != str(WEIGHTS["version"]):
        tell("has other weights", attempt=attempt, wanted=wanted)
        channel.sendall(
            head(
                421,
                attempt,
                f"Verbenafall-Instance-Id: {NAME}",
                f"At-Server: {NAME}",
                "Content-Length: 0",
            )
        )
        return True
    if path == "/health":
        channel.sendall(
            head(200, attempt, f"Verbenafall-Instance-Id: {NAME}")[:-2]
            + b"Content-Length: 0\r\n\r\n"
        )
        return True
    tell("runs", attempt=attempt, path=path)
    return HANDLERS[OPTIONS.get("kind", "plain")](channel, attempt, headers)


def send_plain(channel, attempt, headers):
    """Answer with a body of `size` bytes and a length."""
    del headers
    body = body_of(attempt, OPTIONS.get("size", 800))
    time.sleep(OPTIONS.get("work_s", 0.02))
    channel.sendall(
        head(
            200,
            attempt,
            signature(body),
            f"Verbenafall-Weight-Versions: {WEIGHTS['version']}",
            f"Content-Length: {len(body)}",
        )
        + body
    )
    tell("answered", attempt=attempt, status=200, size=len(body))
    return True


def send_grey(channel, attempt, headers):
    """Fail two in five requests, and one in twenty without a length.

    That one's answer has neither a length nor chunks and ends with its
    channel. All others have a length.
    """
    with PRINT_LOCK:
        GREY["requests"] += 1
        number = GREY["requests"]
    if number % 5 not in (1, 3):
        return send_plain(channel, attempt, headers)
    pieces = OPTIONS["pieces"]
    size = OPTIONS["piece_size"]
    body = body_of(attempt, pieces * size)
    if number % 20 != 1:
        channel.sendall(
            head(500, attempt, signature(body), f"Content-Length: {len(body)}")
            + body
        )
        return True
    tell("fails without a length", attempt=attempt, size=len(body))
    channel.sendall(
        head(500, attempt, signature(body), "Content-Type: text/plain")
    )
    for number in range(pieces):
        time.sleep(OPTIONS["gap_s"])
        channel.sendall(body[number * size : (number + 1) * size])
    tell("answered", attempt=attempt, status=500, size=len(body))
    return False


HANDLERS = {"plain": send_plain, "grey": send_grey}


def body_of(attempt, size):
    """Return the body that belongs to an attempt."""
    line = f"{attempt} {NAME}\n".encode()
    return (line * (size // len(line) + 1))[:size]


def leave(*_args):
    """Exit; the system closes the channels, as for any program."""
    os._exit(0)


def load_weights(*_args):
    """Use the next version of the weights from now on."""
    WEIGHTS["version"] += 1


def main():
    signal.signal(signal.SIGTERM, leave)
    signal.signal(signal.SIGUSR1, load_weights)
    listener = socket.create_server(("127.0.0.1", OPTIONS.get("port", 0)))
    port = listener.getsockname()[1]
    sys.stdout.write(f"127.0.0.1:{port}\n")
    sys.stdout.flush()
    while True:
        channel, _ = listener.accept()
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(channel,), daemon=True).start()


if __name__ == "__main__":
    main()
