"""Runs the gateway binary with "python -m verbenafall_gateway"."""

import sys

from verbenafall_gateway import main

sys.exit(main.main())
