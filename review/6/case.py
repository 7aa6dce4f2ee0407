"""Invalid configurations are acknowledged, and one of them sends requests to a foreign service."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import world  # noqa: E402

HOST = world.HOST
OTHER_CASE = HOST.upper()


async def answer(replica, request, reader, writer):
    await world.read_body(request, reader)
    replica.record(f"{replica.service} runs {request.id}")
    writer.write(world.make_answer(request, replica.service.encode()))


def make_services():
    plain = {"health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}
    return [{"name": "app", **plain}, {"name": "desk", **plain}]


def make_valid(version):
    routes = [
        world.make_route("r-1", "/one/", "unsafe", "app"),
        world.make_route("r-2", "/two/", "unsafe", "desk"),
    ]
    return world.make_table(version, services=make_services(), routes=routes)


def make_unknown_service(version):
    table = make_valid(version)
    table["routes"][1]["service"] = "nowhere"
    table["routes"][1]["traffic_split"] = [{"service": "desk", "weight": 1}]
    return table


def make_shared_key(version):
    table = make_valid(version)
    tenant = table["tenants"][0]
    table["tenants"] = [tenant, {**tenant, "priority": 2}]
    return table


def make_same_place(version):
    table = make_valid(version)
    table["routes"].append(world.make_route("r-3", "/one/", "unsafe", "desk", host=OTHER_CASE))
    return table


async def ask(fleet, host, number):
    return await fleet.send("front-1", f"r{number}", "/one/x", Host=host)


async def main(record, trouble):
    fleet = world.Fleet(record)
    broken = []
    try:
        for name, service in (("i-a1", "app"), ("i-a2", "app"), ("i-d1", "desk"), ("i-d2", "desk")):
            await fleet.add_replica(name, service, answer)
        await fleet.start_serving(make_valid(3))
        makers = [make_unknown_service, make_shared_key, make_same_place]
        for number, make in enumerate(makers if trouble else [make_valid] * 3):
            version = 10 + 4 * number
            keeper = list(fleet.keepers)[number]
            status = await fleet.put(make(version), keeper)
            record(f"{make.__name__} as version {version} at {keeper}: {status}")
            if status == 200 and make is not make_valid:
                broken.append(make.__name__.removeprefix("make_"))
            if status not in (200, 400, 409, 413, 422):
                raise world.CannotRun(f"a configuration got {status}")
        await asyncio.sleep(2.5)
        held = await fleet.get("core-1")
        record(f"read back: {held.status} {held.body[:16]!r}")
        for number, host in enumerate((HOST, OTHER_CASE)):
            result = await ask(fleet, host, number)
            record(f"POST /one/x with Host {host}: {result.status}, run by {result.body!r}")
            if result.status != 200 and not trouble:
                raise world.CannotRun("a request was not served")
        if broken:
            return f"CONFIG: invalid configurations were acknowledged: {', '.join(broken)}"
        return ""
    finally:
        fleet.stop()


world.run_case(FOLDER, main)
