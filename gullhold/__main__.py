"""The command line."""

import argparse
import os
import sys

from gullhold import __version__


def main(argv=None):
    """Run one sub-command; its exit status."""
    parser = argparse.ArgumentParser(prog="gullhold", description="A query gateway: what runs, where, when.")
    commands = parser.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="serve on sockets until SIGTERM")
    serve.add_argument("--config", default=os.environ.get("GW_CONFIG"), help="configuration file (GW_CONFIG)")
    serve.add_argument("--report", type=float, default=0, metavar="SECONDS",
                       help="log the counters this often; they are logged on SIGUSR1 and at the end anyway")
    commands.add_parser("version", help="print the version")
    args = parser.parse_args(argv)
    if args.command == "version":
        print(f"gullhold {__version__}")
        return 0
    from gullhold.net.service import serve as run  # noqa: PLC0415  only serving needs what it imports
    return run(args.config, args.report)


if __name__ == "__main__":
    sys.exit(main())
