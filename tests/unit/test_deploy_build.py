"""The build that puts the programs beside their libraries."""

import pathlib
import shutil
import subprocess

BUILD = pathlib.Path(__file__).parents[2] / "deploy" / "build"


def _make(folder):
    (folder / "deploy").mkdir()
    (folder / "deploy" / "requirements.txt").touch()
    deps = folder / "target" / "deps"
    deps.mkdir(parents=True)
    (deps / ".installed").touch()
    shutil.copy(BUILD, folder / "deploy" / "build")
    _write(folder, "VALUE = 1\n")
    return deps / "spoolhead"


def _write(folder, text):
    package = folder / "src" / "spoolhead"
    package.mkdir(parents=True, exist_ok=True)
    (package / "__init__.py").write_text(text)


def _build(folder):
    command = ["sh", "deploy/build"]
    return subprocess.run(command, cwd=folder, capture_output=True).returncode


def test_the_programs_are_put_in_place_compiled_and_nothing_else_is_left(tmp_path):
    programs = _make(tmp_path)
    for number in (1, 2):
        _write(tmp_path, f"VALUE = {number}\n")
        assert _build(tmp_path) == 0
        assert (programs / "__init__.py").read_text() == f"VALUE = {number}\n"
        (compiled,) = (programs / "__pycache__").iterdir()
        assert b"target/deps/spoolhead/__init__.py" in compiled.read_bytes()
    assert [path.name for path in (tmp_path / "target").iterdir()] == ["deps"]
    assert not (programs / "spoolhead").exists()


def test_a_build_that_fails_leaves_the_programs_as_they_were(tmp_path):
    """Guards against a process that starts while its programs are gone."""
    programs = _make(tmp_path)
    assert _build(tmp_path) == 0
    _write(tmp_path, "VALUE = = 2\n")
    assert _build(tmp_path) != 0
    assert (programs / "__init__.py").read_text() == "VALUE = 1\n"
