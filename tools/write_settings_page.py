"""Generates ``docs/SETTINGS.md`` from the settings classes in the source."""

import dataclasses
import pathlib
import re
import types
import typing

import pydantic

from spoolhead._internal.models import settings

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "SETTINGS.md"
INTRODUCTION = """# Settings

Every setting of every program, written by `tools/write_settings_page.py` from the types in
`models/settings.py`. Files are JSON with comments; unknown names and wrong types are refused, and
`spoolhead check` names each fault. On the users' platform the same settings are filled from the
platform's own file; what that does not name keeps the default given here. A default of a time,
count or size is what one entry or keeper was measured with; `docs/BENCHMARKS.md` and
`docs/CAPACITY.md` have the runs.
"""
UNITS = {
    "bytes_per_s": "bytes a second",
    "ms": "milliseconds",
    "s": "seconds",
    "bytes": "bytes",
    "mbps": "Mbit/s",
    "tokens": "tokens",
    "port": "port number",
    "ratio": "share",
}
COUNTS = "count"
_UNIONS = (typing.Union, types.UnionType)


def get_classes():
    """Return the settings classes of programs and of groups, in the order of the source."""
    return [
        item
        for item in vars(settings).values()
        if isinstance(item, type)
        and dataclasses.is_dataclass(item)
        and item.__module__ == settings.__name__
    ]


def make_page():
    """Return the text of the page."""
    return "\n".join([INTRODUCTION, *map(_make_section, get_classes())])


def _make_section(cls):
    lines = [f"## {cls.__name__}", "", _get_summary(cls), ""]
    lines += ["| setting | type | unit | default | bounds | meaning |", "|---|---|---|---|---|---|"]
    meanings = _get_meanings(cls)
    hints = typing.get_type_hints(cls, include_extras=True)
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        cells = [
            f"`{field.name}`",
            _get_type(hint),
            _get_unit(field.name, hint),
            _get_default(field),
            _get_bounds(hint),
            meanings.get(field.name) or _get_section_reference(hint),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join([*lines, ""])


def _get_summary(cls):
    return cls.__doc__.split("\n", 1)[0]


def _get_meanings(cls):
    found = re.findall(r":ivar (\w+): (.*?)(?=\n\s*:ivar|\s*$)", cls.__doc__, re.DOTALL)
    return {name: re.sub(r"\s+", " ", text).replace("``", "`").strip() for name, text in found}


def _get_section_reference(hint):
    """Return a reference to the section of a group of settings; empty for a single setting."""
    names = [cls.__name__ for cls in get_classes() if cls.__name__ in _get_type(hint)]
    return f"see {names[0]}" if names else ""


def _split_annotations(hint):
    """Return a type without its annotations, and the annotations."""
    annotations = []
    while typing.get_origin(hint) is typing.Annotated:
        hint, *more = typing.get_args(hint)
        annotations += more
    return hint, annotations


def _get_type(hint):
    plain, _ = _split_annotations(hint)
    if typing.get_origin(plain) in _UNIONS:
        return " or ".join(_get_type(part) for part in typing.get_args(plain))
    if typing.get_origin(plain) is list:
        return f"list of {_get_type(typing.get_args(plain)[0])}"
    return "none" if plain is type(None) else plain.__name__


def _get_unit(name, hint):
    plain, _ = _split_annotations(hint)
    for suffix, unit in UNITS.items():
        if name == suffix or name.endswith(f"_{suffix}"):
            return unit
    return COUNTS if plain is int else ""


def _get_default(field):
    default = field.default
    if isinstance(default, pydantic.fields.FieldInfo):
        factory = default.default_factory
        return f"a {factory.__name__}" if factory else "required"
    if default is dataclasses.MISSING:
        return "required"
    return "none" if default is None else f"`{default}`"


def _get_bounds(hint):
    plain, annotations = _split_annotations(hint)
    texts = []
    if typing.get_origin(plain) in _UNIONS:
        texts += [_get_bounds(part) for part in typing.get_args(plain)]
    for item in annotations:
        parts = item.metadata if isinstance(item, pydantic.fields.FieldInfo) else [item]
        texts += [_get_bound(part) for part in parts]
    return ", ".join(text for text in texts if text)


def _get_bound(item):
    signs = {"gt": "above", "ge": "at least", "lt": "below", "le": "at most"}
    texts = [f"{text} {getattr(item, name)}" for name, text in signs.items() if hasattr(item, name)]
    if getattr(item, "min_length", None):
        texts.append(f"length {item.min_length} or more")
    if getattr(item, "pattern", None):
        texts.append("`" + item.pattern.replace("|", "\\|") + "`")
    return ", ".join(texts)


if __name__ == "__main__":
    PAGE.write_text(make_page(), encoding="utf-8")
