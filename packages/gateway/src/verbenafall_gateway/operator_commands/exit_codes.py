"""Exit codes of the operator commands, and the epilogue that lists them."""

from typing import Final

SUCCESS: Final = 0
INVALID_INPUT: Final = 1
BAD_USAGE: Final = 2
INCOMPLETE: Final = 3
CONFLICT: Final = 4
UNREACHABLE: Final = 5

EPILOG: Final = """\
exit codes:
  0  done
  1  the bundle, its signature or a key file has faults
  2  the arguments or the settings have faults
  3  the version is pending but not accepted, or a process is not ready
  4  another version won
  5  the object store or the instance list could not be reached
"""
