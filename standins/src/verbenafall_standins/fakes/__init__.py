"""In-process fakes at the ports, with faults set by the test."""
