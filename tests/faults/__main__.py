"""Runs the fault matrix; fails on red cells not in KNOWN-RED.txt."""

import argparse
import sys

from loguru import logger

from faults import matrix
import known_red


def main() -> int:
    """Run the matrix and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--flow", help="run only this flow")
    options = parser.parse_args()
    logger.remove()
    flows = matrix.find_flows()
    if options.flow:
        flows = tuple(flow for flow in flows if flow.name == options.flow)
        if not flows:
            parser.error(f"unknown flow: {options.flow}")
    summary = matrix.run_all(flows, options.seed)
    known_red_text = known_red.read_text()
    print("\n".join(matrix.describe(summary, known_red_text)))
    unlisted = matrix.find_unlisted(summary, known_red_text)
    return 1 if unlisted or summary.steps_without_cells else 0


sys.exit(main())
