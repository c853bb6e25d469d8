"""Entry point of the `quetzalward` program: arguments, errors, exit codes."""

import sys
import typing

import fire

from quetzalward_cli import _client
from quetzalward_cli import _output
from quetzalward_cli import commands
from quetzalward_core import errors

EXIT_FAILURE = 1
EXIT_CODE_BY_KIND = {
    errors.ErrorKind.CONFIG_INVALID: 2,
    errors.ErrorKind.MALFORMED_REQUEST: 2,
    errors.ErrorKind.CONFIG_CONFLICT: 3,
    errors.ErrorKind.OUTCOME_UNKNOWN: 4,
    errors.ErrorKind.LOG_UNAVAILABLE: 4,
    errors.ErrorKind.UNAUTHENTICATED: 5,
    errors.ErrorKind.FORBIDDEN: 5,
}


# Replace the remedies of `errors.PROBLEM_TYPES`, which address callers of the
# nodes. Every command is safe to repeat: a repeated order or publication has
# no further effect.
_REMEDY_BY_KIND = {
    errors.ErrorKind.OUTCOME_UNKNOWN: (
        "Look at `quetzalward status` and repeat the command; that is safe."
    ),
    errors.ErrorKind.LOG_UNAVAILABLE: (
        "Check the nodes' addresses, the nodes and the log; then repeat."
    ),
}


def _with_explicit_json_value(arguments: typing.Sequence[str]) -> list[str]:
    # fire would take the argument after a bare --json as its value.
    return ["--json=True" if a == "--json" else a for a in arguments]


def _report_error(error: errors.QuetzalwardError) -> int:
    """Print an error with its remedy to stderr and return the exit code."""
    remedy = _REMEDY_BY_KIND.get(error.kind, error.problem_type.remedy)
    print(f"error: {error}\n  {remedy}", file=sys.stderr)
    return EXIT_CODE_BY_KIND.get(error.kind, EXIT_FAILURE)


def main(arguments: typing.Sequence[str] | None = None) -> None:
    """Run one command; on an error, exit with its documented exit code.

    The arguments default to those of the process.
    """
    argv = sys.argv[1:] if arguments is None else arguments
    try:
        fire.Fire(
            commands.Quetzalward,
            command=_with_explicit_json_value(argv),
            name="quetzalward",
            serialize=_output.serialize,
        )
    except errors.QuetzalwardError as error:
        sys.exit(_report_error(error))
    except (_client.ResponseLostError, OSError) as error:
        kind = errors.ErrorKind.OUTCOME_UNKNOWN
        sys.exit(_report_error(errors.QuetzalwardError(kind, str(error))))
    except KeyboardInterrupt:
        print("error: interrupted", file=sys.stderr)
        sys.exit(EXIT_FAILURE)
