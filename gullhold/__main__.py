"""The command line: its sub-commands, their options, and what runs them.

What a sub-command needs is imported when it runs: `serve` must not load the libraries of the others.
"""

import argparse
import gc
import os
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING

from gullhold import __version__

if TYPE_CHECKING:
    Commands = argparse._SubParsersAction[argparse.ArgumentParser]

CONFIGURATION_VARIABLE = "GW_CONFIG"
STATUS_UNUSABLE = 2
DEMO_RUNS = {"both": (False, True), "on": (True,), "off": (False,)}  # whether each has an admission queue


def _add_serve(commands: "Commands") -> None:
    parser = commands.add_parser("serve", help="serve on sockets until SIGTERM")
    parser.add_argument(
        "--report",
        type=float,
        default=0,
        metavar="SECONDS",
        help="log the counters this often; they are logged on SIGUSR1 and at the end anyway",
    )
    _add_file_options(parser)
    parser.set_defaults(run=_serve)


def _serve(args: argparse.Namespace) -> int:
    # What is imported stays until the end: the collector need not look at it, now or later.
    gc.disable()
    from gullhold.net import service  # noqa: PLC0415  only this needs what it imports

    gc.freeze()
    gc.enable()
    return service.serve(args.config, args.report, args.operator)


def _add_config(commands: "Commands") -> None:
    parser = commands.add_parser("config", help="read a configuration and print what was understood")
    _add_file_options(parser)
    parser.set_defaults(run=_config)


def _config(args: argparse.Namespace) -> int:
    from gullhold.net import configuration_command  # noqa: PLC0415

    return configuration_command.print_configuration(args.config, args.operator)


def _add_file_options(parser: argparse.ArgumentParser) -> None:
    """Add the files that serve and config read."""
    parser.add_argument(
        "--config",
        default=os.environ.get(CONFIGURATION_VARIABLE),
        metavar="FILE",
        help="the configuration (default: the file that GW_CONFIG names)",
    )
    parser.add_argument("--operator", metavar="FILE", help="the operator file: what this installation adds")


def _add_check(commands: "Commands") -> None:
    parser = commands.add_parser("check", help="ask a running gateway whether it serves; exit status 0 if so")
    parser.add_argument("address", help="where it listens, as HOST:PORT")
    parser.add_argument("--timeout", type=float, default=2.0, metavar="SECONDS", help="how long to wait (2)")
    parser.set_defaults(run=_check)


def _check(args: argparse.Namespace) -> int:
    from gullhold.net import health_check  # noqa: PLC0415

    return health_check.check(args.address, args.timeout)


def _add_try(commands: "Commands") -> None:
    parser = commands.add_parser("try", help="stand-ins and a gateway on loopback, without and with a door")
    parser.add_argument("--seconds", type=float, default=10, help="how long each run takes (10)")
    parser.add_argument("--door", choices=("both", "on", "off"), default="both", help="the runs (both)")
    parser.add_argument("--seed", type=int, default=1, help="for chance (1)")
    parser.set_defaults(run=_try)


def _try(args: argparse.Namespace) -> int:
    from gullhold import demo  # noqa: PLC0415  heavy libraries

    return demo.run(args.seconds, DEMO_RUNS[args.door], args.seed)


def _add_register(commands: "Commands") -> None:
    parser = commands.add_parser("register", help="a register for the fleet on one machine")
    parser.add_argument("--listen", default="127.0.0.1:2379", metavar="HOST:PORT", help="(127.0.0.1:2379)")
    parser.add_argument("--store", default="register.db", metavar="FILE", help="what it keeps (register.db)")
    parser.add_argument("--journal", metavar="FILE", help="add a line for each change to this file")
    parser.add_argument("--fast", action="store_true", help="a loss of power may undo the last changes")
    parser.add_argument("--scripted", action="store_true", help="faults may be asked for: for tests alone")
    parser.set_defaults(run=_register)


def _register(args: argparse.Namespace) -> int:
    from gullhold.testing.register import server  # noqa: PLC0415

    return server.main(args.listen, args.store, not args.fast, args.journal, args.scripted)


def _add_fleet(commands: "Commands") -> None:
    parser = commands.add_parser("fleet", help="what a fleet's register says")
    parser.add_argument("what", choices=("members", "duties", "history", "budgets", "plan", "report"))
    parser.add_argument("--register", default="127.0.0.1:2379", metavar="HOST:PORT", help="(127.0.0.1:2379)")
    parser.add_argument("--name", default="main", help="which fleet (main)")
    parser.add_argument("--json", action="store_true", help="a JSON object a line, for scripts")
    group = parser.add_argument_group("plan, report")
    group.add_argument("--members", type=int, default=2, metavar="N", help="plan: for so many (2)")
    group.add_argument("--whole", type=int, default=0, metavar="X", help="plan: of so much")
    group.add_argument("--wants", default="", metavar="A,B,...", help="plan: what they want (each the whole)")
    group.add_argument("--floor", type=int, default=1, help="plan: least part of each (1)")
    group.add_argument("--grain", type=int, default=1, help="plan: least part that is of use (1)")
    group.add_argument("--alone", type=int, default=0, help="plan: kept back for each (0)")
    group.add_argument("--seconds", type=float, default=30, help="report: watched for so long (30)")
    group.add_argument("--out", default="budgets.html", metavar="FILE", help="report: (budgets.html)")
    parser.set_defaults(run=_fleet)


