"""The gateway on sockets: one module for each stage of a command. Nothing here decides."""
