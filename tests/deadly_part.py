#!/usr/bin/env python3
"""A prompt part that crashes each engine which begins to answer on it.

Runs the real programs over fakes of the platform. After the fifth crash, and
the time that the platform allows, no more than three requests with the part may
reach an engine, and sound requests are served at least half as often as before.
The leader is killed in between.

    deadly_part.py [--unframed]    an answer without a length or chunks, which
                                   ends inside an event
"""

import asyncio
import os
import shutil
import signal
import sys
import time
import types

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "harness"))
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "fakes"))
import platform_fakes as fakes  # noqa: E402
import platform_soak  # noqa: E402

DEADLY = "dead0001"
DOWN_S = 1.0
STABLE_WINDOW_S = 3.0
MAX_ARRIVALS = 3
BEFORE_S = 3.0
AFTER_LEADER_S = 3.0


class CrashingEngine(fakes.Endpoint):
    """An engine whose process ends when it begins to answer a deadly part."""

    def __init__(self, test, *args):
        super().__init__(*args)
        self.test = test
        self.is_down = False

    def is_deadly(self, headers):
        return DEADLY in headers.get("prompt-prefix", "")

    async def run(self, headers, base, attempt, writer):
        if self.is_deadly(headers):
            self.test.arrivals.append((time.monotonic(), attempt))
        if not self.is_deadly(headers) or self.stage == "prefill":
            return await super().run(headers, base, attempt, writer)
        framing = (b"" if self.test.unframed
                   else b"Transfer-Encoding: chunked\r\n")
        event = b"id: 1\nda" if self.test.unframed else b""
        writer.write(b"HTTP/1.1 200 OK\r\n" + framing +
                     b"Content-Type: text/event-stream\r\n"
                     b"Attempt-Id: " + attempt.encode() + b"\r\n"
                     b"Server-Stamp: x." + attempt.encode() + b"\r\n\r\n" +
                     event)
        await writer.drain()
        await asyncio.sleep(0.02)
        if self.is_down:
            return False
        self.is_down = True
        self.test.crashes.append(time.monotonic())
        self.server.close()
        if self.test.unframed:
            writer.close()
        self.reset_connections()
        self.restart = asyncio.create_task(self.start_again())
        return False

    async def start_again(self):
        await asyncio.sleep(DOWN_S)
        self.server = await asyncio.start_server(
            self.serve_connection, "127.0.0.1", self.port,
            limit=fakes.MAX_HEAD_BYTES)
        self.is_down = False


class DeadlyPartTest(platform_soak.Soak):
    def __init__(self, unframed):
        super().__init__(1, 0, 3)
        self.unframed = unframed
        self.arrivals = []
        self.crashes = []
        self.served = []   # times of sound answers
        self.endpoints = [
            CrashingEngine(self, f"i-read{at}", "llm", "prefill", 8, at)
            for at in range(2)] + [
            CrashingEngine(self, f"i-dec{at}", "llm", "decode", 8, 10 + at)
            for at in range(6)] + [
            fakes.Endpoint("i-desk0", "desk", None, 8, 3)]
        self.links = []
        self.list = fakes.EndpointList(self.links)

    async def call_stream(self, caller, host, parts):
        self.attempt += 1
        attempt = f"d.{self.attempt:x}"
        headers = {"Host": "a.example", "Attempt-Id": attempt,
                   "Deadline-Ms": "2500", "Authorization": "Bearer key-acme",
                   "Token-Counts": "100,100", "Model": "m",
                   "Prompt-Prefix": ",".join(
                       f"{part}:30" for part in parts + [attempt])}
        status, got, body, complete = await caller.call(
            "POST", "/digest/x", headers, attempt.encode())
        if status == 200 and complete and DEADLY not in parts:
            self.served.append(time.monotonic())

    async def run_streams(self, number, deadly):
        while self.running:
            host = self.random.choice(self.entries)
            caller = fakes.Caller(f"{host.ip}:{platform_soak.CLIENT_PORT}")
            parts = ["5c1e07a2", f"91bd{number:04x}"]
            await self.call_stream(caller, host,
                                   parts + [DEADLY] if deadly else parts)
            caller.close()
            await asyncio.sleep(0.25 if deadly else 0.05)

    def served_per_s(self, begin, end):
        return sum(begin <= at < end for at in self.served) / (end - begin)

    async def run(self):
        for part in self.endpoints:
            await part.start()
        self.links.extend(types.SimpleNamespace(
            endpoint=endpoint, port=endpoint.port)
            for endpoint in self.endpoints)
        await self.list.start()
        hosts = self.members + self.entries
        for host in hosts:
            await host.start()
        try:
            while (await self.call_operator_api("PUT", self.config(1)))[0] \
                    != 200:
                await asyncio.sleep(0.2)
            await self.wait_until_served(
                platform_soak.RECOVERY_S, "after the start")
            await self.play()
        finally:
            for host in hosts:
                host.send(signal.SIGKILL)
            for host in hosts:
                await host.process.wait()
        return not self.problems

    def find_leader(self):
        """Returns the member whose log last says that it leads."""
        for member in self.members:
            path = os.path.join(self.folder, member.name + ".log")
            with open(path, encoding="utf-8") as log:
                if any("event=leadership_gained" in line for line in log):
                    return member
        return self.members[0]

    async def play(self):
        callers = [asyncio.create_task(self.run_streams(number, False))
                   for number in range(6)]
        began = time.monotonic()
        await asyncio.sleep(BEFORE_S)
        before = self.served_per_s(began, time.monotonic())
        callers.append(asyncio.create_task(self.run_streams(6, True)))
        callers.append(asyncio.create_task(self.run_streams(7, True)))
        deadline = time.monotonic() + 10
        while len(self.crashes) < 5 and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        await asyncio.sleep(STABLE_WINDOW_S)
        bound_from = time.monotonic()
        await asyncio.sleep(STABLE_WINDOW_S)
        after = self.served_per_s(bound_from, time.monotonic())
        leader = self.find_leader()
        await leader.stop(signal.SIGKILL)
        await leader.start()
        await asyncio.sleep(AFTER_LEADER_S)
        self.running = False
        await asyncio.gather(*callers)
        arrived = {attempt for at, attempt in self.arrivals
                   if at > bound_from}
        print(f"{len(self.crashes)} crashes, {len(arrived)} arrivals after "
              f"the bound, sound requests a second: {before:.1f} before, "
              f"{after:.1f} after")
        if len(self.crashes) < 3:
            self.add_problem("fewer than three crashes: nothing was tested")
        if len(arrived) > MAX_ARRIVALS:
            self.add_problem(f"{len(arrived)} requests with the part reached "
                             "engines")
        if after < before / 2:
            self.add_problem("sound requests are served less than half as "
                             "often")


def main():
    test = DeadlyPartTest("--unframed" in sys.argv[1:])
    passed = asyncio.run(test.run())
    for problem in test.problems:
        print("  " + problem)
    if passed:
        shutil.rmtree(test.folder, ignore_errors=True)
    else:
        print(f"  logs: {test.folder}")
    print(f"{int(passed)} passed, {int(not passed)} failed")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
