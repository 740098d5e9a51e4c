"""Exit codes of the operator commands, and the epilogue that lists them."""

from typing import Final

DONE: Final = 0
FAULTY_INPUT: Final = 1
BAD_USAGE: Final = 2
NOT_DONE: Final = 3
LOST: Final = 4
UNREACHABLE: Final = 5

EPILOGUE: Final = """\
exit codes:
  0  done
  1  the bundle, its signature or a key file has faults
  2  the arguments or the settings have faults
  3  the version is pending but not accepted, or a process is not ready
  4  another version won
  5  the object store or the instance list could not be reached
"""
