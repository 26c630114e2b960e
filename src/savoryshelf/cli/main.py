"""``savoryshelf``: what operators and callers do from a shell."""

import functools
import sys

import click

from ..errors import InvalidDeclarations
from .client import CallFailed, EntryClient, ExitCode

ENVIRONMENT_PREFIX = "SAVORYSHELF"


class Context:
    """What every command shares."""

    def __init__(self, entries: str, token: str, as_json: bool):
        self.as_json = as_json
        self._entries = entries
        self._token = token

    @functools.cached_property
    def client(self) -> EntryClient:
        """Return the client; made late, since some commands need none."""
        if not self._entries or not self._token:
            raise click.UsageError(
                "give --entries and --token, or set SAVORYSHELF_ENTRIES and SAVORYSHELF_TOKEN"
            )
        return EntryClient(self._entries.split(","), self._token)


class _ErrorReportingGroup(click.Group):
    """Turns typed failures into messages and exit codes."""

    def invoke(self, ctx):
        try:
            return super().invoke(ctx)
        except CallFailed as error:
            click.echo(f"savoryshelf: {error}", err=True)
            sys.exit(error.exit_code)
        except InvalidDeclarations as group:
            for problem in group.exceptions:
                click.echo(f"savoryshelf: {problem}", err=True)
            sys.exit(ExitCode.USAGE)


@click.group(cls=_ErrorReportingGroup, context_settings={"auto_envvar_prefix": ENVIRONMENT_PREFIX})
@click.option("--entries", default="", help="URLs of entry hosts, or the balancer's.")
@click.option("--token", default="", help="Your token; better set it in the environment.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of tables.")
@click.pass_context
def main(ctx, entries: str, token: str, as_json: bool) -> None:
    """Operate savoryshelf, or call it.

    Exit status: 0 done, 1 refused, 2 wrong usage or declarations, 3 nobody
    answered, 4 conflict, 5 the outcome is unknown, 6 the job has not ended,
    7 the job ended without a result.
    """
    ctx.obj = Context(entries, token, as_json)


from . import declarations, jobs, operations  # noqa: E402, F401  (they add their commands)

if __name__ == "__main__":
    main()
