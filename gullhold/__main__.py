"""The command line: its sub-commands, their options, and the functions that run them.

Each sub-command imports its modules when it runs, so that `serve` does not load the libraries of the others.
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

PROGRAM = "gullhold"
CONFIGURATION_VARIABLE = "GW_CONFIG"
STATUS_UNUSABLE = 2  # exit status for arguments that cannot be used
DEMO_RUNS = {"both": (False, True), "on": (True,), "off": (False,)}  # whether each has an admission queue
# Earlier names and their present ones; they still work, but the help does not list them.
EARLIER_COMMAND_NAMES = {"try": "demo", "register": "store", "rehearse": "simulate"}
FLEET_SUBJECTS = ("members", "roles", "history", "budgets", "plan", "report")
EARLIER_FLEET_SUBJECTS = ("duties",)  # the same as "roles"; not listed by the help either


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
    # Imported objects live until the process ends: no garbage collection runs during the import, and freeze()
    # excludes them from all later ones.
    gc.disable()
    from gullhold.net import service  # noqa: PLC0415  only this command needs its imports

    gc.freeze()
    gc.enable()
    return service.serve(args.config, args.report, args.operator)


def _add_config(commands: "Commands") -> None:
    parser = commands.add_parser("config", help="read a configuration and print it as understood")
    _add_file_options(parser)
    parser.set_defaults(run=_config)


def _config(args: argparse.Namespace) -> int:
    from gullhold.net import configuration_command  # noqa: PLC0415

    return configuration_command.print_configuration(args.config, args.operator)


def _add_file_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for the files that `serve` and `config` read."""
    parser.add_argument(
        "--config",
        default=os.environ.get(CONFIGURATION_VARIABLE),
        metavar="FILE",
        help="the configuration (default: the file that GW_CONFIG names)",
    )
    parser.add_argument("--operator", metavar="FILE", help="the operator file: settings of this installation")


def _add_check(commands: "Commands") -> None:
    parser = commands.add_parser(
        "check", help="ask a running gateway whether it serves; exit status 0 if it does"
    )
    parser.add_argument("address", help="where it listens, as HOST:PORT")
    parser.add_argument("--timeout", type=float, default=2.0, metavar="SECONDS", help="how long to wait (2)")
    parser.set_defaults(run=_check)


def _check(args: argparse.Namespace) -> int:
    from gullhold.net import health_check  # noqa: PLC0415

    return health_check.check(args.address, args.timeout)


