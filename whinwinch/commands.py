"""Command-line interface: parses the arguments and runs the command."""

import argparse
import os
import sys

from . import __version__
from .errors import InputErrors, UserError
from .operators import commands as operators

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130


def main(arguments=None, environment=os.environ):
    """Run one command.

    Args:
        arguments: Arguments of the command line, ``sys.argv[1:]`` by default.
        environment: Environment variables.

    Returns:
        The exit code: 0 for success, 1 for a failure, 2 for invalid usage or input,
            130 after an interrupt.
    """
    parsed = build_parser().parse_args(arguments)
    try:
        return parsed.run(parsed, environment)
    except InputErrors as errors:
        print(f"whinwinch: {errors.message}:", file=sys.stderr)
        for finding in errors.findings:
            print(f"  {finding.place}: {finding.problem}", file=sys.stderr)
        return EXIT_USAGE
    except UserError as error:
        print(f"whinwinch: {error}", file=sys.stderr)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of a pipe has exited, as in `whinwinch watch | head`.
        sys.stderr.close()
        return EXIT_OK


def build_parser():
    """Return the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="whinwinch",
        description="Overload control layer for service call graphs.",
    )
    parser.add_argument(
        "--version", action="version", version=f"whinwinch {__version__}"
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_daemon(commands)
    _add_apply(commands)
    _add_get(commands)
    _add_delete(commands)
    _add_watch(commands)
    _add_history(commands)
    _add_status(commands)
    _add_drain(commands)
    _add_replay(commands)
    _add_explain(commands)
    _add_fleet(commands)
    return parser


def _add_daemon(commands):
    # Imported lazily: operators' commands need none of what a daemon needs.
    from . import settings

    parser = commands.add_parser(
        "daemon",
        help="run the daemon beside a backend server",
        description="Run the daemon beside a backend server. Every setting can be "
        "given as a flag or as the environment variable shown with it; the flag "
        "takes precedence.",
        epilog="from the environment only:\n" + settings.describe_secrets(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    settings.add_arguments(parser)
    parser.set_defaults(run=run_daemon)


def _add_apply(commands):
    parser = _add_operator_command(
        commands, "apply", "create or replace resources", operators.run_apply
    )
    parser.add_argument("files", metavar="FILE", nargs="+", help="JSON; - for stdin")
    parser.add_argument(
        "--if-version",
        type=int,
        metavar="N",
        help="replace only this version of the resource; 0 only creates",
    )


def _add_get(commands):
    parser = _add_operator_command(commands, "get", "show resources", operators.run_get)
    parser.add_argument("name", nargs="?", help="name of a service; all by default")


def _add_delete(commands):
    parser = _add_operator_command(
        commands, "delete", "delete a resource", operators.run_delete
    )
    parser.add_argument("name", help="name of a service")
    parser.add_argument(
        "--if-version", type=int, metavar="N", help="delete only this version"
    )


def _add_watch(commands):
    parser = _add_operator_command(
        commands, "watch", "print changes as they take effect", operators.run_watch
    )
    parser.add_argument(
        "--after", type=int, metavar="VERSION", help="begin after this version"
    )
    parser.add_argument(
        "--most", type=int, metavar="N", help="end after this many changes"
    )


def _add_history(commands):
    _add_operator_command(
        commands, "history", "show who changed what and when", operators.run_history
    )


def _add_status(commands):
    _add_operator_command(
        commands, "status", "show the status of a daemon", operators.run_status
    )


def _add_drain(commands):
    _add_operator_command(
        commands,
        "drain",
        "drain the backend server beside a daemon without losing requests",
        operators.run_drain,
    )


def _add_replay(commands):
    parser = commands.add_parser(
        "replay", help="check a recorded trace for violated guarantees"
    )
    parser.add_argument(
        "traces",
        metavar="TRACE",
        nargs="+",
        help="file of JSON lines; several files of one mesh are merged by time",
    )
    parser.set_defaults(run=run_replay)


def _add_explain(commands):
    summary = "explain from the logs of daemons why a request failed"
    parser = commands.add_parser("explain", help=summary, description=summary)
    parser.add_argument(
        "identifier",
        metavar="ID",
        help="identifier of the request, as its caller sent it",
    )
    parser.add_argument(
        "logs", metavar="LOG", nargs="+", help="file of structured log lines"
    )
    parser.set_defaults(run=run_explain)


def _add_fleet(commands):
    summary = "show the state of all daemons, from their metrics pages"
    parser = commands.add_parser("fleet", help=summary, description=summary)
    parser.add_argument(
        "addresses", metavar="HOST:PORT", nargs="*", help="address of a metrics page"
    )
    parser.add_argument(
        "--addresses-from", metavar="FILE", help="file with one address per line"
    )
    parser.add_argument(
        "--seconds", type=float, default=2.0, help="interval for rates [2]"
    )
    parser.set_defaults(run=run_fleet)


def _add_operator_command(commands, name, summary, run):
    parser = commands.add_parser(name, help=summary, description=summary)
    parser.add_argument(
        "--server",
        metavar="URL",
        help=f"comma-separated addresses of daemons "
        f"[{operators.SERVER_VARIABLE}; {operators.DEFAULT_SERVER}]; the token is "
        f"read from {operators.TOKEN_VARIABLE}",
    )
    parser.add_argument(
        "--output",
        choices=("text", "json"),
        default="text",
        help="format of the output",
    )
    parser.set_defaults(run=run)
    return parser


def run_daemon(arguments, environment):
    """Run a daemon until it is stopped."""
    from . import daemon, settings

    return daemon.run(settings.read_settings(arguments, environment))


def run_replay(arguments, environment):
    """Check a recorded trace for violated guarantees."""
    del environment
    from . import traces

    first, *others = arguments.traces
    try:
        replay = (
            traces.replay_files([first, *others])
            if others
            else traces.replay_file(first)
        )
    except OSError as error:
        raise UserError(str(error)) from error
    print(replay.text)
    return replay.code


def run_fleet(arguments, environment):
    """Show the state of all daemons."""
    del environment
    from . import fleet

    addresses = list(arguments.addresses)
    if arguments.addresses_from:
        try:
            with open(arguments.addresses_from, encoding="utf-8") as lines:
                addresses += [line.strip() for line in lines if line.strip()]
        except OSError as error:
            raise UserError(str(error)) from error
    if not addresses:
        raise UserError("pass the addresses of metrics pages or a file of them")
    if arguments.seconds <= 0.0:
        raise UserError("--seconds must be greater than 0")
    state = fleet.measure_fleet(addresses, arguments.seconds)
    print("\n".join(fleet.render_fleet(state)))
    return EXIT_FAILED if state.unreachable else EXIT_OK


def run_explain(arguments, environment):
    """Explain from the logs why a request failed."""
    del environment
    from . import explanations

    try:
        logs = explanations.read_logs(arguments.logs)
    except OSError as error:
        raise UserError(str(error)) from error
    explanation = explanations.explain(logs, arguments.identifier)
    print(explanations.format_explanation(explanation, arguments.identifier))
    if logs.unreadable:
        print(f"{logs.unreadable} lines could not be read.")
    return EXIT_OK if explanation.lines else EXIT_FAILED
