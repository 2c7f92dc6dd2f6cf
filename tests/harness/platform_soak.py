#!/usr/bin/env python3
"""A randomized soak of the real programs on the platform's formats.

Starts group members and entry hosts as processes of their own over the
stand-ins of tests/fakes, and while callers and an operator work it stops,
pauses, kills and restarts processes, wipes a member's disk, and delays,
resets, silences or cuts connections to endpoints, in series and overlapping.
It judges from what callers and endpoints saw:

- an attempt of a once-only call runs at most once;
- an attempt that was answered 429 or 503 has not run and never will;
- a success is whole, signed, and this attempt's; streams are in order;
- every answer has its line in the log, with the same status;
- an endpoint sees the account of the key, and never the key;
- a configuration read is never older than one acknowledged before;
- planned stops cut nothing, exit with status 0 and in time;
- orders to an engine come from one holder at a time, with rising fences;
- acknowledged configurations are there at the end, and service is back.

    platform_soak.py --seed 1 --seeds 3 --seconds 15 [--entries 3]
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "fakes"))
import platform_fakes as fakes  # noqa: E402

BUILD = os.environ.get("POPLARROUTE_BUILD", "build")
PROGRAM = os.path.join(BUILD, "main", "poplarroute")
PEER_PORT, CONTROL_PORT, CLIENT_PORT, READY_PORT = 17500, 17600, 17700, 17701
GRACE_S = 8
RECOVER_S = 12  # The users' bound on service after the last fault.
CONFIG_APPLY_S = 2.0
LEASE_S = 1.0
THAW_S = 0.3


class Host:
    """One process of the fleet."""

    def __init__(self, soak, number, member):
        self.soak = soak
        self.ip = f"127.0.1.{number}"
        self.member = member
        self.name = f"{'member' if member else 'entry'}-{number}"
        self.data = os.path.join(soak.folder, self.name)
        self.settings = os.path.join(soak.folder, self.name + ".conf")
        self.process = None
        self.stopping = False
        self.paused = False
        self.first = True

    def write_settings(self):
        seeds = ",".join(f"{host.ip}:{CONTROL_PORT}"
                         for host in self.soak.members)
        lines = [f"nodeName={self.name}", f"ip={self.ip}", "zone=zone-a",
                 "zones.zone-a=region", f"portRange={PEER_PORT},17515",
                 f"seeds={seeds}",
                 f"firstStart={'true' if self.first else 'false'}",
                 f"cloudApi.address=127.0.0.1:{self.soak.list.port}",
                 f"bounds.graceS={GRACE_S}", "bounds.budgetSlack=50",
                 f"bounds.leaseMs={int(LEASE_S * 1000)}",
                 "bounds.quotaSlack=1000"]
        if self.member:
            lines += [f"listen.control={self.ip}:{CONTROL_PORT}",
                      f"dataDir={self.data}"]
        else:
            lines += [f"listen.front={self.ip}:{CLIENT_PORT}",
                      f"listen.ready={self.ip}:{READY_PORT}"]
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write("\n".join(lines) + "\n")

    async def start(self):
        self.write_settings()
        self.first = False
        self.stopping = False
        log = open(os.path.join(self.soak.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--platform", stdout=log, stderr=log,
            env={**os.environ, "POPLARROUTE_CONFIG": self.settings})
        log.close()

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number):
        self.stopping = True
        self.send(number)
        if number == signal.SIGTERM:
            began = time.monotonic()
            try:
                await asyncio.wait_for(self.process.wait(), GRACE_S)
            except asyncio.TimeoutError:
                self.soak.wrong(f"{self.name} outlived its grace")
                self.send(signal.SIGKILL)
            if self.process.returncode not in (0, -signal.SIGKILL):
                self.soak.wrong(f"{self.name} ended with status "
                                f"{self.process.returncode} after "
                                f"{time.monotonic() - began:.1f} s")
        await self.process.wait()


class Soak:
    """One seeded run."""

    def __init__(self, seed, seconds, entries):
        self.random = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.folder = tempfile.mkdtemp(prefix=f"platform-soak-{seed}-")
        self.problems = []
        self.members = [Host(self, number, True) for number in (1, 2, 3)]
        self.entries = [Host(self, 10 + number, False)
                        for number in range(entries)]
        self.endpoints = [
            fakes.Endpoint(f"i-desk{at}", "desk", None, 8, at)
            for at in range(3)] + [
            fakes.Endpoint("i-read0", "llm", "prefill", 8, 7),
            fakes.Endpoint("i-read1", "llm", "prefill", 8, 8),
            fakes.Endpoint("i-read2", "llm", "prefill", 8, 9),
            fakes.Endpoint("i-dec1", "llm", "decode", 8, 10)]
        self.links = [fakes.Link(endpoint) for endpoint in self.endpoints]
        self.list = fakes.List(self.links)
        self.version = 0
        self.acked = 0
        self.acked_at = 0.0
        self.answers = {}   # attempt: (kind, status)
        self.answered_by = {}   # attempt: (host, time)
        self.killed = []    # (time, host)
        self.attempt = 0
        self.counts = {"answered": 0, "refused": 0, "failed": 0, "faults": 0,
                       "changes": 0, "reads": 0, "orders": 0}
        self.running = True
        self.wiped = False
        self.thawed = []    # (time, name)

    def wrong(self, what):
        self.problems.append(what)

    def config(self, version):
        def route(name, kind, service, resumable=False):
            return {"name": name, "host": "a.example",
                    "pathPrefix": f"/{name}/", "kind": kind,
                    "timeoutMs": 3000, "targetLatencyMs": 300,
                    "gapAimMs": 200, "priority": 1, "service": service,
                    "maxAttempts": 2 if kind != "unsafe" else 1,
                    "public": False, "resumable": resumable}
        return json.dumps({
            "version": version,
            "routes": [route("book", "unsafe", "desk"),
                       route("check", "safe", "desk"),
                       route("digest", "stream", "llm"),
                       route("long", "stream", "llm", True)],
            "services": [
                {"name": "desk"},
                {"name": "llm", "engine": {"slots": 8, "kvCapTokens": 20000,
                                           "roleSwitchS": 0.5, "stride": 5}}],
            "limits": {"idleTimeoutMs": 15000},
            "tenants": [{"name": "acme", "apiKeys": ["key-acme"]}]}).encode()

    async def order(self, method, body=b""):
        host = self.random.choice(self.members)
        caller = fakes.Caller(f"{host.ip}:{CONTROL_PORT}")
        status, _, content, _ = await caller.call(
            method, "/config", {"Host": "x"}, body, 1.5)
        caller.close()
        return status, content

    async def operate(self):
        """Sends configurations until each is acknowledged, and reads."""
        while self.running:
            self.version += self.random.randint(1, 3)
            version = self.version
            while self.running:
                status, _ = await self.order("PUT", self.config(version))
                if status == 200:
                    self.acked = max(self.acked, version)
                    self.acked_at = time.monotonic()
                    self.counts["changes"] += 1
                    break
                await asyncio.sleep(0.2)
            acked, acked_at = self.acked, self.acked_at
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            sent = time.monotonic()
            status, content = await self.order("GET")
            if status == 200:
                self.counts["reads"] += 1
                read = json.loads(content)["version"]
                if read < acked and sent > acked_at + CONFIG_APPLY_S:
                    self.wrong(f"read {read} after {acked} was acknowledged")

    async def call_once(self, caller, kind, host):
        self.attempt += 1
        attempt = f"{self.seed:x}.{self.attempt:x}"
        headers = {"Host": "a.example", "Attempt-Id": attempt,
                   "Deadline-Ms": "2500", "Authorization": "Bearer key-acme",
                   "Tenant": "forged", "Kv-Source": "forged"}
        if kind in ("digest", "long"):
            headers["Token-Counts"] = "100,100"
        method = "GET" if kind == "check" else "POST"
        status, got, body, whole = await caller.call(
            method, f"/{kind}/x", headers, b"" if method == "GET" else b"b")
        self.answers[attempt] = (kind, status)
        self.answered_by[attempt] = (host.name, time.monotonic())
        if status == 200 and whole:
            self.counts["answered"] += 1
            self.check_success(kind, attempt, got, body)
        elif status in (429, 503, 408, 421):
            self.counts["refused"] += 1
        else:
            self.counts["failed"] += 1
        if status in (401, 403, 404):
            self.wrong(f"{attempt} was denied with {status}")

    def check_success(self, kind, attempt, headers, body):
        if not headers.get("server-stamp", "").endswith("." + attempt):
            self.wrong(f"{attempt}: a success without its own signature")
        if kind in ("book", "check"):
            if body != f"done {attempt}".encode():
                self.wrong(f"{attempt}: got {body[:40]!r}")
            return
        expected = "".join(f"id: {number}\ndata: {attempt}\n\n" for number in
                           range(1, fakes.STREAM_EVENTS + 1)).encode()
        if body != expected:
            self.wrong(f"{attempt}: a stream of {len(body)} bytes ended as "
                       f"complete, {len(expected)} were made")

    async def work(self):
        """One caller: it keeps its connection until that is gone."""
        host = self.random.choice(self.entries)
        caller = fakes.Caller(f"{host.ip}:{CLIENT_PORT}")
        while self.running:
            kind = self.random.choice(["book", "book", "check", "digest",
                                       "long"])
            await self.call_once(caller, kind, host)
            if caller.writer is None:
                host = self.random.choice(self.entries)
                caller = fakes.Caller(f"{host.ip}:{CLIENT_PORT}")
            await asyncio.sleep(self.random.uniform(0.0, 0.1))
        caller.close()

    async def restart(self, host, number, down):
        if host.stopping or host.process.returncode is not None:
            return
        if number == signal.SIGKILL:
            self.killed.append((time.monotonic(), host.name))
        await host.stop(number)
        await asyncio.sleep(down)
        await host.start()

    async def pause(self, host, span):
        if host.stopping or host.paused:
            return
        host.paused = True
        host.send(signal.SIGSTOP)
        await asyncio.sleep(span)
        host.send(signal.SIGCONT)
        self.thawed.append((time.monotonic(), host.name))
        host.paused = False

    async def wipe(self, host):
        """A member loses its disk; the next only after it is in again."""
        if self.wiped or host.stopping:
            return
        self.wiped = True
        await host.stop(signal.SIGKILL)
        shutil.rmtree(host.data, ignore_errors=True)
        await host.start()

    async def disturb_link(self, mode, span):
        link = self.random.choice(self.links)
        if mode == "reset":
            link.reset()
            return
        link.mode = mode
        await asyncio.sleep(span)
        link.mode = "pass"
        link.reset()

    def next_fault(self):
        draw = self.random
        member = draw.choice(self.members)
        entry = draw.choice(self.entries)
        span = draw.uniform(0.3, 2.0)
        return draw.choice([
            lambda: self.restart(entry, signal.SIGTERM, 0.2),
            lambda: self.restart(entry, signal.SIGKILL, span),
            lambda: self.restart(member, signal.SIGKILL, span),
            lambda: self.restart(member, signal.SIGTERM, 0.2),
            lambda: self.pause(member, span),
            lambda: self.pause(entry, span),
            lambda: self.wipe(member),
            lambda: self.reload(entry),
            lambda: self.disturb_link(
                draw.choice(["delay", "silent", "one_way", "refuse",
                             "reset"]), span)])

    async def reload(self, host):
        host.write_settings()
        host.send(signal.SIGHUP)

    async def disturb(self):
        tasks = []
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            self.counts["faults"] += 1
            tasks.append(asyncio.create_task(self.next_fault()()))
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
        await asyncio.gather(*tasks)

    async def until_served(self, within, what):
        until = time.monotonic() + within
        for entry in self.entries:
            served = False
            while not served and time.monotonic() < until:
                before = self.counts["answered"]
                caller = fakes.Caller(f"{entry.ip}:{CLIENT_PORT}")
                await self.call_once(caller, "book", entry)
                await self.call_once(caller, "digest", entry)
                caller.close()
                served = self.counts["answered"] >= before + 2
                await asyncio.sleep(0.05)
            if not served:
                self.wrong(f"{entry.name} does not serve {what}")

    def judge_orders(self, endpoint):
        orders = [order for order in endpoint.orders if not any(
            name == order[1] and 0 <= order[0] - at < THAW_S
            for at, name in self.thawed)]
        self.counts["orders"] += len(orders)
        for (at, holder, fence), (then, other, later) in zip(orders,
                                                             orders[1:]):
            if later < fence or (later == fence and holder != other):
                self.wrong(f"{endpoint.name}: {other} ordered with {later} "
                           f"after {holder} with {fence}")
            if holder != other and then - at < LEASE_S:
                self.wrong(f"{endpoint.name}: {other} ordered {then - at:.2f}"
                           f" s after {holder}")

    def judge_logs(self):
        lines = {}
        for entry in self.entries:
            path = os.path.join(self.folder, entry.name + ".log")
            with open(path, encoding="utf-8", errors="replace") as log:
                for line in log:
                    if " event=request_end " in line:
                        fields = dict(part.split("=", 1) for part in
                                      line.split() if "=" in part)
                        lines[fields["id"]] = int(fields["status"])
        for attempt, (_, status) in self.answers.items():
            host, at = self.answered_by[attempt]
            killed = any(name == host and abs(at - then) < 0.5
                         for then, name in self.killed)
            if status and not killed and lines.get(attempt) != status:
                self.wrong(f"{attempt} was answered {status} by {host}, its "
                           f"log says {lines.get(attempt)}")

    def judge(self):
        self.judge_logs()
        for endpoint in self.endpoints:
            self.judge_orders(endpoint)
        runs = {}
        for endpoint in self.endpoints:
            for attempt, account in endpoint.runs:
                runs[attempt] = runs.get(attempt, 0) + 1
                if account != "acme":
                    self.wrong(f"{attempt} ran for account {account!r}")
        for attempt, (kind, status) in self.answers.items():
            ran = runs.get(attempt, 0)
            if kind in ("book", "digest") and ran > 1:
                self.wrong(f"{attempt} ({kind}) ran {ran} times")
            if kind in ("book", "digest") and ran and status in (429, 503):
                self.wrong(f"{attempt} ({kind}) was refused with {status}, "
                           "and ran")
        for attempt in runs:
            if attempt not in self.answers:
                self.wrong(f"{attempt} ran and no caller sent it")

    async def run(self):
        for part in self.endpoints + self.links + [self.list]:
            await part.start()
        hosts = self.members + self.entries
        for host in hosts:
            await host.start()
        try:
            operator = asyncio.create_task(self.operate())
            await self.until_served(RECOVER_S, "after the start")
            workers = [asyncio.create_task(self.work()) for _ in range(12)]
            await self.disturb()
            await self.until_served(RECOVER_S, "after the last fault")
            self.running = False
            await asyncio.gather(operator, *workers)
            await self.check_end()
        finally:
            for host in hosts:
                host.send(signal.SIGCONT)
                host.send(signal.SIGKILL)
            for host in hosts:
                await host.process.wait()
        self.judge()
        return not self.problems

    async def check_end(self):
        until = time.monotonic() + RECOVER_S
        status = 0
        while status != 200 and time.monotonic() < until:
            status, content = await self.order("GET")
        if status != 200:
            self.wrong("the configuration cannot be read at the end")
        elif json.loads(content)["version"] < self.acked:
            self.wrong(f"version {self.acked} was acknowledged and is gone")
        await asyncio.gather(*[entry.stop(signal.SIGTERM)
                               for entry in self.entries])


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--entries", type=int, default=3)
    given = parser.parse_args()
    failed = 0
    for seed in range(given.seed, given.seed + given.seeds):
        soak = Soak(seed, given.seconds, given.entries)
        good = asyncio.run(soak.run())
        print(f"seed {seed}: {'passed' if good else 'FAILED'} {soak.counts}",
              flush=True)
        for what in soak.problems[:20]:
            print("  " + what)
        if good:
            shutil.rmtree(soak.folder, ignore_errors=True)
        else:
            failed += 1
            print(f"  logs: {soak.folder}")
    print(f"{given.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
