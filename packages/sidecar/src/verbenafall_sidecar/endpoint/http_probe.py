"""Connection check for HTTP servers."""

import datetime
from typing import Final

import pycurl

from verbenafall_core import http_client
from verbenafall_sidecar.endpoint import endpoint_port

PROBE_TIMEOUT: Final = datetime.timedelta(seconds=1)


def check_connection(url: str) -> endpoint_port.CallFailure | None:
    """Open a connection, send nothing, close it; return any failure."""
    handle = pycurl.Curl()
    request = http_client.HttpRequest("GET", url, (), b"", PROBE_TIMEOUT, True)
    http_client.apply_request(handle, request)
    handle.setopt(pycurl.CONNECT_ONLY, 1)
    try:
        handle.perform()
    except pycurl.error as error:
        failure = http_client.to_http_failure(handle, error)
        return endpoint_port.CallFailure(False, failure.message)
    finally:
        handle.close()
    return None
