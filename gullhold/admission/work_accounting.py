"""Estimates the work of commands, charges it to tenants and flows, and corrects it by the answers."""

from gullhold.admission.flow_table import FlowTable
from gullhold.admission.queued_command import QueuedCommand

DEFAULT_WORK_US = 50_000.0  # assumed for a command that states none, until answers have stated costs
SMOOTHING_FACTOR = 0.1  # weight of the newest answer in exponential moving averages
MIN_BIAS = 0.1  # bounds of real work divided by estimated work, as a flow's answers show it
MAX_BIAS = 10.0
MIN_ESTIMATE_US = 1.0  # lower bound of an estimate that costs are divided by


class WorkAccounting:
    """Charges estimated work to tenants and flows, and corrects it when answers state real costs."""

    def __init__(self, flow_table: FlowTable) -> None:
        self._flow_table = flow_table
        # Moving average of all commands' real work in us; 0: no answer has stated a cost yet.
        self._mean_work_us = 0.0

    def estimate_us(self, stated_us: int) -> float:
        """Return the estimated work of a new command; stated_us: its client's estimate, 0: not stated."""
        return float(stated_us or self._mean_work_us or DEFAULT_WORK_US)

    def charge(self, command: QueuedCommand, work_us: float) -> None:
        """Charge work to a command's tenant and flow, unless they have been forgotten."""
        command.charged_us += work_us
        tenant_queue = command.tenant_queue
        if not self._flow_table.has(tenant_queue):
            return
        self._flow_table.fair_queue.charge(tenant_queue.child, work_us)
        if tenant_queue.has(command.flow):
            tenant_queue.fair_queue.charge(command.flow.child, work_us)

    def settle(self, command: QueuedCommand) -> None:
        """Correct the charged work of a forwarded command that has ended."""
        if command.cost_us:
            self._update_estimates(command)
            self.charge(command, command.cost_us - command.charged_us)
        elif not command.may_have_run:  # no engine did any work for it
            self.charge(command, -command.charged_us)

    def _update_estimates(self, command: QueuedCommand) -> None:
        """Update the bias of the flow's estimates and the mean work by a command's real cost."""
        flow = command.flow
        stated_us = command.work_us / flow.estimate_bias
        measured_bias = min(max(command.cost_us / max(stated_us, MIN_ESTIMATE_US), MIN_BIAS), MAX_BIAS)
        flow.estimate_bias += SMOOTHING_FACTOR * (measured_bias - flow.estimate_bias)
        if self._mean_work_us:
            self._mean_work_us += SMOOTHING_FACTOR * (command.cost_us - self._mean_work_us)
        else:
            self._mean_work_us += command.cost_us
