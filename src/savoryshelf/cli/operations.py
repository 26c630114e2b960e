"""Commands for operations: status, targets, drain, return, replicas, tokens, completion."""

import secrets

import click

from ..tokens import OPERATOR, TARGET, TEAM_PREFIX, issue
from .main import main
from .output import show_object, show_rows


@main.command()
@click.pass_obj
def status(context) -> None:
    """Show the leader, the replicas and the entry hosts.

    Each entry host is shown with its configuration version.
    """
    content = context.client.call("GET", "/v1/operator/views/status").json()
    if context.as_json:
        show_object(content, True)
        return
    replicas, entries = content.pop("replicas"), content.pop("entries")
    show_object(content, False)
    click.echo("\nreplicas:")
    columns = ["replica_id", "address", "failure_domain", "votes", "behind", "heard_s_ago"]
    show_rows(replicas, columns, False)
    click.echo("\nentry hosts:")
    columns = ["entry_id", "url", "workers", "free_slots", "configuration_version", "heard_s_ago"]
    show_rows(entries, columns, False)


@main.command()
@click.pass_obj
def targets(context) -> None:
    """List the targets with their owners and their load."""
    rows = context.client.call("GET", "/v1/operator/views/targets").json()
    columns = [
        "worker_id", "standing", "owner", "epoch", "rack", "slots", "batch_running",
        "critical_in_flight", "quarantined", "slowdown",
    ]  # fmt: skip
    show_rows(rows, columns, context.as_json)


@main.command()
@click.argument("worker_id")
@click.pass_obj
def drain(context, worker_id: str) -> None:
    """Stop giving a target new work.

    Its batch tasks are moved to other targets.
    """
    _change_standing(context, worker_id, "drain")


@main.command(name="return")
@click.argument("worker_id")
@click.pass_obj
def return_target(context, worker_id: str) -> None:
    """Let a drained target accept work again."""
    _change_standing(context, worker_id, "return")


def _change_standing(context, worker_id: str, action: str) -> None:
    headers = {"Idempotency-Key": secrets.token_hex(12)}
    path = f"/v1/operator/targets/{worker_id}/{action}"
    show_object(context.client.call("POST", path, b"", headers).json(), context.as_json)


@main.command(name="remove-replica")
@click.argument("name")
@click.confirmation_option(prompt="Remove this control replica permanently?")
@click.pass_obj
def remove_replica(context, name: str) -> None:
    """Remove a control replica permanently.

    NAME is its host name or its replica id.
    """
    path = f"/v1/operator/replicas/{name}"
    show_object(context.client.call("DELETE", path).json(), context.as_json)


@main.command()
@click.argument("subject")
@click.option("--token-key", required=True, help="Secret from which the site's tokens are derived.")
@click.option(
    "--generation",
    default=1,
    help="Generation of the token; for a team, its token_generation; 1 by default.",
)
def token(subject: str, token_key: str, generation: int) -> None:
    """Print the token of SUBJECT: team:NAME, operator or target."""
    if subject not in (OPERATOR, TARGET) and not subject.startswith(TEAM_PREFIX):
        raise click.UsageError(
            f"subject {subject!r} is invalid; use team:NAME, {OPERATOR} or {TARGET}"
        )
    click.echo(issue(token_key, subject, generation))


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for SHELL."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    click.echo(completion_class(main, {}, "savoryshelf", "_SAVORYSHELF_COMPLETE").source())
