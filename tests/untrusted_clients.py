#!/usr/bin/env python3
"""Misuse of each listener by clients, one class at a time.

Runs the real programs over fakes of the platform, with a small stated memory
and few file descriptors. Each class guards against clients that make a process
run out of memory or descriptors, or stop serving: after each one, the process
must live, its peak of resident memory and its open descriptors must be within
what the host states, and one ordinary request must be answered. Where a class
holds its connections, the ordinary request is sent beside them. Checks depend
on no times and on no share of served requests.

    untrusted_clients.py [CLASS...]     all classes if none is named
"""

import asyncio
import os
import resource
import shutil
import signal
import socket
import struct
import sys
import time
import types

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "harness"))
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "fakes"))
import platform_fakes as fakes  # noqa: E402
import platform_soak  # noqa: E402

NETWORK = "127.0.50"
METRICS_PORT = 9464
MEMORY_MB = 64
DESCRIPTORS = 256
# The share of the descriptors that connections may take leaves some for the
# endpoints, the log and the other listeners.
MAX_OPEN_DESCRIPTORS = DESCRIPTORS * 9 // 10
FLOOD_BYTES = 32 * 1024 * 1024   # Sent by each flooding connection.
FLOOD_S = 3.0
SERVED_WITHIN_S = 8.0
LARGE_ANSWER_BYTES = 2 * 1024 * 1024
STREAM_EVENTS = 140
EVENT_BYTES = 2400
SETTINGS = [f"limits.memoryMb={MEMORY_MB}", "clients.writeTimeoutMs=2000"]

FLOODERS = 4        # Connections that send without end.
HOLDERS = 150       # Connections that hold a request.
CROWD = 300         # Connections, more than descriptors.

TINY_LINES = b"a:\r\n" * 3900   # Within 16,384 bytes, costly once parsed.
CHUNKED = (b"POST /book/x HTTP/1.1\r\nHost: a.example\r\n"
           b"Transfer-Encoding: chunked\r\n\r\n")


class LargeEndpoint(fakes.Endpoint):
    """Answers calls of a client that does not read with much."""

    async def run(self, headers, base, attempt, writer):
        if not attempt.startswith("large") or self.stage == "prefill":
            return await super().run(headers, base, attempt, writer)
        stamped = {**base, "Server-Stamp": f"{self.name}.{attempt}"}
        if self.stage is None:
            writer.write(fakes.format_message(
                "HTTP/1.1 200 OK", stamped, b"x" * LARGE_ANSWER_BYTES))
            return True
        lines = [f"{name}: {value}" for name, value in stamped.items()]
        writer.write("\r\n".join(
            ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
             "Transfer-Encoding: chunked"] + lines).encode() + b"\r\n\r\n")
        for number in range(1, STREAM_EVENTS + 1):
            event = f"id: {number}\ndata: ".encode()
            event += b"x" * EVENT_BYTES + b"\n\n"
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


class LimitedHost(platform_soak.Host):
    """A process with few descriptors and the limits of this test."""

    def write_settings(self):
        super().write_settings()
        with open(self.settings, "a", encoding="utf-8") as out:
            out.write("\n".join(SETTINGS) + "\n")

    async def start(self):
        self.write_settings()
        self.first = False
        with open(os.path.join(self.soak.folder, self.name + ".log"),
                  "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                platform_soak.PROGRAM, "--platform", stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)),
                env={**os.environ, "POPLARROUTE_CONFIG": self.settings})

    def peak_mb(self):
        """Largest resident memory since reset_peak()."""
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmHWM"):
                    return int(line.split()[1]) / 1024
        return 0.0   # The process has ended.

    def reset_peak(self):
        with open(f"/proc/{self.process.pid}/clear_refs", "w",
                  encoding="ascii") as file:
            file.write("5")

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


