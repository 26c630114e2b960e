"""Links between hosts: each ordered pair has a way of its own with a delay, which can be cut.

A process of its own relays the connections (``python -m standins.links``), so that they do not
wait for the process of a test; it takes commands as lines of JSON.  Callers enter the relays by
``hooks/sitecustomize.py``; the programs are as they are.

Bytes on a cut way come late, as TCP backs off, or the sender's connection ends.  A connection
request over a cut way gets no answer, in either direction.  A host that has lost power sends
nothing more on its connections, not even a reset.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import pathlib
import random
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable

import attrs

from .resets import hook_environment

CHUNK_BYTES = 65536
QUEUED_CHUNKS = 64
"""So many chunks are under way on a connection before its sender has to wait."""

USER_TIMEOUT_SECONDS = 1.5
"""A connection ends when sent bytes stay unacknowledged for this time (TCP_USER_TIMEOUT)."""

KEEPALIVE_SECONDS = 4.0
"""An idle connection ends after this time without the other host: 2 s, and two probes."""

PROBE_SECONDS = 0.25
MIN_STANDSTILL_SECONDS = 0.3
"""A longer time in which the process of relays did not run is on record: nothing passed."""

BACKLOG = 128
MAX_COMMAND_BYTES = 1 << 20
ROOT = pathlib.Path(__file__).resolve().parents[1]
_LINGER_ZERO = struct.pack("ii", 1, 0)

Way = tuple[str, str]
"""From one address to another."""


def ways_between(some: Iterable[str], others: Iterable[str]) -> list[Way]:
    """Return the ways from each of some hosts to each of the others, and back."""
    pairs = itertools.product(some, others)
    return [way for a, b in pairs if a != b for way in ((a, b), (b, a))]


class Links:
    """The ways between hosts; ``delay_of`` returns the delay of a way in seconds.

    Hosts connect from all ``sources`` to all ``targets``, on these ports.  A way is open again
    when it has been healed as often as it was cut.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        sources: list[str],
        targets: list[str],
        ports: list[int],
        delay_of: Callable[[str, str], float] = lambda source, target: 0.0,
    ):
        self._folder = folder
        self._lock = threading.Lock()
        self._cut_at_by_way: dict[Way, float] = {}
        self._cut_count_by_way: dict[Way, int] = collections.Counter()
        self.cuts: list[tuple[Way, float, float]] = []
        """The ways that were cut: from, until, on the monotonic clock, in seconds."""

        pairs = [(a, b) for a in sources for b in targets if a != b]
        self.ways = list(dict.fromkeys(way for a, b in pairs for way in ((a, b), (b, a))))
        self._process = subprocess.Popen(
            [sys.executable, "-m", "standins.links"],
            cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        delays = [[*way, delay_of(*way)] for way in self.ways]
        tables = self._command(pairs=pairs, ports=ports, delays=delays)
        for source, ports_by_address in tables.items():
            self._path(source).write_text(json.dumps(ports_by_address), encoding="utf-8")

    def _path(self, ip: str) -> pathlib.Path:
        return self._folder / f"{ip}.links"

    def environment(self, ip: str) -> dict[str, str]:
        """Return the variables with which a process of this host calls others over its links."""
        return hook_environment() | {"STANDIN_LINKS": str(self._path(ip))}

    def ways_of(self, ips: Iterable[str]) -> list[Way]:
        """Return the ways from and to these hosts."""
        ips = set(ips)
        return [way for way in self.ways if ips & set(way)]

    def cut(self, ways: Iterable[Way]) -> None:
        """Let nothing pass these ways; those between hosts that never connect are left out."""
        self._change("cut", ways)

    def heal(self, ways: Iterable[Way]) -> None:
        """Take back one cut of these ways."""
        self._change("heal", ways)

    def lose_power(self, ips: Iterable[str]) -> list[Way]:
        """Cut hosts off without a last word; return the ways that are cut until they are healed."""
        ways = self.ways_of(ips)
        self._change("cut", ways, dark=sorted(ips))
        return ways

    @contextlib.contextmanager
    def are_cut(self, ways: Iterable[Way]):
        """Let nothing pass these ways during the block."""
        ways = list(ways)
        self.cut(ways)
        try:
            yield
        finally:
            self.heal(ways)

    def cuts_between(self, ip: str, others: Iterable[str]) -> list[tuple[float, float]]:
        """Return when a host was cut off from one of the others, one way at least: from, until."""
        with self._lock:
            lasting = [(way, at, time.monotonic()) for way, at in self._cut_at_by_way.items()]
        ways = set(ways_between([ip], others))
        return [(at, until) for way, at, until in [*self.cuts, *lasting] if way in ways]

    def standstills(self) -> list[tuple[float, float]]:
        """Return when nothing passed any link since their process did not run: from, until."""
        with self._lock:
            return [(since, until) for since, until in self._command(ways=[])]

    def close(self) -> None:
        """End all connections."""
        with contextlib.suppress(OSError):
            self._process.stdin.close()
        self._process.wait()
        self._process.stdout.close()

    def _change(self, action: str, ways: Iterable[Way], **details) -> None:
        ways, step = set(self.ways).intersection(ways), 1 if action == "cut" else -1
        with self._lock:
            now = time.monotonic()
            for way in ways:
                self._cut_count_by_way[way] += step
                if self._cut_count_by_way[way]:
                    self._cut_at_by_way.setdefault(way, now)
                elif way in self._cut_at_by_way:
                    self.cuts.append((way, self._cut_at_by_way.pop(way), now))
            is_cut_by_way = [[*way, self._cut_count_by_way[way] > 0] for way in ways]
            self._command(ways=is_cut_by_way, **details)

    def _command(self, **command):
        self._process.stdin.write(json.dumps(command) + "\n")
        self._process.stdin.flush()
        return json.loads(self._process.stdout.readline())


# ------------------------------------------------------------------------ the process of relays


class _Way:
    """One direction between two hosts."""

    def __init__(self, delay_s: float):
        self.delay_s = delay_s
        self.cut_at: float | None = None
        self._last_cut_seconds = 0.0
        self._open = asyncio.Event()
        self._open.set()

    def set_cut(self, is_cut: bool) -> None:
        if is_cut and self.cut_at is None:
            self.cut_at = time.monotonic()
            self._open.clear()
        elif self.cut_at is not None and not is_cut:
            self._last_cut_seconds = time.monotonic() - self.cut_at
            self.cut_at = None
            self._open.set()

    async def wait_open(self) -> bool:
        """Wait while the way is cut; return False if TCP gives up before it is open."""
        try:
            async with asyncio.timeout(USER_TIMEOUT_SECONDS):
                await self._open.wait()
        except TimeoutError:
            return False
        return True

    async def pass_cut(self) -> bool:
        """Wait while the way is cut, and until TCP, which has backed off, sends again."""
        while self.cut_at is not None:
            if not await self.wait_open():
                return False
            backed_off_seconds = min(self._last_cut_seconds, USER_TIMEOUT_SECONDS)
            await asyncio.sleep(random.uniform(0.0, backed_off_seconds))
        return True


@attrs.define(eq=False)
class _End:
    """One end of a connection: the socket of a host, and the way of the bytes it sends."""

    ip: str
    way: _Way
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_dark: bool = False
    """Whether its host has lost power since: it sends and hears nothing more."""

    peer_lost_at: float | None = None
    """Since when the other end is not there any more, unknown to this one."""

    def abort(self) -> None:
        """End the connection for this host alone, as its own TCP does when it gives up."""
        connection = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        self.writer.transport.abort()


class _Connection:
    """A connection of one host to another."""

    def __init__(self, caller: _End, called: _End):
        self.ends = caller, called
        self._acknowledgements: set[asyncio.Task] = set()
        for end in self.ends:
            connection = end.writer.get_extra_info("socket")
            # It may have been reset since; that is found by reading from it.
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def run(self) -> None:
        """Forward both ways until both ends are closed."""
        caller, called = self.ends
        try:
            await asyncio.gather(self._forward(caller, called), self._forward(called, caller))
        finally:
            for end in self.ends:
                end.writer.close()

    def lose_power_of(self, ip: str) -> None:
        """Leave the other end half-open if one of them is on this host."""
        for end, peer in (self.ends, self.ends[::-1]):
            if end.ip == ip and not end.is_dark:
                end.is_dark = True
                peer.peer_lost_at = peer.peer_lost_at or time.monotonic()

    def end_if_unreached(self, now: float) -> None:
        """Do what the probes of an idle connection do."""
        cuts = [end.way.cut_at for end in self.ends]
        for end in self.ends:
            since = min((at for at in [*cuts, end.peer_lost_at] if at is not None), default=now)
            if now - since > KEEPALIVE_SECONDS:
                self._give_up(end)

    def _give_up(self, end: _End) -> None:
        end.abort()
        peer = self.ends[self.ends[0] is end]
        peer.peer_lost_at = peer.peer_lost_at or time.monotonic()

    async def _forward(self, sender: _End, receiver: _End) -> None:
        chunks: asyncio.Queue = asyncio.Queue(QUEUED_CHUNKS)
        reading = asyncio.create_task(_read(sender, chunks))
        try:
            data = b"-"
            while data:
                sent_at, data = await chunks.get()
                await asyncio.sleep(sent_at + sender.way.delay_s - time.monotonic())
                if not await sender.way.pass_cut():
                    self._give_up(sender)
                    return
                # A reset by its host closes the sender, too, and has to reach the receiver.
                is_given_up = data is not None and sender.writer.transport.is_closing()
                if sender.is_dark or is_given_up:
                    return
                if receiver.is_dark:
                    await asyncio.sleep(USER_TIMEOUT_SECONDS)
                    self._give_up(sender)
                    return
                await self._deliver(data, sender, receiver)
        except OSError:
            sender.abort()
        finally:
            reading.cancel()

    async def _deliver(self, data: bytes | None, sender: _End, receiver: _End) -> None:
        if receiver.writer.transport.is_closing() and data:
            sender.abort()
        elif data:
            receiver.writer.write(data)
            if receiver.way.cut_at is not None:
                task = asyncio.create_task(self._await_acknowledgement(sender, receiver))
                self._acknowledgements.add(task)
                task.add_done_callback(self._acknowledgements.discard)
            await receiver.writer.drain()
        elif data is None:
            receiver.abort()
        elif not receiver.writer.transport.is_closing():
            receiver.writer.write_eof()

    async def _await_acknowledgement(self, sender: _End, receiver: _End) -> None:
        if not await receiver.way.wait_open():
            self._give_up(sender)


async def _read(sender: _End, chunks: asyncio.Queue) -> None:
    """Put what a host sends in the queue, b"" for its end and None for a reset."""
    data: bytes | None = b"-"
    while data:
        try:
            data = await sender.reader.read(CHUNK_BYTES)
        except OSError:
            data = None
        await chunks.put((time.monotonic(), data))


class _Relay:
    """Takes the connections of one host to a port of another."""

    def __init__(self, source: str, target: str, port: int, ways: dict[Way, _Way]):
        self._source, self._target, self._port = source, target, port
        self._ways = ways[source, target], ways[target, source]
        self._filler: socket.socket | None = None
        self._tasks: set[asyncio.Task] = set()
        self.connections: set[_Connection] = set()
        self._listener = socket.create_server((target, 0), backlog=BACKLOG)
        self._listener.setblocking(False)
        self.address = self._listener.getsockname()
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def follow_ways(self) -> None:
        """Answer no connection request while one of the ways is cut.

        A listener whose queue is full drops requests, and callers repeat them, as over a network.
        """
        is_cut = any(way.cut_at is not None for way in self._ways)
        loop = asyncio.get_running_loop()
        if is_cut and self._filler is None:
            loop.remove_reader(self._listener)
            self._listener.listen(0)
            self._filler = socket.socket()
            self._filler.setblocking(False)
            self._filler.connect_ex(self.address)
        elif self._filler is not None and not is_cut:
            self._filler.close()
            self._filler = None
            self._listener.listen(BACKLOG)
            loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError, ConnectionError):
            connection, _ = self._listener.accept()
            task = asyncio.create_task(self._serve(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: socket.socket) -> None:
        way, back = self._ways
        caller = _End(self._source, way, *await asyncio.open_connection(sock=connection))
        # The connection request and its answer.
        await asyncio.sleep(way.delay_s + back.delay_s)
        if caller.reader.at_eof():
            caller.abort()
            return
        try:
            if not await way.pass_cut() or not await back.pass_cut():
                raise ConnectionError("cut off before the connection was open")
            streams = await asyncio.open_connection(self._target, self._port)
        except OSError:
            caller.abort()
            return
        relayed = _Connection(caller, _End(self._target, back, *streams))
        self.connections.add(relayed)
        await relayed.run()
        self.connections.discard(relayed)


class _Relays:
    """All relays of a process, and the ways between the hosts."""

    def __init__(self, pairs: list[Way], ports: list[int], delays: list[tuple[str, str, float]]):
        self._ways = {(source, target): _Way(delay_s) for source, target, delay_s in delays}
        self._relays: list[_Relay] = []
        self.table: dict[str, dict[str, int]] = collections.defaultdict(dict)
        """The port of the relay, by caller and address called."""

        self.standstills: list[tuple[float, float]] = []
        for (source, target), port in itertools.product(pairs, ports):
            self._relays.append(_Relay(source, target, port, self._ways))
            self.table[source][f"{target}:{port}"] = self._relays[-1].address[1]

    def change(self, ways: list[tuple[str, str, bool]], dark: Iterable[str] = ()) -> None:
        """Cut ways or heal them; leave connections of hosts that lost power half-open."""
        for source, target, is_cut in ways:
            self._ways[source, target].set_cut(is_cut)
        for relay in self._relays:
            relay.follow_ways()
            for connection, ip in itertools.product(relay.connections, dark):
                connection.lose_power_of(ip)

    async def probe(self) -> None:
        """End connections whose other end is not reached."""
        while True:
            due_at = time.monotonic() + PROBE_SECONDS
            await asyncio.sleep(PROBE_SECONDS)
            now = time.monotonic()
            if now - due_at > MIN_STANDSTILL_SECONDS:
                self.standstills.append((due_at, now))
            for connection in itertools.chain(*(relay.connections for relay in self._relays)):
                connection.end_if_unreached(now)


async def _main() -> None:
    """Carry out commands from the standard input until it ends."""
    reader = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    relays = _Relays(**json.loads(await reader.readline()))
    print(json.dumps(relays.table), flush=True)
    probing = asyncio.create_task(relays.probe())
    while line := await reader.readline():
        relays.change(**json.loads(line))
        print(json.dumps(relays.standstills), flush=True)
    probing.cancel()


if __name__ == "__main__":
    asyncio.run(_main())
