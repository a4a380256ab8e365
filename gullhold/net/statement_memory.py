"""The memory that the statements of waiting requests may take, for all clients together."""

from threading import Lock


class StatementMemory:
    """Bytes of statements that all clients together may have waiting, and whether answers are read too late.

    Guards the limit of memory, which is for all of them, against a few that ask much at once or never read:
    what one connection may hold is small, what hundreds may is not. From any thread.
    """

    def __init__(self, most):
        self.most, self.used, self.lock, self.clients = most, 0, Lock(), set()

    def take(self, size):
        """Whether so many bytes of a statement find room; they are given back with give()."""
        with self.lock:
            if self.used + size > self.most:
                return False
            self.used += size
            return True

    def give(self, size):
        """A statement is over."""
        with self.lock:
            self.used -= size

    def crowded(self):
        """Whether answers that nobody has read yet take more than as much again."""
        return sum(client.pipe.size for client in list(self.clients)) > self.most
