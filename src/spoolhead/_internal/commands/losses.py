"""``spoolhead losses``: counts outcomes of requests and causes of losses in saved log lines."""

from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.commands import explain_logs
from spoolhead._internal.utils import log_losses

MAX_BAR_CHARACTERS = 40


def run(paths: list[str], *, as_json: bool) -> exit_codes.ExitCode:
    """Print for each route how many requests had which outcome, as a bar chart.

    :param paths: files, one per process or merged; ``-`` for standard input.
    """
    try:
        counts = log_losses.count(explain_logs.read_lines(paths))
    except OSError as error:
        output.print_error(str(error))
        return exit_codes.ExitCode.BAD_INPUT
    ordered = sorted(counts.items(), key=lambda item: (item[0][0], -item[1].requests))
    if as_json:
        output.print_json([_as_dict(route, cause, count) for (route, cause), count in ordered])
        return exit_codes.ExitCode.OK
    for route in sorted({route for route, _ in counts}):
        _print_route(
            route, {cause: route_count for (name, cause), route_count in ordered if name == route}
        )
    return exit_codes.ExitCode.OK


def _print_route(route: str, counts: dict[log_losses.Cause, log_losses.Count]) -> None:
    total = sum(count.requests for count in counts.values())
    print(f"{route or '(no route)'}: {total} requests")
    for cause, count in counts.items():
        bar = "#" * max(1, round(MAX_BAR_CHARACTERS * count.requests / total))
        percent = 100 * count.requests / total
        print(f"  {count.requests:6d} {percent:5.1f}%  {cause.value:38s} {bar}")
        if cause is not log_losses.Cause.IN_TIME:
            print(f"          {count.events} events passed on; {' '.join(count.examples)}")


def _as_dict(route: str, cause: log_losses.Cause, count: log_losses.Count) -> dict[str, object]:
    return {
        "route": route,
        "cause": cause.value,
        "requests": count.requests,
        "events": count.events,
        "examples": count.examples,
    }
