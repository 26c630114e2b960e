import subprocess
import sys

from .test_whole_path import ROOT


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
