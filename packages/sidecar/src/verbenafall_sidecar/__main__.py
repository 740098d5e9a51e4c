"""Entry point for `python -m verbenafall_sidecar`."""

import sys

from verbenafall_sidecar import main

sys.exit(main.main())
