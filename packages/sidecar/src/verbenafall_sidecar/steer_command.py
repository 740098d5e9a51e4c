"""The command "steer": runs a steering sidecar."""

import pathlib
import queue
import signal
import sys
import threading
from typing import Final

import returns.pipeline

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import http_client
from verbenafall_core import link_sockets
from verbenafall_core import prometheus_metrics
from verbenafall_core import reload_signals
from verbenafall_core import settings as settings_lib
from verbenafall_core import stop_requests
from verbenafall_core.object_store import era_metrics
from verbenafall_sidecar.steering import event_catalogue
from verbenafall_sidecar.steering import ports as ports_lib
from verbenafall_sidecar.steering import steering as steering_lib
from verbenafall_sidecar.steering import steering_settings

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1


def serve(path: pathlib.Path, check_only: bool) -> int:
    """Run a steering sidecar until it is asked to stop.

    Args:
        path: Settings file.
        check_only: Return after the settings and the adapter are checked.

    Returns:
        The exit code of the process.
    """
    result = steering_settings.read_steering_settings(path)
    if not returns.pipeline.is_successful(result):
        return print_faults([str(fault) for fault in result.failure()])
    settings = result.unwrap()
    try:
        adapter = ports_lib.load_adapter(settings.adapter)
    except ImportError as error:
        return print_faults([f"{path}: [platform] adapter: {error}"])
    if check_only:
        return EXIT_OK
    event_log.configure_json(settings.log_level, settings.name)
    metrics = prometheus_metrics.create_prometheus_metrics()
    ports = adapter.create_sidecar_ports(
        http_client.create_http_client(), settings.object_store
    )
    era_metrics.export_era(ports.era, metrics)
    steering = steering_lib.create_steering(
        settings, ports, clock_lib.system_clock(), metrics
    )
    sighups: queue.SimpleQueue[int] = queue.SimpleQueue()
    requests = stop_requests.create_stop_requests()
    requests.install()
    signal.signal(
        signal.SIGHUP, lambda _number, _frame: sighups.put(signal.SIGHUP)
    )
    reload_signals.accept_reloads()
    threading.Thread(
        target=log_settings_faults, args=(sighups, path), daemon=True
    ).start()
    try:
        if settings.metrics_listen is not None:
            metrics.serve(settings.metrics_listen)
        steering.start()
    except (link_sockets.LinkError, OSError) as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_FAILED
    requests.wait()
    steering.stop(settings.stop_limit)
    return EXIT_OK


def log_settings_faults(
    sighups: queue.SimpleQueue[int], path: pathlib.Path
) -> None:
    """Check the settings file after each SIGHUP and log its faults.

    All settings need a restart. The signal handler cannot write the log line
    itself, as the main thread may hold a lock of the logger at that moment.
    """
    while sighups.get():
        result = steering_settings.read_steering_settings(path)
        faults = (
            ""
            if returns.pipeline.is_successful(result)
            else "; ".join(str(fault) for fault in result.failure())
        )
        event_log.emit(event_catalogue.SETTINGS_CHANGED, faults=faults)


def print_faults(faults: list[str]) -> int:
    """Write all faults to standard error; return EXIT_BAD_SETTINGS."""
    sys.stderr.writelines(f"{fault}\n" for fault in faults)
    return settings_lib.EXIT_BAD_SETTINGS