def _add_demo(commands: "Commands") -> None:
    parser = commands.add_parser(
        "demo", help="run test engines and a gateway on loopback, without and with the admission queue"
    )
    parser.add_argument("--seconds", type=float, default=10, help="duration of each run (10)")
    parser.add_argument("--admission-queue", choices=DEMO_RUNS, default="both", help="which runs (both)")
    parser.add_argument(
        "--door",  # the earlier name of the option
        dest="admission_queue",
        choices=DEMO_RUNS,
        default=argparse.SUPPRESS,
        help=argparse.SUPPRESS,
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the random numbers (1)")
    parser.set_defaults(run=_demo)


def _demo(args: argparse.Namespace) -> int:
    from gullhold import demo  # noqa: PLC0415  heavy libraries

    return demo.run(args.seconds, DEMO_RUNS[args.admission_queue], args.seed)


def _add_store(commands: "Commands") -> None:
    parser = commands.add_parser("store", help="serve the store of a fleet on one machine")
    parser.add_argument(
        "--listen", default="127.0.0.1:2379", metavar="HOST:PORT", help="listen address (127.0.0.1:2379)"
    )
    parser.add_argument("--store", default="register.db", metavar="FILE", help="database (register.db)")
    parser.add_argument("--journal", metavar="FILE", help="append a line for each change to this file")
    parser.add_argument("--fast", action="store_true", help="a power failure may lose the last changes")
    parser.add_argument("--scripted", action="store_true", help="clients may request faults: for tests only")
    parser.set_defaults(run=_store)


def _store(args: argparse.Namespace) -> int:
    from gullhold.testing.register import server  # noqa: PLC0415

    return server.main(args.listen, args.store, not args.fast, args.journal, args.scripted)


def _add_fleet(commands: "Commands") -> None:
    parser = commands.add_parser("fleet", help="print what the store of a fleet holds")
    parser.add_argument(
        "what",
        choices=FLEET_SUBJECTS + EARLIER_FLEET_SUBJECTS,
        metavar="{" + ",".join(FLEET_SUBJECTS) + "}",
    )
    parser.add_argument(
        "--register", default="127.0.0.1:2379", metavar="HOST:PORT", help="the store (127.0.0.1:2379)"
    )
    parser.add_argument("--name", default="main", help="name of the fleet (main)")
    parser.add_argument("--json", action="store_true", help="a JSON object a line, for scripts")
    group = parser.add_argument_group("plan, report")
    group.add_argument("--members", type=int, default=2, metavar="N", help="plan: number of members (2)")
    group.add_argument(
        "--whole", type=int, default=0, metavar="X", help="plan: total of the budget, in its unit"
    )
    group.add_argument(
        "--wants", default="", metavar="A,B,...", help="plan: demand of each member (the total)"
    )
    group.add_argument("--floor", type=int, default=1, help="plan: least allocation of each member (1)")
    group.add_argument("--grain", type=int, default=1, help="plan: smallest usable allocation (1)")
    group.add_argument(
        "--alone", type=int, default=0, help="plan: reserve of each member, besides its allocation (0)"
    )
    group.add_argument("--seconds", type=float, default=30, help="report: how long to watch (30)")
    group.add_argument(
        "--out", default="budgets.html", metavar="FILE", help="report: the page to write (budgets.html)"
    )
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
        print(f"gullhold: --wants {args.wants}: expected whole numbers separated by commas", file=sys.stderr)
        return STATUS_UNUSABLE
    return budgets.run_plan(args.members, args.whole, demands, args.floor, args.grain, args.alone, args.json)


def _add_policy(commands: "Commands") -> None:
    parser = commands.add_parser("policy", help="roll out a policy to a fleet, everywhere or nowhere")
    parser.add_argument("what", choices=("propose", "diff", "status", "history", "drop", "undo", "check"))
    parser.add_argument("file", nargs="?", help="propose, diff, check: the policy file")
    parser.add_argument(
        "--register", default="127.0.0.1:2379", metavar="HOST:PORT", help="the store (127.0.0.1:2379)"
    )
    parser.add_argument("--name", default="main", help="name of the fleet (main)")
    parser.add_argument("--why", default="", help="reason, shown in the history")
    parser.add_argument("--author", default="", help="author (the user who runs this)")
    parser.add_argument(
        "--overlap",
        choices=("loose", "strict"),
        default="loose",
        help="strict: no two attempts under different policies at one moment (loose)",
    )
    parser.add_argument(
        "--silence",
        choices=("wait", "drop"),
        default="drop",
        help="whether to wait for gateways that do not vote in time, or to drop the change (drop)",
    )
    parser.add_argument(
        "--patience", type=float, default=10, metavar="SECONDS", help="time in which gateways must vote (10)"
    )
    parser.add_argument(
        "--wait",
        type=float,
        default=0,
        metavar="SECONDS",
        help="wait for the result; status 0 in force, 3 dropped, 4 not known yet",
    )
    _add_canary_options(parser)
    parser.add_argument("--number", type=int, default=0, help="status: of this version")
    parser.add_argument("--json", action="store_true", help="history: a JSON object a line")
    parser.set_defaults(run=_policy)


def _add_canary_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--canary",
        type=float,
        default=0,
        metavar="PART",
        help="fraction of the gateways that apply it first (0: none)",
    )
    parser.add_argument(
        "--canary-seconds", type=float, default=30, metavar="SECONDS", help="duration of the canary (30)"
    )
    parser.add_argument(
        "--most-failed",
        type=float,
        default=0.05,
        metavar="SHARE",
        help="drop the change if a larger share of the canary's commands fails (0.05)",
    )
    parser.add_argument(
        "--most-slower",
        type=float,
        default=1.5,
        metavar="TIMES",
        help="drop the change if the canary is slower than the others by more than this factor (1.5)",
    )


def _policy(args: argparse.Namespace) -> int:
    from gullhold.rollout import policy_commands  # noqa: PLC0415  heavy libraries

    return policy_commands.run(args)


def _add_simulate(commands: "Commands") -> None:
    parser = commands.add_parser("simulate", help="run gateways on virtual time against scripted faults")
    parser.add_argument(
        "--seeds", default="0:20", metavar="A:B", help="each seed generates a script (0:20, without 20)"
    )
    parser.add_argument("--jobs", type=int, default=0, help="parallel processes (one for each core)")
    parser.add_argument("--replay", metavar="FILE", help="run this script, with the first of the seeds")
    parser.add_argument(
        "--shrink", metavar="FILE", help="minimize the first script that breaks a rule, and write it there"
    )
    parser.set_defaults(run=_simulate)


def _simulate(args: argparse.Namespace) -> int:
    from gullhold.simulation import show  # noqa: PLC0415  heavy libraries

    return show.run(args.seeds, args.jobs, args.replay, args.shrink, args.command)


def _add_version(commands: "Commands") -> None:
    parser = commands.add_parser("version", help="print the version")
    parser.set_defaults(run=_version)


def _version(_: argparse.Namespace) -> int:
    print(f"gullhold {__version__}")
    return 0


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of all sub-commands; it sets `run` to the function of the one that is named."""
    parser = argparse.ArgumentParser(
        prog=PROGRAM, description="A query gateway: decides what runs, where and when."
    )
    commands = parser.add_subparsers(prog=PROGRAM, dest="command", metavar="COMMAND", required=True)
    _add_serve(commands)
    _add_config(commands)
    _add_check(commands)
    _add_demo(commands)
    _add_store(commands)
    _add_fleet(commands)
    _add_policy(commands)
    _add_simulate(commands)
    _add_version(commands)
    for earlier_name, name in EARLIER_COMMAND_NAMES.items():
        # add_parser(aliases=...) would list the name in the help.
        commands.choices[earlier_name] = commands.choices[name]
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run one sub-command and return its exit status."""
    args = build_parser().parse_args(argv)
    return args.run(args)


if __name__ == "__main__":
    exit_status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(exit_status)  # does not wait for the hundreds of remaining threads, which hold nothing to save
