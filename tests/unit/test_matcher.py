"""Routes by host and longest prefix, compared with a naive search."""

import hypothesis
from hypothesis import strategies

from spoolhead._internal.models import route_table
from spoolhead._internal.routing import matcher

PARTS = strategies.lists(strategies.sampled_from(("a", "b", "ab")), max_size=4)


def _make_route(prefix, host="h"):
    return route_table.Route(
        name=prefix,
        host=host,
        path_prefix=prefix,
        kind=route_table.RequestKind.ONCE,
        timeout_ms=1,
        objective_ms=1,
        priority=0,
        shares=(route_table.Share(service="s", weight=1),),
        attempts=1,
        is_public=True,
        pause_ms=0,
    )


def _join(parts, end):
    return "/" + "".join(f"{part}/" for part in parts) + end


@hypothesis.given(strategies.sets(PARTS.map(tuple), max_size=8), PARTS, PARTS.map("".join))
def test_the_longest_prefix_is_found(prefixes, path_parts, last):
    routes = [_make_route(_join(parts, "")) for parts in prefixes]
    table = route_table.RouteTable(
        version=1,
        routes=routes,
        services=[],
        workspaces=None,
        bounds=route_table.CallerBounds(),
    )
    path = _join(path_parts, last)
    fitting = [route for route in routes if path.startswith(route.path_prefix)]
    expected = max(fitting, key=lambda route: len(route.path_prefix), default=None)
    assert matcher.Matcher(table).find_route("h", path) is expected


def test_a_path_of_slashes_alone_costs_no_more_than_the_longest_prefix():
    table = route_table.RouteTable(
        version=1,
        routes=[_make_route("/a/")],
        services=[],
        workspaces=None,
        bounds=route_table.CallerBounds(),
    )
    assert matcher.Matcher(table).find_route("h", "/" * 1_000_000) is None
