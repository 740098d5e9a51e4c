"""Exit codes of the operator commands, and the help text that lists them."""

from typing import Final

SUCCESS: Final = 0
INVALID_INPUT: Final = 1
BAD_USAGE: Final = 2
INCOMPLETE: Final = 3
CONFLICT: Final = 4
UNREACHABLE: Final = 5

EPILOG: Final = """\
exit codes:
  0  success
  1  the bundle, its signature or a key file is invalid
  2  the arguments or the settings are invalid
  3  the version is pending but not accepted, a process is not ready, or no
     load has been observed for a group
  4  another version won, or the version number cannot be used
  5  the object store or the instance list could not be reached
"""
