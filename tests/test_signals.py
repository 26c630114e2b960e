import signal
import subprocess
import sys
import time

import pytest

IDLE_SECONDS = 5.0

SCRIPT = f"""
import signal, warnings
warnings.simplefilter("ignore")
import eventlet
eventlet.monkey_patch()
from savoryshelf import signals

signals.on_first_signal(signal.SIGTERM, lambda: print("acted", flush=True))
eventlet.spawn_after(0.1, print, "idle", flush=True)
eventlet.sleep({IDLE_SECONDS})
"""


@pytest.fixture
def idle_process():
    """Yield a process whose hub waits for nothing but a distant timer."""
    process = subprocess.Popen([sys.executable, "-c", SCRIPT], stdout=subprocess.PIPE, text=True)
    assert process.stdout.readline() == "idle\n"
    yield process
    process.kill()
    process.communicate()


# Guards against a stop that begins only at the next timer of the process, and so ends late.
def test_an_idle_process_acts_on_a_signal_at_once(idle_process):
    sent_at = time.monotonic()
    idle_process.send_signal(signal.SIGTERM)
    assert idle_process.stdout.readline() == "acted\n"
    assert time.monotonic() - sent_at < IDLE_SECONDS / 2


def test_a_repeated_signal_acts_once(idle_process):
    for _ in range(3):
        idle_process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
    idle_process.wait(2 * IDLE_SECONDS)
    assert idle_process.stdout.read() == "acted\n"
