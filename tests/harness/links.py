"""Links between processes on loopback that a test disturbs from outside.

tests/fakes/link_redirect.cpp, preloaded into a program, sends its connections
to other hosts of the fleet here. Each end is known by its loopback address, so
each direction between two hosts can be silenced or slowed while connections
are open. What a silenced direction holds back arrives when it heals.
"""

import asyncio
import os
import random
import socket

PROXY_PORT_OFFSET = 10_000
BUFFER_BYTES = 65_536


class DarkPort:
    """A port on which connections hang: its queue of new ones is full."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.port = self.listener.getsockname()[1]
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def close(self):
        for each in [self.listener, *self.fillers]:
            each.close()


class Links:
    """The links between the hosts of one fleet.

    folder: holds a file for each pair of hosts that is cut and for each host
    that is dark, which tells the preloaded library that connections hang.
    """

    def __init__(self, folder, network, ports, seed=0):
        self.folder = folder
        self.network = network
        self.ports = ports
        self.random = random.Random(seed)
        self.silent = set()    # (from, to) of directions that carry nothing.
        self.delays = {}       # (from, to): longest delay in s.
        self.dark = set()      # Hosts without power.
        self.healed = asyncio.Event()
        self.servers = {}      # host: its listeners
        self.pairs = set()     # (from, to, writer, writer) of connections.
        self.dark_port = DarkPort()
        os.makedirs(folder, exist_ok=True)

    def environment(self, host):
        """Returns the variables for the program of a host."""
        return {"LINKS_HOST": host, "LINKS_NETWORK": self.network,
                "LINKS_FOLDER": self.folder,
                "LINKS_DARK_PORT": str(self.dark_port.port)}

    async def open(self, host):
        """Takes connections to a host; before, they are refused."""
        if host in self.servers:
            return
        self.servers[host] = [await asyncio.start_server(
            lambda reader, writer, port=port:
            self.serve(host, port, reader, writer),
            host, port + PROXY_PORT_OFFSET) for port in self.ports]

    def close(self, host):
        """Refuses connections to a host whose process has ended."""
        for server in self.servers.pop(host, []):
            server.close()

    def close_all(self):
        for host in list(self.servers):
            self.close(host)
        self.reset(lambda source, target: True)
        self.dark_port.close()

    def set_silent(self, source, target, is_silent):
        """Silences one direction, or lets it carry bytes again."""
        if is_silent:
            self.silent.add((source, target))
        else:
            self.silent.discard((source, target))
        hangs = {(source, target), (target, source)} & self.silent
        # The first packets of a connection need both directions.
        for name in (f"{source}-{target}", f"{target}-{source}"):
            self.mark(name, bool(hangs))
        self.wake()

    def set_dark(self, host, is_dark):
        """Takes a host's power away, or gives it back."""
        (self.dark.add if is_dark else self.dark.discard)(host)
        self.mark(host, is_dark)
        self.wake()

    def set_delay(self, source, target, longest_s):
        """Delays what one direction carries by up to a time; 0: not at all."""
        self.delays[(source, target)] = longest_s

    def reset(self, concerns):
        """Resets connections for whose two hosts concerns(from, to) holds."""
        for source, target, *writers in list(self.pairs):
            if concerns(source, target):
                for writer in writers:
                    writer.transport.abort()

    def mark(self, name, is_set):
        path = os.path.join(self.folder, name)
        if is_set:
            open(path, "w", encoding="utf-8").close()
        elif os.path.exists(path):
            os.remove(path)

    def wake(self):
        self.healed.set()
        self.healed = asyncio.Event()

    def is_silent(self, source, target):
        return ((source, target) in self.silent or source in self.dark
                or target in self.dark)

    async def serve(self, host, port, reader, writer):
        source = writer.get_extra_info("peername")[0]
        try:
            to_reader, to_writer = await asyncio.open_connection(
                host, port, local_addr=(source, 0))
        except OSError:
            writer.transport.abort()
            return
        pair = (source, host, writer, to_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self.forward(source, host, reader, to_writer),
                self.forward(host, source, to_reader, writer))
        except asyncio.CancelledError:
            pass    # The test ends.
        self.pairs.discard(pair)

    async def forward(self, source, target, reader, writer):
        """Carries one direction of a connection, its end included."""
        is_reset = False
        try:
            data = True
            while data:
                data = await reader.read(BUFFER_BYTES)
                longest_s = self.delays.get((source, target), 0.0)
                if longest_s:
                    await asyncio.sleep(self.random.uniform(0, longest_s))
                while self.is_silent(source, target):
                    await self.healed.wait()
                if data:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            is_reset = True
        while self.is_silent(source, target):
            await self.healed.wait()
        if is_reset:
            writer.transport.abort()
        else:
            writer.close()
