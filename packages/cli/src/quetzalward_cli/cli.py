"""The `quetzalward` program: hands over to the commands."""

import sys
import typing

import fire

from quetzalward_cli import _client
from quetzalward_cli import _output
from quetzalward_cli import commands
from quetzalward_core import errors

EXIT_FAILED = 1
EXIT_BY_KIND = {
    errors.ErrorKind.CONFIG_INVALID: 2,
    errors.ErrorKind.MALFORMED_REQUEST: 2,
    errors.ErrorKind.CONFIG_CONFLICT: 3,
    errors.ErrorKind.OUTCOME_UNKNOWN: 4,
    errors.ErrorKind.LOG_UNAVAILABLE: 4,
    errors.ErrorKind.UNAUTHENTICATED: 5,
    errors.ErrorKind.FORBIDDEN: 5,
}


# The table's remedies are for callers of the nodes. Every command may be
# repeated: a repeated order or publication changes nothing further.
_REMEDY_BY_KIND = {
    errors.ErrorKind.OUTCOME_UNKNOWN: (
        "Look at `quetzalward status` and repeat the command; that is safe."
    ),
    errors.ErrorKind.LOG_UNAVAILABLE: (
        "Check the nodes' addresses, the nodes and the log; then repeat."
    ),
}


def _explicit_flags(arguments: typing.Sequence[str]) -> list[str]:
    # fire takes the word after a bare flag as the flag's value.
    return ["--json=True" if a == "--json" else a for a in arguments]


def _explain(error: errors.QuetzalwardError) -> int:
    """Print an error with its remedy and return the exit status."""
    remedy = _REMEDY_BY_KIND.get(error.kind, error.problem_type.remedy)
    print(f"error: {error}\n  {remedy}", file=sys.stderr)
    return EXIT_BY_KIND.get(error.kind, EXIT_FAILED)


def main(arguments: typing.Sequence[str] | None = None) -> None:
    """Run one command and exit with its documented status."""
    given = sys.argv[1:] if arguments is None else arguments
    try:
        fire.Fire(
            commands.Quetzalward,
            command=_explicit_flags(given),
            name="quetzalward",
            serialize=_output.serialize,
        )
    except errors.QuetzalwardError as error:
        sys.exit(_explain(error))
    except (_client.LostAnswer, OSError) as error:
        kind = errors.ErrorKind.OUTCOME_UNKNOWN
        sys.exit(_explain(errors.QuetzalwardError(kind, str(error))))
    except KeyboardInterrupt:
        print("error: interrupted", file=sys.stderr)
        sys.exit(EXIT_FAILED)
