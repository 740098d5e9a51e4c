"""Starts a small deployment, sends requests to it and checks the answers."""

import argparse
import collections
from collections.abc import Sequence
import concurrent.futures
import itertools
import pathlib
import signal
import sys
from typing import Final

from verbenafall_core import stop_requests
from verbenafall_standins.demo import client
from verbenafall_standins.demo import fleet as fleet_lib
from verbenafall_standins.demo import plan as plan_lib
from verbenafall_standins.demo import processes
from verbenafall_standins.demo import table
from verbenafall_standins.demo import workload

REQUESTS: Final = 240
CLIENT_THREADS: Final = 24
STOP_SECONDS: Final = 30.0

EXAMPLES: Final = """\
examples:
  python -m verbenafall_standins.demo --directory run
  python -m verbenafall_standins.demo --directory run --keep
"""


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog="verbenafall_standins.demo",
        description=__doc__,
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--directory", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=REQUESTS)
    parser.add_argument(
        "--keep", action="store_true", help="keep serving until interrupted"
    )
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the demonstration; return 0 only if all properties held."""
    options = parse_arguments(arguments)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    fleet = fleet_lib.create_fleet(options.directory)
    try:
        return run(fleet, options)
    except processes.ProcessError as error:
        print(f"failed: {error}", file=sys.stderr)
        return 1
    finally:
        stop_all(fleet)


def run(fleet: fleet_lib.Fleet, options: argparse.Namespace) -> int:
    """Start all processes, send the requests and print the results."""
    print("starting stand-ins, sidecars and gateways", file=sys.stderr)
    fleet_lib.start_standins(fleet)
    keys = fleet_lib.start_sidecars_and_gateways(fleet)
    print("rolling the signed bundle", file=sys.stderr)
    fleet_lib.roll_bundle(fleet, keys)
    if options.keep:
        keep_serving(fleet)
        return 0
    print(f"sending {options.requests} requests", file=sys.stderr)
    requests = workload.create_requests(
        list(plan_lib.CALLERS.values()), options.requests, options.seed
    )
    reports = send_all(fleet, requests)
    status = fleet_lib.read_status(fleet)
    runs = fleet_lib.read_runs(fleet)
    mixed = fleet_lib.count_mixed_steps(fleet)
    stopped = stop_all(fleet)
    summary = table.summarise(
        reports,
        run_twice=count_run_twice(runs),
        false_not_run=count_false_not_run(requests, reports, runs),
        mixed_steps=mixed,
        bad_exits=sum(process.exit_code != 0 for process in stopped),
    )
    print(table.format_summary(summary))
    print(f"\nbundle version per process (seed {options.seed})\n{status}")
    report_details(reports, stopped)
    return 0 if table.properties_hold(summary) else 1


def send_all(
    fleet: fleet_lib.Fleet, requests: list[workload.Request]
) -> list[client.Report]:
    """Send all requests, to each gateway in turn."""
    targets = itertools.cycle(
        [gateway.client for gateway in fleet.plan.gateways]
    )
    with concurrent.futures.ThreadPoolExecutor(CLIENT_THREADS) as pool:
        return list(pool.map(client.send_request, targets, requests))


def count_run_twice(runs: list[dict[str, str]]) -> int:
    """Count the idempotency keys that were processed more than once."""
    counts = collections.Counter(run["key"] for run in runs if run["key"])
    return sum(count > 1 for count in counts.values())


def count_false_not_run(
    requests: list[workload.Request],
    reports: list[client.Report],
    runs: list[dict[str, str]],
) -> int:
    """Count the keys that ran although all their answers said not_run."""
    ran = {run["key"] for run in runs}
    verdicts: dict[str, set[client.Verdict]] = collections.defaultdict(set)
    for request, report in zip(requests, reports, strict=True):
        if isinstance(request, workload.RecordsRequest) and request.key:
            verdicts[request.key].add(report.verdict)
    return sum(
        key in ran and key_verdicts == {client.Verdict.NOT_RUN}
        for key, key_verdicts in verdicts.items()
    )


def stop_all(fleet: fleet_lib.Fleet) -> list[processes.StoppedProcess]:
    """Stop gateways, then sidecars, then stand-ins; return how they ended."""
    stopped = []
    for running in (fleet.gateways, fleet.sidecars, fleet.standins):
        stopped.extend(processes.stop_processes(running, STOP_SECONDS))
        running.clear()
    return stopped


def keep_serving(fleet: fleet_lib.Fleet) -> None:
    """Print an example call and wait for SIGTERM or an interrupt."""
    requests = stop_requests.create_stop_requests()
    requests.install()
    address = fleet.plan.gateways[0].client
    print(f"""serving; stop with Ctrl-C. Try:

  curl http://{address}/v1/chat/completions \\
    -H 'Authorization: Bearer {plan_lib.DESK.credential}' \\
    -H 'Content-Type: application/json' \\
    -d '{{"model": "asistente-llm", "stream": true, "max_tokens": 20,
         "messages": [{{"role": "user", "content": "Draft a quote"}}]}}'
""")
    requests.wait()
    print("stopping", file=sys.stderr)


def report_details(
    reports: list[client.Report], stopped: list[processes.StoppedProcess]
) -> None:
    """Print the most frequent results but COMPLETE, and bad exit codes."""
    details = collections.Counter(
        f"{report.verdict}: {report.detail}"
        for report in reports
        if report.verdict is not client.Verdict.COMPLETE
    )
    for detail, count in details.most_common(10):
        print(f"{count} x {detail}", file=sys.stderr)
    for process in stopped:
        if process.exit_code != 0:
            print(
                f"{process.name}: exit code {process.exit_code}",
                file=sys.stderr,
            )


if __name__ == "__main__":
    sys.exit(main())
