"""Commands for requests and jobs: call, submit, wait, cancel, jobs, explain."""

import datetime
import secrets
import sys
import time

import click

from .client import CallFailed, ExitCode
from .main import main
from .output import show_object, show_rows

LONG_POLL_SECONDS = 20.0
_END_STATES = ("done", "failed", "cancelled", "unknown")


@main.command()
@click.argument("service")
@click.argument("body", type=click.File("rb"), default="-")
@click.pass_obj
def call(context, service: str, body) -> None:
    """Send a critical request and print the response body.

    BODY is a file; standard input is read by default.
    """
    reply = context.client.call("POST", f"/v1/services/{service}", body.read())
    sys.stdout.buffer.write(reply.body)


@main.command()
@click.argument("class_name")
@click.argument("body", type=click.File("rb"), default="-")
@click.option("--key", help="Idempotency key; a key that was used before creates no second job.")
@click.option("--urgent", is_flag=True, help="Place the job before ordinary jobs.")
@click.option(
    "--wait", "wait_s", type=float, help="Wait up to this many seconds for the job to end."
)
@click.pass_obj
def submit(context, class_name: str, body, key: str | None, urgent: bool, wait_s) -> None:
    """Submit a batch job of CLASS_NAME and print its id.

    The id is printed once the job is durable.  BODY is a file; standard input
    is read by default.
    """
    key = key or secrets.token_hex(12)
    headers = {"Idempotency-Key": key} | ({"Savoryshelf-Urgent": "1"} if urgent else {})
    try:
        reply = context.client.call("POST", f"/v1/jobs/{class_name}", body.read(), headers)
    except CallFailed:
        click.echo(f"key: {key}  (pass it as --key to submit the job again)", err=True)
        raise
    accepted = reply.json() | {"key": key}
    show_object(accepted, context.as_json)
    if wait_s:
        _print_result(context, accepted["job_id"], wait_s)


@main.command()
@click.argument("job_id")
@click.option("--seconds", default=60.0, help="Maximum time to wait, in seconds; 60 by default.")
@click.pass_obj
def wait(context, job_id: str, seconds: float) -> None:
    """Wait for a job to end and print its result."""
    _print_result(context, job_id, seconds)


def _print_result(context, job_id: str, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while True:
        remaining = max(0.0, deadline - time.monotonic())
        poll_seconds = min(remaining, LONG_POLL_SECONDS)
        path = f"/v1/jobs/{job_id}?wait={poll_seconds:.1f}"
        content = context.client.call("GET", path, timeout=poll_seconds + 10.0).json()
        if content["state"] in _END_STATES or remaining <= 0:
            break
    if content["state"] == "done":
        reply = context.client.call("GET", f"/v1/jobs/{job_id}/result")
        sys.stdout.buffer.write(reply.body)
        return
    message = f"job {job_id} is {content['state']}: {content['reason'] or 'not ended yet'}"
    has_ended = content["state"] in _END_STATES
    raise CallFailed(message, ExitCode.JOB_FAILED if has_ended else ExitCode.NOT_ENDED)


@main.command()
@click.argument("job_id")
@click.pass_obj
def cancel(context, job_id: str) -> None:
    """Cancel a job; a job that has ended is not changed."""
    show_object(context.client.call("DELETE", f"/v1/jobs/{job_id}").json(), context.as_json)


@main.command()
@click.argument("only", required=False)
@click.pass_obj
def jobs(context, only: str | None) -> None:
    """List the newest jobs.

    ONLY is a state, a team or a class to select by.
    """
    path = f"/v1/operator/views/jobs?argument={only or ''}"
    rows = context.client.call("GET", path).json()
    columns = ["job_id", "team", "class", "state", "attempt", "worker", "evictions", "reason"]
    show_rows(rows, columns, context.as_json)


@main.command()
@click.argument("job_id")
@click.pass_obj
def explain(context, job_id: str) -> None:
    """Print the event history of a job.

    It shows when the job was accepted, placed, evicted, resumed and ended, and why.
    """
    content = context.client.call("GET", f"/v1/operator/views/explain?argument={job_id}").json()
    if context.as_json:
        show_object(content, True)
        return
    events = content.pop("story")
    show_object(content, False)
    click.echo("story:")
    for event in events:
        event_time = datetime.datetime.fromtimestamp(event["at_ms"] / 1000, datetime.UTC)
        click.echo(
            f"  {event_time:%Y-%m-%d %H:%M:%S.%f}  {event['event']}  {event['detail']}".rstrip()
        )
