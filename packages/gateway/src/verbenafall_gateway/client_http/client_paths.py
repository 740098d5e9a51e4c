"""URL paths and methods of the client address."""

import functools
from typing import Final

from werkzeug import routing as werkzeug_routing
from werkzeug import wrappers

CHAT_PATH: Final = "/v1/chat/completions"


@functools.cache
def url_map() -> werkzeug_routing.Map:
    """Return the URL map of the client application, built once.

    Slashes are not merged, since the paths of services are forwarded unchanged.
    """
    rule = werkzeug_routing.Rule
    return werkzeug_routing.Map(
        [
            rule(CHAT_PATH, endpoint="chat", methods=["POST"]),
            rule("/v1/models", endpoint="models", methods=["GET"]),
            rule(
                "/v1/outcomes/<path:key>", endpoint="outcome", methods=["GET"]
            ),
            rule("/-/ready", endpoint="ready", methods=["GET"]),
            rule("/services/<service>/", endpoint="records"),
            rule("/services/<service>/<path:rest>", endpoint="records"),
        ],
        strict_slashes=False,
        merge_slashes=False,
    )


def forwarded_path(request: wrappers.Request) -> str:
    """Return path and query below the service's name, not decoded."""
    raw: str = request.environ["REQUEST_URI"]
    path, separator, query = raw.partition("?")
    segments = path.split("/", 3)  # "", "services", the service, the rest
    rest = segments[3] if len(segments) > 3 else ""
    return f"/{rest}{separator}{query}"
