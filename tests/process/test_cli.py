"""The command line against a site of real processes."""

import json

import pytest
import yaml
from click.testing import CliRunner

from savoryshelf.cli.client import ExitCode
from savoryshelf.cli.main import main
from standins.site import Site


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = Site(str(tmp_path_factory.mktemp("site")), workers=3)
    with site.running():
        yield site


def invoke_cli(site, *arguments, token=None, body=b"", as_json=False):
    environment = {
        "SAVORYSHELF_ENTRIES": ",".join(site.entry_urls),
        "SAVORYSHELF_TOKEN": token or site.operator_token,
    }
    flags = ["--json"] if as_json else []
    return CliRunner().invoke(main, [*flags, *arguments], env=environment, input=body)


def json_output(site, *arguments, **options):
    result = invoke_cli(site, *arguments, as_json=True, **options)
    assert result.exit_code == 0, result.output
    return json.loads(result.stdout)


def write_yaml(path, content):
    path.write_text(yaml.safe_dump(content))
    return str(path)


def test_status_shows_the_leader_the_replicas_and_the_entry_hosts(site):
    status = json_output(site, "status")
    assert status["leader"] in [r["replica_id"] for r in status["replicas"]]
    assert {e["entry_id"] for e in status["entries"]} == {"e0", "e1"}
    assert "replicas:" in invoke_cli(site, "status").output


def test_a_configuration_change_is_diffed_applied_and_recorded(site, tmp_path):
    base = write_yaml(tmp_path / "base.yaml", site.declarations)
    overlay = write_yaml(tmp_path / "site.yaml", {"limits": {"max_waiting": 33}})
    before = json_output(site, "status")["configuration_version"]
    assert json_output(site, "diff", base, overlay) == [
        {"key": "limits.max_waiting", "in force": 64, "declared": 33}
    ]
    applied = json_output(site, "apply", base, overlay, "--operation-id", "from-a-test")
    assert (applied["version"], applied["duplicate"]) == (before + 1, False)
    resend_arguments = [
        "apply",
        base,
        overlay,
        "--operation-id",
        "from-a-test",
        "--expect",
        str(before),
    ]
    assert json_output(site, *resend_arguments)["duplicate"]
    conflict = invoke_cli(site, "apply", base, "--expect", str(before))
    assert conflict.exit_code == ExitCode.CONFLICT
    assert json_output(site, "history")[-1]["operation_id"] == "from-a-test"
    assert "max_waiting" in invoke_cli(site, "history", str(applied["version"])).output
    assert json_output(site, "diff", base, overlay) == []


def test_a_job_can_be_submitted_awaited_and_explained(site):
    team = site.team_token()
    body = b'{"key": "cli", "run_s": 0.2}'
    accepted = json_output(site, "submit", "routing", token=team, body=body)
    result = invoke_cli(site, "wait", accepted["job_id"], token=team)
    assert result.stdout_bytes == b"result of " + body
    history = json_output(site, "explain", accepted["job_id"])["story"]
    assert [event["event"] for event in history] == ["accepted", "placed", "done"]
    assert accepted["job_id"] in [job["job_id"] for job in json_output(site, "jobs", "done")]
    assert "placed" in invoke_cli(site, "explain", accepted["job_id"]).output


def test_waiting_for_a_running_job_times_out_and_it_can_be_cancelled(site):
    team = site.team_token()
    body = b'{"key": "long", "run_s": 60}'
    accepted = json_output(site, "submit", "routing", token=team, body=body)
    job_id = accepted["job_id"]
    assert (
        invoke_cli(site, "wait", job_id, "--seconds", "0", token=team).exit_code
        == ExitCode.NOT_ENDED
    )
    invoke_cli(site, "cancel", job_id, token=team)
    ended = invoke_cli(site, "wait", job_id, token=team)
    assert ended.exit_code == ExitCode.JOB_FAILED
    assert "cancelled" in ended.stderr


def test_a_critical_request_is_answered(site):
    answered = invoke_cli(site, "call", "quotes", token=site.team_token(), body=b"{}")
    assert answered.stdout_bytes == b"answer to {}"


def test_a_task_moves_off_a_drained_target_which_can_return(site):
    team = site.team_token()
    body = b'{"key": "moved", "run_s": 3}'
    job_id = json_output(site, "submit", "routing", token=team, body=body)["job_id"]

    def worker_of_job():
        return json_output(site, "explain", job_id)["worker"]

    worker_id = site.wait_for(worker_of_job, "the job to be placed")
    json_output(site, "drain", worker_id)
    site.wait_for(lambda: worker_of_job() not in ("", worker_id), "the job to move")
    standing = {t["worker_id"]: t["standing"] for t in json_output(site, "targets")}
    assert standing[worker_id] == "drained"
    json_output(site, "return", worker_id)
    result = invoke_cli(site, "wait", job_id, token=team)
    assert result.stdout_bytes == b"result of " + body
    events = [event["event"] for event in json_output(site, "explain", job_id)["story"]]
    assert events == ["accepted", "placed", "evicting", "evicted", "resumed", "done"]


def test_refused_and_unreachable_calls_have_their_own_exit_codes(site):
    unknown = invoke_cli(site, "explain", "no-such-job")
    assert unknown.exit_code == ExitCode.REFUSED
    assert invoke_cli(site, "status", token="nonsense").exit_code == ExitCode.REFUSED
    unreachable = CliRunner().invoke(
        main, ["--entries", "http://127.0.0.1:1", "--token", "x", "status"]
    )
    assert unreachable.exit_code == ExitCode.UNREACHABLE


def test_invalid_declarations_are_reported_by_key(tmp_path):
    path = write_yaml(tmp_path / "bad.yaml", {"customer": "c", "limits": {"max_waiting": -1}})
    result = CliRunner().invoke(main, ["check", path])
    assert result.exit_code == ExitCode.USAGE
    assert "limits.max_waiting: -1" in result.stderr


def test_a_shell_completion_script_is_printed():
    result = CliRunner().invoke(main, ["completion", "bash"])
    assert "_savoryshelf_completion" in result.output
