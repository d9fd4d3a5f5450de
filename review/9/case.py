"""All machines lose power and the servers of one fabric domain crash; one of two machines, the owner of that domain,
is gone for good."""
import asyncio
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit"))
from standins import Unplayable, configuration, play

# `recover_s` of trilhavia-sul; its days have closings with a `down_s` of up to 1.6 s.
RECOVER_S = 12
DOWN_S = 1.2
SERVERS = 5
STEADY_S, JUDGED_S = 4, 10
# Nine of ten requests are streams, as on the site's days.
KINDS = ["note"] * 9 + ["fetch"]


async def case(fleet, trouble):
    await fleet.start(configuration(version=3, group_size=2))
    await start_engines(fleet)
    await fleet.park.add(service="returns")
    await fleet.serves()
    before = await share_served(fleet, fleet.nodes, STEADY_S)
    fleet.record.note(f"before the fault: {before[0]} of {before[1]} requests are served")
    staying = list(fleet.nodes)
    if trouble:
        owners = fleet.store.owners()
        fleet.record.note(f"owners of the fabric domains: {owners}")
        owner = owners["d0"]["owner"]["node"]
        gone = next(node for node in fleet.nodes if node.name == owner)
        fleet.record.note(f"all machines lose power; {gone.name} never comes back")
        for node in fleet.nodes:
            node.kill()
        for server in list(fleet.park.servers.values()):
            if server.domain:
                await server.crash()
        await asyncio.sleep(DOWN_S)
        staying.remove(gone)
        await start_engines(fleet)
        for node in staying:
            node.start()
        fleet.record.note("the other machine and the servers of the domain are back")
    # Traffic goes on through the recovery.
    await share_served(fleet, staying, RECOVER_S)
    served, sent = await share_served(fleet, staying, JUDGED_S)
    fleet.record.note(
        f"requests sent later than {RECOVER_S} s after the machines were back: {served} of {sent} are served"
    )
    if before[0] * 4 < before[1]:
        raise Unplayable("less than a quarter was served before the fault")
    return served * 4 >= sent


async def start_engines(fleet):
    for _ in range(SERVERS):
        await fleet.park.add(service="pool", domain="d0")


async def share_served(fleet, nodes, span_s):
    """Sends requests to the machines in turn; how many of them are served, and their number."""
    until = time.monotonic() + span_s
    calls = []
    while time.monotonic() < until:
        calls.append(asyncio.create_task(one(fleet, nodes[len(calls) % len(nodes)], KINDS[len(calls) % len(KINDS)])))
        await asyncio.sleep(0.1)
    results = await asyncio.gather(*calls)
    return sum(results), len(results)


async def one(fleet, node, name):
    _, reply = await fleet.request(node, name)
    return fleet.is_good(name, reply)


async def guarded(fleet, trouble):
    """Whatever goes wrong in the script itself is no broken rule."""
    try:
        return await case(fleet, trouble)
    except (KeyError, StopIteration, TypeError) as error:
        raise Unplayable(repr(error)) from error


play(guarded, Path(__file__).parent, nodes=2)