class Client:
    """A connection that is written to, and read from only when asked."""

    def __init__(self, address):
        self.address = address
        self.socket = None
        self.closed = False

    async def open(self, receive_bytes=0):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if receive_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                   receive_bytes)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(
                self.socket, self.address), 1.0)
        except (OSError, asyncio.TimeoutError):
            self.closed = True
        return self

    async def send(self, data, timeout_s=1.0):
        """Returns whether all of it could be sent."""
        if self.closed:
            return False
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_sendall(self.socket, data),
                timeout_s)
            return True
        except OSError:
            self.closed = True
        except asyncio.TimeoutError:
            pass
        return False

    async def flood(self, first, block):
        await self.send(first)
        sent = 0
        until = time.monotonic() + FLOOD_S
        while (not self.closed and sent < FLOOD_BYTES
               and time.monotonic() < until):
            if await self.send(block):
                sent += len(block)
            else:
                await asyncio.sleep(0.01)

    async def trickle(self, first, byte):
        await self.send(first)
        until = time.monotonic() + FLOOD_S
        while not self.closed and time.monotonic() < until:
            await self.send(byte)
            await asyncio.sleep(0.3)

    def close(self, reset=False):
        if reset and self.socket:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                   struct.pack("ii", 1, 0))
        if self.socket:
            self.socket.close()


# HTTP/2 frames of the peers' protocol.

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, SETTINGS_FRAME, PING = 0, 1, 3, 4, 6
CONTINUATION = 9
END_STREAM, END_HEADERS = 1, 4


def frame(kind, flags, stream, payload=b""):
    return (struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) +
            struct.pack(">I", stream) + payload)


def literal(name, value):
    return (b"\x00" + bytes([len(name)]) + name + bytes([len(value)]) + value)


def call_header(method):
    return b"".join([literal(b":method", b"POST"), literal(b":scheme", b"http"),
                     literal(b":path", b"/call/" + method),
                     literal(b":authority", b"peer")])


HELLO = PREFACE + frame(SETTINGS_FRAME, 0, 0)


def unfinished_bodies():
    out = HELLO
    for stream in range(1, 1025, 2):
        out += frame(HEADERS, END_HEADERS, stream, call_header(b"x"))
        out += frame(DATA, 0, stream, b"x" * 16384) * 4
    return out


def calls_without_window():
    """Calls whose replies may not be sent: the window for them is 0."""
    return (PREFACE + frame(SETTINGS_FRAME, 0, 0, struct.pack(">HI", 4, 0)) +
            b"".join(frame(HEADERS, END_HEADERS | END_STREAM, stream,
                           call_header(b"x"))
                     for stream in range(1, 8001, 2)))


def reset_streams(first, count):
    return b"".join(
        frame(HEADERS, END_HEADERS | END_STREAM, stream, call_header(b"x")) +
        frame(RST_STREAM, 0, stream, struct.pack(">I", 8))
        for stream in range(first, first + 2 * count, 2))


