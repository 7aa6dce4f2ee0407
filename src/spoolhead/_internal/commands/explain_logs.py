"""``spoolhead explain --log``: traces a request through saved log lines."""

import pathlib
import sys
from collections.abc import Iterator

from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.models import codes
from spoolhead._internal.utils import log_trace, logs

STANDARD_INPUT = "-"


def run(request_id: str, paths: list[str], *, as_json: bool) -> exit_codes.ExitCode:
    """Print the log lines that concern a request.

    :param paths: files, one per process or merged; ``-`` for standard input.
    """
    try:
        trace = log_trace.build_trace(read_lines(paths), request_id)
    except OSError as error:
        output.print_error(str(error))
        return exit_codes.ExitCode.BAD_INPUT
    if not trace.request_lines:
        text = codes.CODE_INFO[codes.ResultCode.DECISION_NOT_FOUND].meaning
        output.print_error(f"{text} [{int(codes.ResultCode.DECISION_NOT_FOUND)}]")
        return exit_codes.ExitCode.NOT_FOUND
    if as_json:
        output.print_json([_as_dict(line) for line in (*trace.request_lines, *trace.context_lines)])
        return exit_codes.ExitCode.OK
    start_s = trace.request_lines[0].time_s
    for line in trace.request_lines:
        _print_line(line, start_s)
    if not trace.has_end:
        print("no line tells its end: the process ended first, or the line was dropped")
    print("what the process believed:")
    for line in trace.context_lines:
        _print_line(line, start_s)
    return exit_codes.ExitCode.OK


def read_lines(paths: list[str]) -> Iterator[log_trace.Line]:
    """Read the log lines of files.

    :param paths: files, one per process or merged; ``-`` for standard input.
    :raises OSError: if a file cannot be read.
    """
    for path in paths:
        name = "" if path == STANDARD_INPUT else pathlib.Path(path).stem
        for text in _read_texts(path):
            line = log_trace.read_line(name, text)
            if line is not None:
                yield line


def _read_texts(path: str) -> Iterator[str]:
    if path == STANDARD_INPUT:
        yield from sys.stdin
        return
    with pathlib.Path(path).open(encoding="utf-8", errors="replace") as stream:
        yield from stream


def _print_line(line: log_trace.Line, start_s: float) -> None:
    fields = " ".join(
        f"{name}={logs.format_value(value)}"
        for name, value in line.fields.items()
        if name != "request"
    )
    print(f"{(line.time_s - start_s) * 1000:+8.0f} ms  {line.process}  {line.text}  {fields}")


def _as_dict(line: log_trace.Line) -> dict[str, object]:
    return {
        "process": line.process,
        "time_s": line.time_s,
        "text": line.text,
        "fields": line.fields,
    }
