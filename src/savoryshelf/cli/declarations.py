"""Commands for declarations: check, show, diff, apply, history."""

import getpass
import json
import secrets

import click
import yaml

from ..configuration.declarations import Declarations, from_document, to_content
from ..configuration.files import differences, load
from .client import CallFailed, ExitCode
from .main import main
from .output import show_object, show_rows

MAX_APPLY_ATTEMPTS = 3


def _file_arguments(command):
    command = click.argument("overlay", required=False, type=click.Path())(command)
    return click.argument("base", type=click.Path())(command)


@main.command()
@_file_arguments
def check(base: str, overlay: str | None) -> None:
    """Validate a BASE file and a site's OVERLAY.

    Reports each error with its file and key.
    """
    declarations = load(base, overlay)
    click.echo(
        f"valid: {declarations.customer} {declarations.site}, "
        f"{len(declarations.services)} services, {len(declarations.batch_classes)} batch classes, "
        f"{len(declarations.teams)} teams"
    )


@main.command()
@_file_arguments
@click.pass_obj
def show(context, base: str, overlay: str | None) -> None:
    """Print BASE merged with OVERLAY, with all defaults."""
    content = to_content(load(base, overlay))
    if context.as_json:
        click.echo(json.dumps(content, indent=2))
    else:
        click.echo(yaml.safe_dump(content, sort_keys=False), nl=False)


@main.command()
@_file_arguments
@click.pass_obj
def diff(context, base: str, overlay: str | None) -> None:
    """Compare BASE and OVERLAY with the version in force.

    OVERLAY is merged into BASE first.
    """
    _, current = _fetch_current(context)
    _show_differences(context, current, load(base, overlay))


@main.command()
@_file_arguments
@click.option(
    "--expect",
    type=int,
    help="Apply only if this version is in force; by default the one read when the command starts.",
)
@click.option(
    "--operation-id", help="Id of the change; reuse it to resend a change whose reply was lost."
)
@click.option("--author", default="", help="Author of the change; your user name by default.")
@click.pass_obj
def apply(
    context, base: str, overlay: str | None, expect: int | None, operation_id: str | None, author
) -> None:
    """Apply BASE and OVERLAY as the new version in force.

    OVERLAY is merged into BASE first.  If another change has been applied since
    the expected version, nothing is applied and the exit status is 4.
    """
    declarations = load(base, overlay)
    version, current = _fetch_current(context)
    change = {
        "declarations": to_content(declarations),
        "expected_version": version if expect is None else expect,
        "operation_id": operation_id or secrets.token_hex(12),
        "author": author or getpass.getuser(),
    }
    if not context.as_json:
        _show_differences(context, current, declarations)
    show_object(_send_until_certain(context, change), context.as_json)


def _send_until_certain(context, change: dict) -> dict:
    """Send a change until its outcome is known, at most MAX_APPLY_ATTEMPTS times.

    Its operation id makes retries idempotent.
    """
    body = json.dumps(change).encode()
    attempts_remaining = MAX_APPLY_ATTEMPTS
    while True:
        attempts_remaining -= 1
        try:
            reply = context.client.call("PUT", "/v1/operator/configuration", body)
            return reply.json() | {"operation_id": change["operation_id"]}
        except CallFailed as error:
            is_outcome_unknown = error.exit_code in (ExitCode.OUTCOME_UNKNOWN, ExitCode.UNREACHABLE)
            if not is_outcome_unknown or not attempts_remaining:
                click.echo(
                    f"operation id: {change['operation_id']}"
                    "  (pass it as --operation-id to resend this change)",
                    err=True,
                )
                raise


@main.command()
@click.argument("version", required=False)
@click.pass_obj
def history(context, version: str | None) -> None:
    """List the changes of the configuration, or print a VERSION.

    Only the newest changes are kept.  A VERSION is printed as JSON.
    """
    if version:
        argument = f"?argument={version}"
        content = context.client.call("GET", f"/v1/operator/views/configuration{argument}").json()
        show_object(json.loads(content["document"]), True)
        return
    rows = context.client.call("GET", "/v1/operator/views/history").json()
    show_rows(rows, ["version", "author", "at_ms", "operation_id"], context.as_json)


def _fetch_current(context) -> tuple[int, Declarations]:
    content = context.client.call("GET", "/v1/operator/views/configuration").json()
    document = content["document"]
    declarations = from_document(document) if document else Declarations(customer="")
    return content["version"], declarations


def _show_differences(context, before: Declarations, after: Declarations) -> None:
    rows = [
        {"key": key, "in force": old, "declared": new}
        for key, old, new in differences(before, after)
    ]
    show_rows(rows, ["key", "in force", "declared"], context.as_json)