class UntrustedClients(platform_soak.Soak):
    def __init__(self):
        super().__init__(1, 0, 1, network=NETWORK)
        self.members = [LimitedHost(self, number, True)
                        for number in (1, 2, 3)]
        self.entries = [LimitedHost(self, 10, False)]
        self.endpoints = [
            LargeEndpoint(f"i-desk{at}", "desk", None, 64, at)
            for at in range(2)] + [
            LargeEndpoint("i-read0", "llm", "prefill", 64, 7),
            LargeEndpoint("i-dec1", "llm", "decode", 64, 8)]
        self.links = []
        self.list = fakes.EndpointList(self.links)
        self.clients = []
        entry, member = self.entries[0], self.members[0]
        self.listeners = {
            "front": (entry, (entry.ip, platform_soak.CLIENT_PORT)),
            "ready": (entry, (entry.ip, platform_soak.READY_PORT)),
            "metrics": (entry, (entry.ip, METRICS_PORT)),
            "control": (member, (member.ip, platform_soak.CONTROL_PORT)),
            "peers": (entry, (entry.ip, platform_soak.PEER_PORT))}

    async def connect(self, listener, count, receive_bytes=0):
        clients = [await Client(self.listeners[listener][1]).open(
            receive_bytes) for _ in range(count)]
        self.clients += clients
        return clients

    async def flood(self, listener, first, block, count=FLOODERS):
        clients = await self.connect(listener, count)
        await asyncio.gather(*[client.flood(first, block)
                               for client in clients])

    async def hold(self, listener, data, count=HOLDERS):
        """Holds connections that have sent something and wait."""
        clients = await self.connect(listener, count)
        await asyncio.gather(*[client.send(data, FLOOD_S)
                               for client in clients])

    async def trickle(self, listener, first, byte):
        clients = await self.connect(listener, 100)
        await asyncio.gather(*[client.trickle(first, byte)
                               for client in clients])

    async def pipeline(self, listener, request):
        clients = await self.connect(listener, 16, 4096)
        await asyncio.gather(*[client.flood(b"", request * 50)
                               for client in clients])

    async def leave(self, listener):
        for number in range(1000):
            client = await Client(self.listeners[listener][1]).open()
            if number % 3 == 2:
                await client.send(b"POST /book/x HTTP/1.1\r\nHo")
            client.close(reset=number % 2 == 0)

    def large_call(self, number, route):
        tokens = b"Token-Counts: 100,100\r\n" if route == b"digest" else b""
        return (b"POST /" + route + b"/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Attempt-Id: large" + str(number).encode() + b"\r\n"
                b"Deadline-Ms: 20000\r\nAuthorization: Bearer key-acme\r\n" +
                tokens + b"Content-Length: 1\r\n\r\nb")

    async def leave_unread(self, route):
        clients = await self.connect("front", 40, 4096)
        for number, client in enumerate(clients):
            await client.send(self.large_call(number, route))
        await asyncio.sleep(FLOOD_S)

    async def send_largest(self):
        """A single request of 4 MiB is served by a host of this size."""
        caller = fakes.Caller(f"{self.entries[0].ip}:"
                              f"{platform_soak.CLIENT_PORT}")
        status = 0
        for attempt in range(5):
            status, _, _, _ = await caller.call(
                "POST", "/book/x",
                {"Host": "a.example", "Attempt-Id": f"full{attempt}",
                 "Deadline-Ms": "2500", "Authorization": "Bearer key-acme"},
                b"x" * (4 * 1024 * 1024))
            if status == 200:
                break
        caller.close()
        if status != 200:
            self.add_problem(f"largest_request: status {status}")

    async def reset_calls(self):
        """Streams that are opened and reset at once."""
        for client in await self.connect("peers", FLOODERS):
            await client.send(HELLO)
            for first in range(1, 100000, 2000):
                await client.send(reset_streams(first, 1000))

    def classes(self):
        """Returns the misuse of each class, by listener and name."""
        get = b"GET /x HTTP/1.1\r\nHost: a.example\r\n"
        call = (b"POST /book/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Content-Length: 4194304\r\n\r\n")
        out = {
            "front.largest_request": self.send_largest,
            "front.chunk_extensions": lambda: self.flood(
                "front", CHUNKED + b"1;", b"e" * 65536),
            "front.small_chunks": lambda: self.flood(
                "front", CHUNKED, b"1\r\nx\r\n" * 10000),
            "front.extended_chunks": lambda: self.flood(
                "front", CHUNKED, b"1;" + b"e" * 3000 + b"\r\nx\r\n"),
            "front.header_lines": lambda: self.flood(
                "front", get, b"a: b\r\n" * 10000),
            "front.empty_lines": lambda: self.flood(
                "front", b"", b"\r\n" * 30000),
            "front.open_headers": lambda: self.hold(
                "front", get + TINY_LINES),
            "front.full_bodies": lambda: self.hold(
                "front", call + b"x" * 1000000, 40),
            "front.pipelined": lambda: self.pipeline(
                "front", self.large_call(0, b"book")),
            "front.unread_answers": lambda: self.leave_unread(b"book"),
            "front.unread_streams": lambda: self.leave_unread(b"digest"),
            "front.slow_headers": lambda: self.trickle("front", get, b"a"),
            "front.slow_bodies": lambda: self.trickle("front", call, b"x"),
            "peers.unfinished_bodies": lambda: self.flood(
                "peers", unfinished_bodies(), frame(PING, 0, 0, b"x" * 8)),
            "peers.continuations": lambda: self.flood(
                "peers", HELLO + frame(HEADERS, 0, 1, call_header(b"x")),
                frame(CONTINUATION, 0, 1,
                      literal(b"n", b"v" * 100) * 100)),
            "peers.long_headers": lambda: self.flood(
                "peers", HELLO, frame(HEADERS, END_HEADERS, 1, b"".join(
                    literal(b"n", b"v" * 100) for _ in range(120)))),
            "peers.unread_pings": lambda: self.flood(
                "peers", HELLO, frame(PING, 0, 0, b"x" * 8) * 1000),
            "peers.settings": lambda: self.flood(
                "peers", HELLO, frame(SETTINGS_FRAME, 0, 0) * 1000),
            "peers.reset_calls": self.reset_calls,
            "peers.garbage": lambda: self.flood("peers", b"", b"x" * 65536),
            "peers.unread_replies": lambda: self.hold(
                "peers", calls_without_window(), 16),
            "control.full_bodies": lambda: self.hold(
                "control", b"PUT /config HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 4000000\r\n\r\n" + b" " * 3900000, 40),
            "metrics.unread_answers": lambda: self.pipeline(
                "metrics", get + b"\r\n"),
        }
        for listener in ("front", "control", "ready", "metrics"):
            out[f"{listener}.trailers"] = lambda listener=listener: self.flood(
                listener, CHUNKED + b"1\r\nx\r\n0\r\n",
                b"t: " + b"v" * 1000 + b"\r\n")
            out[f"{listener}.parsed_headers"] = lambda listener=listener: \
                self.hold(listener, call[:-2] + TINY_LINES + b"\r\n", CROWD)
        for listener in self.listeners:
            out[f"{listener}.left"] = \
                lambda listener=listener: self.leave(listener)
            out[f"{listener}.idle"] = lambda listener=listener: self.hold(
                listener, b"", CROWD)
        return out

    async def is_served(self, host):
        """Whether an ordinary request is answered by the host."""
        if host.member:
            caller = fakes.Caller(f"{host.ip}:{platform_soak.CONTROL_PORT}")
            status, _, _, _ = await caller.call(
                "GET", "/config", {"Host": "x"}, b"", 1.5)
            caller.close()
            return status == 200
        caller = fakes.Caller(f"{host.ip}:{platform_soak.CLIENT_PORT}")
        answers = [await self.call_once(caller, kind, host, True)
                   for kind in ("book", "digest")]
        caller.close()
        return all(answers)

    async def wait_for_service(self, host, timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.is_served(host):
                return True
            await asyncio.sleep(0.1)
        return False

    async def play(self, name, misuse):
        host, _ = self.listeners[name.split(".")[0]]
        before = len(self.problems)
        host.reset_peak()
        await misuse()
        lives = host.process.returncode is None
        descriptors = host.open_descriptors() if lives else 0
        served = lives and await self.wait_for_service(host, SERVED_WITHIN_S)
        lives = host.process.returncode is None
        peak = host.peak_mb() if lives else 0
        for client in self.clients:
            client.close()
        self.clients.clear()
        if not lives:
            self.add_problem(f"{name}: the process ended with "
                             f"{host.process.returncode}")
        if peak > MEMORY_MB:
            self.add_problem(f"{name}: {peak:.0f} MB of {MEMORY_MB}")
        if descriptors > MAX_OPEN_DESCRIPTORS:
            self.add_problem(f"{name}: {descriptors} descriptors of at most "
                             f"{MAX_OPEN_DESCRIPTORS}")
        if not served:
            self.add_problem(f"{name}: no ordinary request is answered")
        passed = len(self.problems) == before
        print(f"{'passed' if passed else 'FAILED'} {name}: {peak:.0f} MB, "
              f"{descriptors} descriptors, "
              f"{'served' if served else 'not served'}", flush=True)
        if not passed:
            # The next class begins with a process of normal size.
            host.send(signal.SIGKILL)
            await host.process.wait()
            await host.start()
            await self.wait_for_service(host, platform_soak.RECOVERY_S)

    async def run(self, names):
        for part in self.endpoints:
            await part.start()
        self.links.extend(types.SimpleNamespace(
            endpoint=endpoint, port=endpoint.port)
            for endpoint in self.endpoints)
        await self.list.start()
        hosts = self.members + self.entries
        try:
            for host in hosts:
                await host.start()
            while (await self.call_operator_api("PUT", self.config(1)))[0] \
                    != 200:
                await asyncio.sleep(0.2)
            await self.wait_until_served(
                platform_soak.RECOVERY_S, "after the start")
            for name, misuse in self.classes().items():
                if not names or name in names:
                    await self.play(name, misuse)
        finally:
            for host in hosts:
                host.send(signal.SIGKILL)
            for host in hosts:
                if host.process:
                    await host.process.wait()


def main():
    resource.setrlimit(resource.RLIMIT_NOFILE, (
        min(4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),
        resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    test = UntrustedClients()
    asyncio.run(test.run(sys.argv[1:]))
    for problem in test.problems:
        print("  " + problem)
    if test.problems:
        print(f"  logs: {test.folder}")
    else:
        shutil.rmtree(test.folder, ignore_errors=True)
    return 1 if test.problems else 0


if __name__ == "__main__":
    sys.exit(main())
