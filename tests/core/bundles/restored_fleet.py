"""The fleet of the bundle tests with a store that can be restored."""

from core.bundles import test_fleet
from verbenafall_core.bundles import records


class RestorableFleet(test_fleet.FleetMachine):
    """Allows processes to run a version whose text the store has lost.

    Whoever restores the store checks later that it has the text again.
    """

    def __init__(self):
        self.restored = False
        super().__init__()

    def restore_store(self, changes):
        self.store.restore(changes)
        self.restored = True

    def check_version(self, name, process):
        bundle = process.service.current()
        if bundle is None or not self.lacks_text(bundle.version):
            super().check_version(name, process)
            return
        assert bundle.version >= self.highest[name], name
        self.highest[name] = bundle.version

    def lacks_text(self, version):
        """Return whether a restore of the store has lost a text."""
        is_missing = records.bundle_name(version) not in self.store.objects
        return self.restored and is_missing
