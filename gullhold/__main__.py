"""The command line."""

import argparse
import os
import sys

from gullhold import __version__


def parser():
    """Its sub-commands and their help."""
    top = argparse.ArgumentParser(prog="gullhold", description="A query gateway: what runs, where, when.")
    commands = top.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="serve on sockets until SIGTERM")
    serve.add_argument("--report", type=float, default=0, metavar="SECONDS",
                       help="log the counters this often; they are logged on SIGUSR1 and at the end anyway")
    config = commands.add_parser("config", help="read a configuration and print what was understood")
    for command in (serve, config):
        command.add_argument("--config", default=os.environ.get("GW_CONFIG"), metavar="FILE",
                             help="the configuration (default: the file that GW_CONFIG names)")
    check = commands.add_parser("check", help="ask a running gateway whether it serves; exit status 0 if so")
    check.add_argument("address", help="where it listens, as HOST:PORT")
    check.add_argument("--timeout", type=float, default=2.0, metavar="SECONDS", help="how long to wait (2)")
    commands.add_parser("version", help="print the version")
    return top


def main(argv=None):
    """Run one sub-command; its exit status."""
    args = parser().parse_args(argv)
    if args.command == "version":
        print(f"gullhold {__version__}")
        return 0
    from gullhold.net import service  # noqa: PLC0415  only these need what it imports
    if args.command == "check":
        return service.check(args.address, args.timeout)
    if args.command == "config":
        return service.explain(args.config)
    return service.serve(args.config, args.report)


if __name__ == "__main__":
    sys.exit(main())
