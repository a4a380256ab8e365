"""Estimates how long a new command would wait, and by how much that is too long."""

from gullhold.admission.queued_command import QueuedCommand
from gullhold.admission.settings import AdmissionSettings
from gullhold.interface import Profile


def service_rate(command: QueuedCommand, now_us: int) -> float:
    """Return the rate at which queued work of the command's profile leaves its flow while that is backlogged.

    The rate, in us of work per us, is the drain rate of the tenant's commands of the profile times the flow's
    share of the tenant; 0: not known yet.
    """
    tenant_queue = command.tenant_queue
    drain_rate = tenant_queue.drain_rate(command.profile, now_us).rate(now_us)
    return drain_rate * tenant_queue.fair_queue.share(command.flow.child)


def expected_wait_us(command: QueuedCommand, now_us: int) -> float:
    """Return the time (us) until a new command would be forwarded; 0: rate not known, or no command waits."""
    rate = service_rate(command, now_us)
    backlog_us = command.flow.backlog_us(command.profile)
    if not rate or not backlog_us:
        return 0.0
    return (backlog_us + command.work_us) / rate


def lateness_us(
    command: QueuedCommand, wait_us: float, profile: Profile, settings: AdmissionSettings, now_us: int
) -> int:
    """Return by how many us a new command would wait longer than allowed; 0: it would not.

    Retries due within the allowed wait count as queued before it, up to the service reserved for retries.
    """
    if not wait_us:
        return 0
    flow = command.flow
    objective_us = profile.objective_us + profile.objective_stretch * command.work_us / profile.threads
    allowed_us = min(settings.patience * objective_us, command.expires_at_us - now_us)
    wait_per_command_us = wait_us * command.work_us / (flow.backlog_us(command.profile) + command.work_us)
    retries_us = flow.retries.count_within(now_us, allowed_us) * wait_per_command_us
    reserved_us = settings.retry_after.reserved_share * allowed_us
    return max(0, int(wait_us + min(retries_us, reserved_us) - allowed_us))
