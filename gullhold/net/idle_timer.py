"""How long a connection of a client has been idle."""

import time


class IdleTimer:
    """Times of one connection, by the monotonic clock. On its reader's thread; quiet_at is read by others."""

    def __init__(self) -> None:
        self.connected_at = time.monotonic()
        self.quiet_at = self.connected_at  # when something last came or was open
        self.is_cut = False  # in the middle of a message

    def heard(self) -> None:
        """A call was read."""
        self.quiet_at = time.monotonic()

    def update(self, is_cut: bool, is_busy: bool) -> None:
        """Note whether a message is cut now, and whether something is still to be answered."""
        if is_cut != self.is_cut or is_busy:
            self.is_cut = is_cut
            self.quiet_at = time.monotonic()

    def idle_s(self, is_in_use: bool) -> float:
        """For how long it has been idle; one that was never used: since it connected."""
        since = self.quiet_at if is_in_use else self.connected_at
        return time.monotonic() - since
