"""A process is stopped in order while a sound server is silent for a moment on one of its streams."""
import asyncio
import re
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit"))
from standins import configuration, play

# Places of a server, those of its queue included.
SLOTS = 8
EVENTS = 30
PAUSE_S = 1.2


async def case(fleet, trouble):
    await fleet.start(configuration(version=3, group_size=1))
    for _ in range(2):
        await fleet.park.add(service="pool", domain="d0", slots=SLOTS, events=EVENTS, event_s=0.1)
    stopped, other = fleet.nodes
    servers = list(fleet.park.servers.values())
    await fleet.serves(EVENTS)
    await fleet.until("both servers are open", lambda: all(s.state() == "open" for s in servers), 20)
    await asyncio.sleep(12)
    # All slots but one of each server are taken by streams through the other machine.
    streams = []
    while [server.running for server in servers] != [SLOTS - 1] * len(servers):
        filler, stream = send(fleet, other)
        await fleet.until(f"{filler} runs or is refused", lambda s=stream, f=filler: s.done() or f in fleet.park.runs, 2)
        if any(server.running == SLOTS for server in servers):
            stream.cancel()
            await asyncio.sleep(0.05)
        else:
            streams.append(stream)
    head = fleet.head("note", 5000)
    id = head[0]
    for server in servers:
        # The memory runs out: the newest request is preempted, and read again.
        server.preempts[id] = (3, PAUSE_S)
    newest = asyncio.create_task(fleet.request(stopped, deadline_ms=5000, head=head))
    await asyncio.sleep(0.1)
    while total(servers) < len(servers) * SLOTS:
        streams.append(send(fleet, other)[1])
        await asyncio.sleep(0.04)
    fleet.record.note(f"running: {[(server.id, server.running) for server in servers]}")
    if trouble:
        fleet.record.note(f"{stopped.name} gets SIGTERM")
        stopped.kill(signal.SIGTERM)
    _, reply = await newest
    got = [int(number) for number in re.findall(rb"(?m)^id: (\d+)$", reply.body)]
    whole = reply.is_whole and got == list(range(1, EVENTS + 1))
    fleet.record.note(f"{id}: {len(got)} events of {EVENTS}, {'whole' if whole else 'cut'}; ran at {fleet.park.runs.get(id)}")
    await asyncio.gather(*streams)
    # Without planned work the rule does not count a stream that is cut.
    return whole or not trouble


def send(fleet, node):
    """The id of a new stream, and its task."""
    head = fleet.head("note", 8000)
    return head[0], asyncio.create_task(fleet.request(node, deadline_ms=8000, head=head))


def total(servers):
    return sum(server.running for server in servers)


play(case, Path(__file__).parent, nodes=2)
