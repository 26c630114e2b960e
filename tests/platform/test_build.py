"""What the build of the deploy file leaves for the processes."""

import importlib.util
import os
import pathlib
import shutil
import subprocess
import sys
import tomllib

import pytest

from .test_whole_path import ROOT

DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def build(root):
    # Byte code is of the interpreter that runs the test.
    path = os.pathsep.join([os.path.dirname(sys.executable), os.environ["PATH"]])
    command = ["/bin/sh", "-c", DEPLOY["build"]]
    subprocess.run(command, cwd=root, env=os.environ | {"PATH": path}, check=True)


@pytest.fixture(scope="module")
def built(tmp_path_factory):
    """A copy of the sources after a build; its libraries are there already."""
    root = tmp_path_factory.mktemp("built")
    for name in ("src", "platform", "deploy"):
        shutil.copytree(ROOT / name, root / name, ignore=shutil.ignore_patterns("__pycache__"))
    libraries = root / "target" / "deps"
    libraries.mkdir(parents=True)
    # Newer than the requirements, so that nothing is installed.
    os.utime(libraries, (2**31 - 2, 2**31 - 2))
    build(root)
    return root


# Guards against processes that compile all sources at each start, as they cannot write byte code.
def test_the_build_compiles_every_source(built):
    sources = [*(built / "src").rglob("*.py"), *(built / "platform").rglob("*.py")]
    assert sources
    for source in sources:
        assert os.path.exists(importlib.util.cache_from_source(str(source))), source


# Guards against byte code that is passed over since a copy of the repository has other file times.
def test_byte_code_is_checked_by_the_contents_of_its_source(built):
    source = built / "platform" / "savoryshelf_platform" / "core.py"
    code = pathlib.Path(importlib.util.cache_from_source(str(source))).read_bytes()
    flags = int.from_bytes(code[4:8], "little")
    assert flags == 0b11
    assert code[8:16] == importlib.util.source_hash(source.read_bytes())


def test_the_build_succeeds_where_the_sources_cannot_be_written(built):
    folder = built / "src" / "savoryshelf"
    shutil.rmtree(folder / "__pycache__", ignore_errors=True)
    # A file in place of the folder also stops a user who may write everywhere.
    (folder / "__pycache__").write_text("")
    build(built)
