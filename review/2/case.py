"""A machine with the head of a group is cut off for a while from the store and from the system's machines."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit"))
from standins import configuration, play

CUT_S = 10


async def case(fleet, trouble):
    await fleet.start(configuration(version=3, group_size=2))
    for _ in range(5):
        await fleet.park.add(service="pool", domain="d0")
    await fleet.park.add(service="returns")
    await fleet.serves()
    await asyncio.sleep(2)
    heads = [server for server in fleet.park.servers.values() if server.state() == "open"]
    head = heads[0]
    fleet.record.note(f"the group of {head.id}: {head.group['members']}")
    if trouble:
        fleet.record.note(f"the machine of {head.id} is cut off for {CUT_S} s")
        head.cut_from_store()
        head.link.cut()
    callers = [asyncio.create_task(call_on(fleet, number)) for number in range(4)]
    await asyncio.sleep(CUT_S)
    if trouble:
        head.link.heal()
        head.reaches_store = True
        fleet.record.note(f"the machine of {head.id} is back; its group is {head.state()}")
    await asyncio.sleep(3)
    for caller in callers:
        caller.cancel()
    return not any(rule == "TWO" for rule, _ in fleet.park.breaks)


async def call_on(fleet, number):
    while True:
        await fleet.request(fleet.nodes[number % len(fleet.nodes)])
        await asyncio.sleep(0.3)


play(case, Path(__file__).parent, nodes=3)
