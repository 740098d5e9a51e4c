"""A rank group as its engines behave, with lost and late orders."""

from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.expert_maps import rank_state


class ModelRank:
    """One rank; orders follow the rules of the engines."""

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
            "g",
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
        """Carry an order out; return the engine's answer."""
        if self.fences and order.term < self.fence:
            return rank_state.OrderAnswer.FENCED
        self.fence = order.term
        if order.epoch != self.epoch:
            return rank_state.OrderAnswer.CONFLICT
        done = getattr(self, f"take_{order.kind.value}")(order)
        return (
            rank_state.OrderAnswer.ACCEPTED
            if done
            else rank_state.OrderAnswer.CONFLICT
        )

    def take_prepare(self, order):
        if self.prepared == order.version:
            return True
        if self.armed or order.version <= max(self.prepared, self.map_version):
            return False
        self.prepared = order.version
        return True

    def take_hold(self, order):
        if self.held is not None:
            return self.held == order.step
        if order.step <= self.step:
            return False
        self.held = order.step
        return True

    def take_arm(self, order):
        wanted = rank_state.Armed(order.version, order.step)
        if self.armed is not None:
            return self.armed == wanted
        if self.prepared != order.version or order.step <= self.step:
            return False
        self.armed = wanted
        return True

    def take_disarm(self, order):
        del order
        self.armed = None
        return True

    def take_release(self, order):
        if self.held == order.step:
            self.held = None
        return True


class ModelGroup:
    """All ranks; begins passes and checks the rule on maps."""

    def __init__(self, size, fences=True):
        self.ranks = [ModelRank(number, size, fences) for number in range(size)]
        self.epoch = 1
        self.step = 0

    def begin_pass(self):
        """Begin a pass unless it is held; return whether it began."""
        following = self.step + 1
        if any(rank.held == following for rank in self.ranks):
            return False
        self.step = following
        for rank in self.ranks:
            rank.step = following
            if rank.armed is not None and rank.armed.step == following:
                rank.map_version = rank.armed.version
                rank.armed = None
        return True

    def maps(self):
        return {rank.map_version for rank in self.ranks}

    def form_new_epoch(self):
        """Form the group in a new epoch, as after a crash."""
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
