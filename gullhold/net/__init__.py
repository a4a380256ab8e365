"""The gateway on sockets: one module for each stage of a command. Nothing here decides."""


def host_port(address):
    """HOST:PORT as sockets want it."""
    host, _, port = address.rpartition(":")
    return host, int(port)
