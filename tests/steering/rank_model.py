"""Model of a rank group that follows the rules of the engines."""

from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.expert_maps import rank_state

# Name of the group.
GROUP = "g"


class ModelRank:
    """One rank; with fences it rejects orders of a lower term."""

    def __init__(self, number, size, fences=True):
        self.fences = fences
        self.number = number
        self.size = size
        self.fence = 0
        self.reset(1, 0)

    def reset(self, epoch, step):
        self.epoch = epoch
        self.step = step
        self.map_version = 0
        self.prepared = 0
        self.armed = None
        self.held = None

    def report(self, is_open=True):
        return rank_state.RankReport(
            GROUP,
            self.number,
            self.size,
            self.epoch,
            is_open,
            self.step,
            self.map_version,
            self.prepared,
            self.armed,
            self.held,
        )

    def handle_order(self, order):
        """Apply an order and return the engine's answer."""
        if self.fences and order.term < self.fence:
            return rank_state.OrderAnswer.FENCED
        self.fence = order.term
        if order.epoch != self.epoch:
            return rank_state.OrderAnswer.CONFLICT
        done = getattr(self, f"handle_{order.kind.value}")(order)
        return (
            rank_state.OrderAnswer.ACCEPTED
            if done
            else rank_state.OrderAnswer.CONFLICT
        )

    def handle_prepare(self, order):
        if self.prepared == order.version:
            return True
        if self.armed or order.version <= max(self.prepared, self.map_version):
            return False
        self.prepared = order.version
        return True

    def handle_hold(self, order):
        if self.held is not None:
            return self.held == order.step
        if order.step <= self.step:
            return False
        self.held = order.step
        return True

    def handle_arm(self, order):
        target = rank_state.Armed(order.version, order.step)
        if self.armed is not None:
            return self.armed == target
        if self.prepared != order.version or order.step <= self.step:
            return False
        self.armed = target
        return True

    def handle_disarm(self, order):
        del order
        self.armed = None
        return True

    def handle_release(self, order):
        if self.held == order.step:
            self.held = None
        return True


class ModelGroup:
    """All ranks of a group, which start each pass together."""

    def __init__(self, size, fences=True):
        self.ranks = [ModelRank(number, size, fences) for number in range(size)]
        self.epoch = 1
        self.step = 0

    def start_pass(self):
        """Start the next pass unless it is held; return whether it started."""
        next_step = self.step + 1
        if any(rank.held == next_step for rank in self.ranks):
            return False
        self.step = next_step
        for rank in self.ranks:
            rank.step = next_step
            if rank.armed is not None and rank.armed.step == next_step:
                rank.map_version = rank.armed.version
                rank.armed = None
        return True

    def maps(self):
        return {rank.map_version for rank in self.ranks}

    def form_new_epoch(self):
        """Form the group again in a new epoch, as after a crash."""
        self.epoch += 1
        for rank in self.ranks:
            rank.reset(self.epoch, self.step)

    def views(self, cleared, impossible):
        return {
            rank.number: pass_switch.RankView(
                rank.report(), cleared[rank.number], impossible[rank.number]
            )
            for rank in self.ranks
        }
