"""deploy/build compiles the programs and installs them beside their libraries."""

import pathlib
import shutil
import subprocess

BUILD = pathlib.Path(__file__).parents[2] / "deploy" / "build"


def _make_tree(folder):
    (folder / "deploy").mkdir()
    (folder / "deploy" / "requirements.txt").touch()
    deps = folder / "target" / "deps"
    deps.mkdir(parents=True)
    (deps / ".installed").touch()
    shutil.copy(BUILD, folder / "deploy" / "build")
    _write_source(folder, "VALUE = 1\n")
    return deps / "spoolhead"


def _write_source(folder, text):
    package = folder / "src" / "spoolhead"
    package.mkdir(parents=True, exist_ok=True)
    (package / "__init__.py").write_text(text)


def _build(folder):
    command = ["sh", "deploy/build"]
    return subprocess.run(command, cwd=folder, capture_output=True).returncode


def test_the_programs_are_put_in_place_compiled_and_nothing_else_is_left(tmp_path):
    programs = _make_tree(tmp_path)
    for number in (1, 2):
        _write_source(tmp_path, f"VALUE = {number}\n")
        assert _build(tmp_path) == 0
        assert (programs / "__init__.py").read_text() == f"VALUE = {number}\n"
        (compiled,) = (programs / "__pycache__").iterdir()
        assert b"target/deps/spoolhead/__init__.py" in compiled.read_bytes()
    assert [path.name for path in (tmp_path / "target").iterdir()] == ["deps"]
    assert not (programs / "spoolhead").exists()


def test_a_build_that_fails_leaves_the_programs_as_they_were(tmp_path):
    """Guards against a failed build that removes the installed programs, so that a process that
    starts meanwhile does not find them.
    """
    programs = _make_tree(tmp_path)
    assert _build(tmp_path) == 0
    _write_source(tmp_path, "VALUE = = 2\n")
    assert _build(tmp_path) != 0
    assert (programs / "__init__.py").read_text() == "VALUE = 1\n"
