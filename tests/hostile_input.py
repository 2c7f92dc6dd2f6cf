#!/usr/bin/env python3
"""Input on each connection of real processes that a library may refuse.

Guards against a process that ends by what arrives: one request with a header of
70,000 bytes, where 131,072 were allowed, ended an entry host. Sends parts of
messages of sizes around the bounds of libraries to each listener, and lets an
endpoint answer with such parts. After each class the process must live and
answer an ordinary request; requests inside the limits must be served.

    hostile_input.py [CLASS...]     all classes if none is named
"""

import asyncio
import json
import os
import struct
import sys

sys.path.insert(0, os.path.dirname(__file__))
import untrusted_clients as base  # noqa: E402

fakes, platform_soak = base.fakes, base.platform_soak
MAX_HEADER_BYTES = 131072
SIZES = (4095, 4097, 65000, 65533, 65534, 65535, 65536, 65537, 70000, 130000,
         140000, 300000)
RAFT_CALL = b"control.raft"


class OddEndpoint(fakes.Endpoint):
    """Answers some requests with long or odd heads."""

    async def run(self, headers, base_headers, attempt, writer):
        if not attempt.startswith("odd"):
            return await super().run(headers, base_headers, attempt, writer)
        _, place, size = attempt.split("-")
        text = "a" * int(size)
        head = f"Attempt-Id: {attempt}\r\n"
        writer.write({
            "value": f"HTTP/1.1 200 OK\r\n{head}X: {text}\r\n"
                     "Content-Length: 1\r\n\r\nx",
            "name": f"HTTP/1.1 200 OK\r\n{head}{text}: x\r\n"
                    "Content-Length: 1\r\n\r\nx",
            "status": f"HTTP/1.1 {int(size) % 1000:03} \r\n{head}"
                      "Content-Length: 1\r\n\r\nx",
            "nobody": f"HTTP/1.1 204 \r\n{head}Content-Length: 4\r\n\r\nbody",
            "trailer": f"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked"
                       f"\r\n\r\n1\r\nx\r\n0\r\nX: {text}\r\n\r\n",
            "load": f"HTTP/1.1 200 OK\r\n{head}Server-Load: {text}\r\n"
                    f"Server-Limit: 9{'9' * min(int(size), 4000)}\r\n"
                    "Content-Length: 1\r\n\r\nx",
        }[place].encode())
        return False


class HostileInput(base.UntrustedClients):
    def __init__(self):
        super().__init__()
        self.endpoints[:2] = [OddEndpoint(f"i-desk{at}", "desk", None, 64, at)
                              for at in range(2)]

    def config(self, version):
        out = json.loads(super().config(version))
        out["limits"]["maxHeaderBytes"] = MAX_HEADER_BYTES
        return json.dumps(out).encode()

    async def send_each(self, listener, messages):
        for message in messages:
            for client in await self.connect(listener, 1):
                await client.send(message)
                await asyncio.sleep(0.02)
                client.close()

    async def ask(self, attempt, headers, method="GET", body=b""):
        """Sends a request of a caller, and returns its status."""
        caller = fakes.Caller(f"{self.entries[0].ip}:"
                              f"{platform_soak.CLIENT_PORT}")
        status, _, _, _ = await caller.call(
            method, "/check/x",
            {"Host": "a.example", "Attempt-Id": attempt, "Deadline-Ms": "1500",
             "Authorization": "Bearer key-acme", **headers}, body)
        caller.close()
        return status

    async def serve_long_headers(self):
        for size in SIZES:
            status = await self.ask(f"long-{size}", {"X-Context": "a" * size})
            allowed = size + 1000 < MAX_HEADER_BYTES
            if allowed and status != 200:
                self.add_problem(f"a header of {size} bytes: status {status}")
        for method in ("TRACE", "PATCH", "OPTIONS", "ODD"):
            if not await self.ask(f"m-{method}", {}, method, b"body"):
                self.add_problem(f"{method} with a body: no answer")

    async def read_odd_answers(self):
        for place in ("value", "name", "status", "nobody", "trailer", "load"):
            for size in SIZES:
                await self.ask(f"odd-{place}-{size}", {})

    def group_messages(self):
        """Messages of the control group with numbers out of range, as CBOR."""
        def text(value):
            data = value.encode()
            return b"\x78" + bytes([len(data)]) + data

        most = b"\x1b" + b"\xff" * 8
        host = text(f"{self.members[0].ip}:{platform_soak.PEER_PORT}")
        for kind in range(6):
            body = (b"\x85" + text("x") + text("x") + host + text("x") +
                    bytes([kind]) + b"\xa0")
            yield body
            yield body[:-1] + b"\xa1" + text("term_") + most
            yield b"\x9b" + b"\xff" * 8
            yield b"\x5b" + b"\xff" * 8

    def peer_calls(self):
        for body in self.group_messages():
            yield (base.HELLO + base.frame(
                base.HEADERS, base.END_HEADERS, 1, base.call_header(RAFT_CALL))
                + base.frame(base.DATA, base.END_STREAM, 1, body))
        long_value = base.literal(b"n", b"v" * 100) * 150
        yield base.HELLO + base.frame(
            base.HEADERS, base.END_HEADERS | base.END_STREAM, 1,
            base.call_header(b"x") + long_value)
        yield base.HELLO + base.frame(
            base.SETTINGS_FRAME, 0, 0, struct.pack(">HI", 5, 0xffffffff))

    def classes(self):
        get = b"GET /x HTTP/1.1\r\nHost: a.example\r\n"
        out = {"front.served": self.serve_long_headers,
               "front.answers": self.read_odd_answers,
               "peers.calls": lambda: self.send_each("peers",
                                                     self.peer_calls())}
        for listener in ("front", "control", "ready", "metrics"):
            messages = []
            for size in SIZES:
                text = b"a" * size
                messages += [
                    get + b"X: " + text + b"\r\n\r\n",
                    get + text + b": x\r\n\r\n",
                    get + b"X: a\r\n " + text + b"\r\n\r\n",
                    get + b"Connection: " + text + b"\r\n\r\n",
                    b"GET /" + text + b" HTTP/1.1\r\nHost: x\r\n\r\n",
                    text + b" / HTTP/1.1\r\nHost: x\r\n\r\n",
                    base.CHUNKED + b"1\r\nx\r\n0\r\nX: " + text + b"\r\n\r\n",
                    base.CHUNKED + b"1;" + text + b"\r\nx\r\n0\r\n\r\n"]
            out[f"{listener}.long"] = \
                lambda listener=listener, messages=messages: self.send_each(
                    listener, messages)
        return out


def main():
    test = HostileInput()
    asyncio.run(test.run(sys.argv[1:]))
    for problem in test.problems:
        print("  " + problem)
    if test.problems:
        print(f"  logs: {test.folder}")
    return 1 if test.problems else 0


if __name__ == "__main__":
    sys.exit(main())
