"""Work of commands: estimates, charges to flows, and their correction by answers."""

from gullhold.admission.flow_table import FlowTable
from gullhold.admission.queued_command import QueuedCommand

DEFAULT_WORK_US = 50_000.0  # of a command that states none, until answers have stated costs
SMOOTHING_FACTOR = 0.1  # weight of the newest answer in the moving averages
MIN_BIAS = 0.1  # bounds of a flow's bias: the factors by which estimates are known to be off
MAX_BIAS = 10.0
MIN_ESTIMATE_US = 1.0


class WorkAccounting:
    """Charges work to tenants and flows, and corrects it once answers state what commands cost."""

    def __init__(self, flow_table: FlowTable) -> None:
        self._flow_table = flow_table
        self._usual_work_us = 0.0  # of commands at large; 0: not known yet

    def estimate_us(self, stated_us: int) -> float:
        """Return the work of a new command; stated_us: by its client, 0: not stated."""
        return float(stated_us or self._usual_work_us or DEFAULT_WORK_US)

    def charge(self, command: QueuedCommand, work_us: float) -> None:
        """Charge work to a command's tenant and flow, as far as they were not forgotten meanwhile."""
        command.charged_us += work_us
        tenant_queue = command.tenant_queue
        if not self._flow_table.has(tenant_queue):
            return
        self._flow_table.fair_queue.charge(tenant_queue.child, work_us)
        if tenant_queue.has(command.flow):
            tenant_queue.fair_queue.charge(command.flow.child, work_us)

    def settle(self, command: QueuedCommand) -> None:
        """Correct what was charged for a forwarded command that has ended."""
        if command.cost_us:
            self._learn(command)
            self.charge(command, command.cost_us - command.charged_us)
        elif not command.may_have_run:  # it cost the engines nothing
            self.charge(command, -command.charged_us)

    def _learn(self, command: QueuedCommand) -> None:
        """Correct the bias of the flow's estimates, and the usual work."""
        flow = command.flow
        stated_us = command.work_us / flow.estimate_bias
        true_bias = min(max(command.cost_us / max(stated_us, MIN_ESTIMATE_US), MIN_BIAS), MAX_BIAS)
        flow.estimate_bias += SMOOTHING_FACTOR * (true_bias - flow.estimate_bias)
        if self._usual_work_us:
            self._usual_work_us += SMOOTHING_FACTOR * (command.cost_us - self._usual_work_us)
        else:
            self._usual_work_us += command.cost_us
