import gc
import json
import subprocess
import sys
import time
import types

import eventlet
import pytest
from savoryshelf_platform import core_process
from savoryshelf_platform import main as main_module
from savoryshelf_platform import process as module
from savoryshelf_platform.settings import read_settings

from savoryshelf.observability import unforeseen
from standins.platform import platform_settings

from .test_whole_path import PORTS, ROOT, SEEDS


# Guards against a process that SIGHUP ends before its handlers are installed.
def test_sighup_is_ignored_from_the_start_of_the_program():
    program = (
        "import runpy, signal; runpy.run_path('platform/run.py');"
        "print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout == "True\n"


@pytest.fixture
def settings_file(tmp_path, monkeypatch):
    """Return a function that writes the settings with the given seeds."""
    path = tmp_path / "settings.json"
    monkeypatch.setenv("SAVORYSHELF_CONFIG", str(path))
    monkeypatch.setattr(module, "SETTINGS_CHECK_SECONDS", 0.01)
    monkeypatch.setattr(module, "on_signal", lambda number, action: None)

    def write(seeds):
        path.write_text(json.dumps(platform_settings("front", SEEDS[0], PORTS, seeds, "")))
        return read_settings(str(path))

    return write


# Guards against a change of the settings that is missed because it came during the start.
def test_a_change_of_the_settings_during_the_start_is_applied(settings_file):
    initial = settings_file(SEEDS[:2])
    settings_file(SEEDS)
    applied = []
    watching = eventlet.spawn(module.watch_settings, initial, applied.append)
    eventlet.sleep(0.1)
    watching.kill()
    assert [settings.seed_ips for settings in applied] == [SEEDS]


# Guards against a process that ends by itself after one odd value in its settings file.
def test_odd_settings_are_passed_over(settings_file, tmp_path):
    initial = settings_file(SEEDS[:2])
    applied = []

    def apply(settings):
        applied.append(settings.seed_ips)
        if len(applied) == 1:
            raise ValueError("cannot be applied")

    watching = eventlet.spawn(module.watch_settings, initial, apply)
    for content in (b'{"listen":[]}', b"[" * 100_000, b"[]"):
        (tmp_path / "settings.json").write_bytes(content)
        eventlet.sleep(0.05)
    settings_file(SEEDS[:1])
    eventlet.sleep(0.05)
    settings_file(SEEDS)
    eventlet.sleep(0.05)
    watching.kill()
    assert applied == [SEEDS[:1], SEEDS]


# Guards against a process that follows no change of its settings any more after one odd read.
def test_settings_are_followed_after_an_unforeseen_error(settings_file, monkeypatch):
    initial = settings_file(SEEDS[:2])
    applied, lines, failures = [], [], [RuntimeError("unforeseen")]
    monkeypatch.setattr(unforeseen, "log_event", lambda event, **fields: lines.append(fields))

    def read(path):
        if failures:
            raise failures.pop()
        return read_settings(path)

    monkeypatch.setattr(module, "read_settings", read)
    watching = eventlet.spawn(module.watch_settings, initial, applied.append)
    eventlet.sleep(0.05)
    assert not failures
    settings_file(SEEDS)
    eventlet.sleep(0.05)
    watching.kill()
    assert [settings.seed_ips for settings in applied] == [SEEDS]
    (line,) = lines
    assert (line["activity"], line["error"]) == ("watch settings", "RuntimeError('unforeseen')")


# Guards against a leader that sends no heartbeat while the garbage collector goes through all that
# was read from the disk.
def test_no_collection_goes_through_what_was_there_when_a_control_host_starts(
    monkeypatch, tmp_path
):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(platform_settings("core", SEEDS[0], PORTS, SEEDS, str(tmp_path))))
    read_state, tracked_at_start = [[]], []

    def start():
        tracked_at_start.extend(
            each for each in gc.get_objects() if each is read_state or each is vars(core_process)
        )

    host = types.SimpleNamespace(task_service=None, start=start, wait=lambda: None)
    monkeypatch.setattr(core_process, "TaskControlHost", lambda *settings, **started: host)
    monkeypatch.setattr(core_process, "serve", lambda address, answer: None)
    monkeypatch.setattr(core_process, "on_first_signal", lambda number, action: None)
    monkeypatch.setattr(core_process, "watch_settings", lambda current, apply: None)
    try:
        core_process.run(read_settings(str(path)), time.monotonic())
    finally:
        gc.unfreeze()
    assert tracked_at_start == []


# Guards against a process of either role that hangs and leaves nothing to tell where.
@pytest.mark.parametrize("role", ["front", "core"])
def test_each_role_is_watched_before_it_runs(role, monkeypatch, settings_file):
    settings_file(SEEDS[:1])
    begun = []
    watchdog = types.SimpleNamespace(start=lambda: begun.append("watchdog"))
    process = types.SimpleNamespace(run=lambda settings, program_began_at: begun.append("role"))
    monkeypatch.setattr(main_module, "HubWatchdog", lambda process_name: watchdog)
    monkeypatch.setattr(main_module, "start_logging", lambda process_name: None)
    monkeypatch.setattr(main_module.importlib, "import_module", lambda *names: process)
    try:
        main_module.main.main([role], obj=time.monotonic(), standalone_mode=False)
    finally:
        gc.unfreeze()
    assert begun == ["watchdog", "role"]