def _fleet(args: argparse.Namespace) -> int:
    match args.what:
        case "plan":
            return _fleet_plan(args)
        case "report":
            from gullhold.budgets import show as budgets  # noqa: PLC0415  heavy libraries

            return budgets.run_report(args.register, args.name, args.seconds, args.out)
        case "budgets":
            from gullhold.budgets import show as budgets  # noqa: PLC0415  heavy libraries

            return budgets.run(args.register, args.name, args.json)
        case _:
            from gullhold.fleet import show  # noqa: PLC0415  heavy libraries

            return show.run(args.what, args.register, args.name, args.json)


def _fleet_plan(args: argparse.Namespace) -> int:
    from gullhold.budgets import show as budgets  # noqa: PLC0415  heavy libraries

    try:
        demands = [int(number) for number in args.wants.split(",") if number]
    except ValueError:
        print(f"gullhold: --wants {args.wants}: whole numbers with commas are needed", file=sys.stderr)
        return STATUS_UNUSABLE
    return budgets.run_plan(args.members, args.whole, demands, args.floor, args.grain, args.alone, args.json)


def _add_policy(commands: "Commands") -> None:
    parser = commands.add_parser("policy", help="change the policy of a fleet, everywhere or nowhere")
    parser.add_argument("what", choices=("propose", "diff", "status", "history", "drop", "undo", "check"))
    parser.add_argument("file", nargs="?", help="propose, diff, check: the policy")
    parser.add_argument("--register", default="127.0.0.1:2379", metavar="HOST:PORT", help="(127.0.0.1:2379)")
    parser.add_argument("--name", default="main", help="which fleet (main)")
    parser.add_argument("--why", default="", help="for those who read the history")
    parser.add_argument("--author", default="", help="(who runs this)")
    parser.add_argument(
        "--overlap",
        choices=("loose", "strict"),
        default="loose",
        help="strict: no two sends under different policies at one moment (loose)",
    )
    parser.add_argument(
        "--silence",
        choices=("wait", "drop"),
        default="drop",
        help="what becomes of it where a gateway says nothing in time (drop)",
    )
    parser.add_argument("--patience", type=float, default=10, metavar="SECONDS", help="in time: (10)")
    parser.add_argument(
        "--wait",
        type=float,
        default=0,
        metavar="SECONDS",
        help="wait for what becomes of it; status 0 in force, 3 dropped, 4 not known yet",
    )
    _add_canary_options(parser)
    parser.add_argument("--number", type=int, default=0, help="status: of this one")
    parser.add_argument("--json", action="store_true", help="history: a JSON object a line")
    parser.set_defaults(run=_policy)


def _add_canary_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--canary",
        type=float,
        default=0,
        metavar="PART",
        help="so great a part of the gateways goes by it first (0: none)",
    )
    parser.add_argument(
        "--canary-seconds", type=float, default=30, metavar="SECONDS", help="for so long (30)"
    )
    parser.add_argument(
        "--most-failed",
        type=float,
        default=0.05,
        metavar="SHARE",
        help="dropped where more of their commands fail (0.05)",
    )
    parser.add_argument(
        "--most-slower",
        type=float,
        default=1.5,
        metavar="TIMES",
        help="dropped where answers take so many times as long as the others' (1.5)",
    )


def _policy(args: argparse.Namespace) -> int:
    from gullhold.rollout import policy_commands  # noqa: PLC0415  heavy libraries

    return policy_commands.run(args)


def _add_rehearse(commands: "Commands") -> None:
    parser = commands.add_parser("rehearse", help="play scripted faults on virtual time")
    parser.add_argument("--seeds", default="0:20", metavar="A:B", help="each draws a script (0:20)")
    parser.add_argument("--jobs", type=int, default=0, help="processes at once (as there are cores)")
    parser.add_argument("--replay", metavar="FILE", help="play this script, with the first of the seeds")
    parser.add_argument(
        "--shrink", metavar="FILE", help="cut the first script that breaks a rule down, and write it there"
    )
    parser.set_defaults(run=_rehearse)


def _rehearse(args: argparse.Namespace) -> int:
    from gullhold.simulation import show  # noqa: PLC0415  heavy libraries

    return show.run(args.seeds, args.jobs, args.replay, args.shrink)


def _add_version(commands: "Commands") -> None:
    parser = commands.add_parser("version", help="print the version")
    parser.set_defaults(run=_version)


def _version(_: argparse.Namespace) -> int:
    print(f"gullhold {__version__}")
    return 0


def build_parser() -> argparse.ArgumentParser:
    """Build the parser with all sub-commands; `run` of what it parses runs the one that was named."""
    parser = argparse.ArgumentParser(prog="gullhold", description="A query gateway: what runs, where, when.")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_serve(commands)
    _add_config(commands)
    _add_check(commands)
    _add_try(commands)
    _add_register(commands)
    _add_fleet(commands)
    _add_policy(commands)
    _add_rehearse(commands)
    _add_version(commands)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run one sub-command and return its exit status."""
    args = build_parser().parse_args(argv)
    return args.run(args)


if __name__ == "__main__":
    exit_status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(exit_status)  # does not wait for the hundreds of threads left, which own nothing
