"""The command "steer": runs a sidecar that steers its rank group."""

import pathlib
import sys
from typing import Final

import returns.pipeline

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import http_client
from verbenafall_core import link
from verbenafall_core import prometheus_metrics
from verbenafall_core import settings as settings_lib
from verbenafall_core import stop_requests
from verbenafall_sidecar.steering import ports as ports_lib
from verbenafall_sidecar.steering import steering as steering_lib
from verbenafall_sidecar.steering import steering_settings

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1


def serve(path: pathlib.Path, check_only: bool) -> int:
    """Run a sidecar; return the exit code of the process."""
    result = steering_settings.read_steering_settings(path)
    if not returns.pipeline.is_successful(result):
        return report([str(fault) for fault in result.failure()])
    settings = result.unwrap()
    try:
        adapter = ports_lib.load_adapter(settings.adapter)
    except ImportError as error:
        return report([f"{path}: [platform] adapter: {error}"])
    if check_only:
        return EXIT_OK
    event_log.configure_json(settings.log_level, settings.name)
    metrics = prometheus_metrics.create_prometheus_metrics()
    ports = adapter.create_sidecar_ports(
        http_client.create_http_client(), settings.object_store
    )
    steering = steering_lib.create_steering(
        settings, ports, clock_lib.system_clock(), metrics
    )
    requests = stop_requests.create_stop_requests()
    requests.install()
    try:
        if settings.metrics_listen is not None:
            metrics.serve(settings.metrics_listen)
        steering.start()
    except (link.LinkError, OSError) as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_FAILED
    requests.wait()
    steering.stop(settings.stop_limit)
    return EXIT_OK


def report(faults: list[str]) -> int:
    """Write all faults to standard error; return the exit code for them."""
    sys.stderr.writelines(f"{fault}\n" for fault in faults)
    return settings_lib.EXIT_BAD_SETTINGS
