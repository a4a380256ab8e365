"""The command line."""

import argparse
import os
import sys

from gullhold import __version__


def _policy(commands):
    policy = commands.add_parser("policy", help="change the policy of a fleet, everywhere or nowhere")
    policy.add_argument("what", choices=("propose", "diff", "status", "history", "drop", "undo", "check"))
    policy.add_argument("file", nargs="?", help="propose, diff, check: the policy")
    policy.add_argument("--register", default="127.0.0.1:2379", metavar="HOST:PORT", help="(127.0.0.1:2379)")
    policy.add_argument("--name", default="main", help="which fleet (main)")
    policy.add_argument("--why", default="", help="for those who read the history")
    policy.add_argument("--author", default="", help="(who runs this)")
    policy.add_argument(
        "--overlap",
        choices=("loose", "strict"),
        default="loose",
        help="strict: no two sends under different policies at one moment (loose)",
    )
    policy.add_argument(
        "--silence",
        choices=("wait", "drop"),
        default="drop",
        help="what becomes of it where a gateway says nothing in time (drop)",
    )
    policy.add_argument("--patience", type=float, default=10, metavar="SECONDS", help="in time: (10)")
    policy.add_argument(
        "--wait",
        type=float,
        default=0,
        metavar="SECONDS",
        help="wait for what becomes of it; status 0 in force, 3 dropped, 4 not known yet",
    )
    policy.add_argument(
        "--canary",
        type=float,
        default=0,
        metavar="PART",
        help="so great a part of the gateways goes by it first (0: none)",
    )
    policy.add_argument(
        "--canary-seconds", type=float, default=30, metavar="SECONDS", help="for so long (30)"
    )
    policy.add_argument(
        "--most-failed",
        type=float,
        default=0.05,
        metavar="SHARE",
        help="dropped where more of their commands fail (0.05)",
    )
    policy.add_argument(
        "--most-slower",
        type=float,
        default=1.5,
        metavar="TIMES",
        help="dropped where answers take so many times as long as the others' (1.5)",
    )
    policy.add_argument("--number", type=int, default=0, help="status: of this one")
    policy.add_argument("--json", action="store_true", help="history: a JSON object a line")


def parser():
    """Its sub-commands and their help."""
    top = argparse.ArgumentParser(prog="gullhold", description="A query gateway: what runs, where, when.")
    commands = top.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="serve on sockets until SIGTERM")
    serve.add_argument(
        "--report",
        type=float,
        default=0,
        metavar="SECONDS",
        help="log the counters this often; they are logged on SIGUSR1 and at the end anyway",
    )
    config = commands.add_parser("config", help="read a configuration and print what was understood")
    for command in (serve, config):
        command.add_argument(
            "--config",
            default=os.environ.get("GW_CONFIG"),
            metavar="FILE",
            help="the configuration (default: the file that GW_CONFIG names)",
        )
        command.add_argument(
            "--operator", metavar="FILE", help="the operator file: what this installation adds"
        )
    check = commands.add_parser("check", help="ask a running gateway whether it serves; exit status 0 if so")
    check.add_argument("address", help="where it listens, as HOST:PORT")
    check.add_argument("--timeout", type=float, default=2.0, metavar="SECONDS", help="how long to wait (2)")
    trial = commands.add_parser("try", help="stand-ins and a gateway on loopback, without and with a door")
    trial.add_argument("--seconds", type=float, default=10, help="how long each run takes (10)")
    trial.add_argument("--door", choices=("both", "on", "off"), default="both", help="the runs (both)")
    trial.add_argument("--seed", type=int, default=1, help="for chance (1)")
    register = commands.add_parser("register", help="a register for the fleet on one machine")
    register.add_argument("--listen", default="127.0.0.1:2379", metavar="HOST:PORT", help="(127.0.0.1:2379)")
    register.add_argument(
        "--store", default="register.db", metavar="FILE", help="what it keeps (register.db)"
    )
    register.add_argument("--journal", metavar="FILE", help="add a line for each change to this file")
    register.add_argument("--fast", action="store_true", help="a loss of power may undo the last changes")
    register.add_argument("--scripted", action="store_true", help="faults may be asked for: for tests alone")
    fleet = commands.add_parser("fleet", help="what a fleet's register says")
    fleet.add_argument("what", choices=("members", "duties", "history", "budgets", "plan", "report"))
    fleet.add_argument("--register", default="127.0.0.1:2379", metavar="HOST:PORT", help="(127.0.0.1:2379)")
    fleet.add_argument("--name", default="main", help="which fleet (main)")
    fleet.add_argument("--json", action="store_true", help="a JSON object a line, for scripts")
    asked = fleet.add_argument_group("plan, report")
    asked.add_argument("--members", type=int, default=2, metavar="N", help="plan: for so many (2)")
    asked.add_argument("--whole", type=int, default=0, metavar="X", help="plan: of so much")
    asked.add_argument("--wants", default="", metavar="A,B,...", help="plan: what they want (each the whole)")
    asked.add_argument("--floor", type=int, default=1, help="plan: least part of each (1)")
    asked.add_argument("--grain", type=int, default=1, help="plan: least part that is of use (1)")
    asked.add_argument("--alone", type=int, default=0, help="plan: kept back for each (0)")
    asked.add_argument("--seconds", type=float, default=30, help="report: watched for so long (30)")
    asked.add_argument("--out", default="budgets.html", metavar="FILE", help="report: (budgets.html)")
    _policy(commands)
    rehearse = commands.add_parser("rehearse", help="play scripted faults on virtual time")
    rehearse.add_argument("--seeds", default="0:20", metavar="A:B", help="each draws a script (0:20)")
    rehearse.add_argument("--jobs", type=int, default=0, help="processes at once (as there are cores)")
    rehearse.add_argument("--replay", metavar="FILE", help="play this script, with the first of the seeds")
    rehearse.add_argument(
        "--shrink", metavar="FILE", help="cut the first script that breaks a rule down, and write it there"
    )
    commands.add_parser("version", help="print the version")
    return top


