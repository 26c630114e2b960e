"""Entry point of ``savoryshelf``, the command-line program for operators and callers."""

import functools
import sys

import click

from ..errors import InvalidDeclarations
from .client import CallFailed, EntryClient, ExitCode

ENVIRONMENT_PREFIX = "SAVORYSHELF"


class Context:
    """Global options of the program, and the client of the entry hosts built from them."""

    def __init__(self, entries: str, token: str, as_json: bool):
        self.as_json = as_json
        self._entries = entries
        self._token = token

    @functools.cached_property
    def client(self) -> EntryClient:
        """Return the client; created on first use, because some commands need none."""
        if not self._entries or not self._token:
            raise click.UsageError(
                "use --entries and --token, or set SAVORYSHELF_ENTRIES and SAVORYSHELF_TOKEN"
            )
        return EntryClient(self._entries.split(","), self._token)


class _ErrorReportingGroup(click.Group):
    """Reports exceptions of the commands as messages and exit codes."""

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
@click.option(
    "--entries",
    default="",
    help="URLs of entry hosts or of their load balancer, separated by commas; by default "
    "the environment variable SAVORYSHELF_ENTRIES.",
)
@click.option(
    "--token",
    default="",
    help="Your token; prefer the environment variable SAVORYSHELF_TOKEN.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of tables.")
@click.pass_context
def main(ctx, entries: str, token: str, as_json: bool) -> None:
    """Operate savoryshelf, or send requests and jobs to it.

    Exit status: 0 done, 1 refused, 2 invalid usage or declarations, 3 no entry
    host or control leader answered, 4 conflict, 5 the outcome is unknown, 6 the
    job has not ended, 7 the job ended without a result.
    """
    ctx.obj = Context(entries, token, as_json)


from . import declarations, jobs, operations  # noqa: E402, F401  (they register their commands)

if __name__ == "__main__":
    main()