def main(argv=None):
    """Run one sub-command; its exit status."""
    args = parser().parse_args(argv)
    if args.command == "version":
        print(f"gullhold {__version__}")
        return 0
    if args.command == "try":
        from gullhold import demo  # noqa: PLC0415  heavy libraries

        return demo.run(
            args.seconds, {"both": (False, True), "on": (True,), "off": (False,)}[args.door], args.seed
        )
    if args.command == "register":
        from gullhold.testing.register import server  # noqa: PLC0415

        return server.main(args.listen, args.store, not args.fast, args.journal, args.scripted)
    if args.command == "fleet" and args.what in ("budgets", "plan", "report"):
        from gullhold.budgets import show as budgets  # noqa: PLC0415  heavy libraries

        if args.what == "plan":
            try:
                wants = [int(word) for word in args.wants.split(",") if word]
            except ValueError:
                print(
                    f"gullhold: --wants {args.wants}: whole numbers with commas are needed", file=sys.stderr
                )
                return 2
            return budgets.run_plan(
                args.members, args.whole, wants, args.floor, args.grain, args.alone, args.json
            )
        if args.what == "report":
            return budgets.run_report(args.register, args.name, args.seconds, args.out)
        return budgets.run(args.register, args.name, args.json)
    if args.command == "fleet":
        from gullhold.fleet import show  # noqa: PLC0415  heavy libraries

        return show.run(args.what, args.register, args.name, args.json)
    if args.command == "policy":
        from gullhold.rollout import policy_commands as policy  # noqa: PLC0415  heavy libraries

        return policy.run(args)
    if args.command == "rehearse":
        from gullhold.simulation import show as rehearsal  # noqa: PLC0415  heavy libraries

        return rehearsal.run(args.seeds, args.jobs, args.replay, args.shrink)
    from gullhold.net import service  # noqa: PLC0415  only these need what it imports

    if args.command == "check":
        return service.check(args.address, args.timeout)
    if args.command == "config":
        return service.explain(args.config, args.operator)
    return service.serve(args.config, args.report, args.operator)


if __name__ == "__main__":
    exit_status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(exit_status)  # what is left are threads that own nothing: hundreds of them would be waited for
