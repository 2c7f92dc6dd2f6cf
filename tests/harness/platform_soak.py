#!/usr/bin/env python3
"""A randomized soak test of the real programs with the platform's formats.

Starts group members and entry hosts as separate processes with the fakes of
tests/fakes. While callers and an operator send requests, it stops, pauses,
kills and restarts processes, deletes a member's disk, and delays, resets,
silences or refuses connections to endpoints. Endpoints crash, start again under
another name while the former one is still listed, name limits, and repeat
refusals. The list holds entries that are cut off. Faults come one after another
and overlap. It checks what callers and endpoints recorded:

- an attempt of a call that must not be repeated runs at most once;
- an attempt that was answered with 429 or 503 never runs;
- a success is complete, carries the stamp of its own attempt, and streams are
  in order;
- a stream holds events of one software version, also when it breaks and its
  caller takes it up at any host;
- every response has a log line with the same status;
- an endpoint that told a host that it is leaving, or turned it away for a
  time, gets no further requests from that host;
- an endpoint that names a limit gets no more than the LIMIT rule allows from
  the hosts that have passed this on;
- an endpoint gets the account of the key, but never the key;
- a configuration read is never older than one acknowledged before;
- graceful stops cut no request: hosts exit in time with status 0;
- callers of hosts that are cut off from all endpoints are served like others;
- orders to an engine come from one holder at a time, with rising fencing
  numbers;
- acknowledged configurations exist at the end, and the hosts serve again.

With --heavy, faults come several times per second, endpoints queue requests and
work slowly, and callers have short deadlines or leave early.

    platform_soak.py --seed 1 --seeds 3 --seconds 15 [--entries 3] [--heavy]
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
MAX_SEEDS = 3
PEER_PORT, CONTROL_PORT, CLIENT_PORT, READY_PORT = 17500, 17600, 17700, 17701
GRACE_S = 8
# Of refusals, written once more.
COPIES = [None, "unnamed", "named", "named"]
RECOVERY_S = 12  # The users' limit on the recovery after the last fault.
CONFIG_APPLY_S = 2.0
LEASE_S = 1.0
RESUME_TOLERANCE_S = 0.3
DRAIN_S = 1.0  # Time from the word of an endpoint that leaves.
TURN_AWAY_GRACE_S = 0.5
MAX_REQUESTS_WHILE_TURNED_AWAY = 2
# The users' rule LIMIT.
LIMIT_SETTLE_S, LIMIT_KNOWN_S, LIMIT_WINDOW_S = 3.0, 0.5, 4.0
LIMIT_RATIO, LIMIT_SLACK = 1.5, 5
# The users' rule RECOVER for hosts that are cut off from all endpoints.
CUT_SETTLE_S, CUT_RATIO, CUT_SLACK = 3.0, 2 / 3, 10


class Host:
    """One process of the fleet: a group member or an entry host."""

    def __init__(self, soak, number, member, zone="zone-a", first=True):
        self.soak = soak
        self.ip = f"{soak.network}.{number}"
        self.member = member
        self.zone = zone
        self.program = soak.program
        self.name = f"{'member' if member else 'entry'}-{number}"
        self.data = os.path.join(soak.folder, self.name)
        self.settings = os.path.join(soak.folder, self.name + ".conf")
        self.process = None
        self.stopping = False
        self.paused = False
        self.first = first

    def write_settings(self):
        seeds = ",".join(f"{host.ip}:{CONTROL_PORT}"
                         for host in self.soak.members[:MAX_SEEDS])
        lines = [f"nodeName={self.name}", f"ip={self.ip}",
                 f"zone={self.zone}",
                 *(f"zones.{zone}=region" for zone in self.soak.zones),
                 f"portRange={PEER_PORT},17515",
                 f"seeds={seeds}",
                 f"firstStart={'true' if self.first else 'false'}",
                 f"cloudApi.address=127.0.0.1:{self.soak.list.port}",
                 f"bounds.graceS={GRACE_S}", "bounds.budgetSlack=50",
                 f"bounds.leaseMs={int(LEASE_S * 1000)}",
                 "bounds.quotaSlack=1000",
                 "torture=yes"] + self.soak.extra_settings
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
            self.program, "--platform", stdout=log, stderr=log,
            env={**os.environ, **self.soak.environment(self),
                 "POPLARROUTE_CONFIG": self.settings})
        log.close()

    def send(self, signal_number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def stop(self, signal_number):
        self.stopping = True
        self.send(signal_number)
        if signal_number == signal.SIGTERM:
            began = time.monotonic()
            try:
                await asyncio.wait_for(self.process.wait(), GRACE_S)
            except asyncio.TimeoutError:
                self.soak.add_problem(
                    f"{self.name} did not exit within its grace period")
                self.send(signal.SIGKILL)
            if self.process.returncode not in (0, -signal.SIGKILL):
                self.soak.add_problem(
                    f"{self.name} ended with status "
                    f"{self.process.returncode} after "
                    f"{time.monotonic() - began:.1f} s")
        await self.process.wait()


class Soak:
    """One seeded run."""

    def __init__(self, seed, seconds, entries, heavy=False, callers=12,
                 network="127.0.1"):
        self.random = random.Random(seed)
        self.program = PROGRAM
        self.zones = ["zone-a"]
        self.extra_settings = []
        self.heavy = heavy
        self.network = network
        self.caller_count = callers
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
            fakes.Endpoint("i-dec1", "llm", "decode", 8, 10),
            fakes.Endpoint("i-dec2", "llm", "decode", 8, 11)]
        self.endpoints[-1].version = "v2"
        if heavy:
            for endpoint in self.endpoints:
                endpoint.slots = 3
                endpoint.queue_slots = self.random.choice([0, 2, 6])
                endpoint.work_s = (0.002, self.random.choice([0.05, 0.6, 1.5]))
                endpoint.error_probability = 0.02
        self.links = [fakes.Link(endpoint) for endpoint in self.endpoints]
        self.list = fakes.EndpointList(self.links)
        self.list.foreign = random.Random(seed)
        self.version = 0
        self.acknowledged = 0
        self.acknowledged_at = 0.0
        self.answers = {}   # attempt: (kind, status)
        self.answered_by = {}   # attempt: (host, time)
        self.stamps = {}    # attempt: the stamp of its answer
        self.sent_by = {}   # attempt: (host, time)
        # (from, until, what): a host's name, "links" or a link.
        self.disturbed = []
        self.kills = []    # (time, host)
        self.attempt = 0
        self.counts = {"answered": 0, "refused": 0, "failed": 0, "faults": 0,
                       "changes": 0, "reads": 0, "orders": 0, "limits": 0,
                       "taken_up": 0, "went_on": 0, "cuts": 0}
        self.cuts = []       # (from, until, hosts cut off from all endpoints)
        self.running = True
        self.disk_lost = False
        self.resumed = []    # (time, name)

    def add_problem(self, what):
        self.problems.append(what)

    def environment(self, host):
        """Returns variables for the program of a host."""
        del host
        return {}

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

    async def call_operator_api(self, method, body=b""):
        host = self.random.choice(self.members)
        caller = fakes.Caller(f"{host.ip}:{CONTROL_PORT}")
        status, _, content, _ = await caller.call(
            method, "/config", {"Host": "x"}, body, 1.5)
        caller.close()
        return status, content

    async def run_operator(self):
        """Sends configurations until each is acknowledged, and reads them."""
        while self.running:
            self.version += self.random.randint(1, 3)
            version = self.version
            while self.running:
                status, _ = await self.call_operator_api(
                    "PUT", self.config(version))
                if status == 200:
                    self.acknowledged = max(self.acknowledged, version)
                    self.acknowledged_at = time.monotonic()
                    self.counts["changes"] += 1
                    break
                await asyncio.sleep(0.2)
            acknowledged, acknowledged_at = (self.acknowledged,
                                             self.acknowledged_at)
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            sent = time.monotonic()
            status, content = await self.call_operator_api("GET")
            if status == 200:
                self.counts["reads"] += 1
                read = json.loads(content)["version"]
                if (read < acknowledged
                        and sent > acknowledged_at + CONFIG_APPLY_S):
                    self.add_problem(f"read {read} after {acknowledged} was "
                                     "acknowledged")

    async def call_once(self, caller, kind, host, is_probe=False):
        """Sends one request. A probe of whether a host serves has time for a
        slow endpoint and is never given up early. Returns whether the answer
        is a whole success."""
        self.attempt += 1
        attempt = f"{self.seed:x}.{self.attempt:x}"
        deadline_s = self.random.choice([0.2, 0.5, 1.0, 2.5]) \
            if self.heavy and not is_probe else 2.5
        patience_s = 3.0
        if self.heavy and not is_probe and self.random.random() < 0.2:
            patience_s = self.random.uniform(0.01, 1.0)
        headers = {"Host": "a.example", "Attempt-Id": attempt,
                   "Deadline-Ms": str(int(deadline_s * 1000)), "Authorization": "Bearer key-acme",
                   "Tenant": "forged", "Kv-Source": "forged"}
        if kind in ("digest", "long"):
            headers["Token-Counts"] = "100,100"
        method = "GET" if kind == "check" else "POST"
        self.sent_by[attempt] = (host.name, time.monotonic())
        status, got, body, complete = await caller.call(
            method, f"/{kind}/x", headers, b"" if method == "GET" else b"b",
            patience_s)
        self.answers[attempt] = (kind, status)
        self.answered_by[attempt] = (host.name, time.monotonic())
        self.stamps[attempt] = got.get("server-stamp", "")
        if status == 200 and complete:
            self.counts["answered"] += 1
            self.check_success(kind, attempt, got, body)
        elif status in (429, 503, 408, 421):
            self.counts["refused"] += 1
        else:
            self.counts["failed"] += 1
        if status in (401, 403, 404):
            self.add_problem(f"{attempt} was denied with {status}")
        return status == 200 and complete

    def check_success(self, kind, attempt, headers, body):
        if not headers.get("server-stamp", "").endswith("." + attempt):
            self.add_problem(
                f"{attempt}: a success without the stamp of its attempt")
        if kind in ("book", "check"):
            if body != f"done {attempt}".encode():
                self.add_problem(f"{attempt}: got {body[:40]!r}")
            return
        version = body.partition(b"event: ")[2][:2].decode()
        expected = "".join(
            f"id: {number}\nevent: {version}\ndata: {attempt}\n\n"
            for number in range(1, fakes.STREAM_EVENTS + 1)).encode()
        if body != expected:
            self.add_problem(f"{attempt}: a stream ended as complete with "
                             f"{len(body)} bytes of {len(expected)} expected")

    async def run_stream(self, caller, host):
        """Sends a request for a stream that may go on, and takes it up at any
        host while it breaks. Returns the caller that is connected last."""
        events, first, versions, began = [], "", set(), time.monotonic()
        deadline_s = 4.0
        for _ in range(8):
            left_s = began + deadline_s - time.monotonic()
            if left_s < 0.2:
                break
            self.attempt += 1
            attempt = f"{self.seed:x}.{self.attempt:x}"
            headers = {"Host": "a.example", "Attempt-Id": attempt,
                       "Deadline-Ms": str(int(left_s * 1000)),
                       "Authorization": "Bearer key-acme",
                       "Token-Counts": "100,100"}
            if events:
                headers["Last-Event-Id"] = str(len(events))
                headers["Resumes"] = first
                self.counts["taken_up"] += 1
            self.sent_by[attempt] = (host.name, time.monotonic())
            status, got, part, complete = await caller.stream(
                "/long/x", headers, b"b")
            self.answers[attempt] = ("long", status if complete else 0)
            self.answered_by[attempt] = (host.name, time.monotonic())
            self.stamps[attempt] = got.get("server-stamp", "")
            if part:
                self.counts["went_on"] += bool(events)
                first = first or attempt
            for event in part:
                lines = event.decode().split("\n")
                events.append(lines[0])
                versions.add(lines[1])
            if status == 200 and complete:
                self.counts["answered"] += 1
                break
            self.counts["refused" if status == 503 else "failed"] += 1
            if status not in (0, 200, 503):
                break
            host = self.random.choice(self.entries)
            caller.close()
            caller = fakes.Caller(f"{host.ip}:{CLIENT_PORT}")
            await asyncio.sleep(0.3)
        if len(versions) > 1:
            self.add_problem(f"{first}: a stream holds events of "
                             f"{', '.join(sorted(versions))}")
        if events != [f"id: {at + 1}" for at in range(len(events))]:
            self.add_problem(f"{first}: a stream holds {events}")
        return host, caller

    async def run_caller(self):
        """Runs one caller, which keeps its connection until it is closed."""
        host = self.random.choice(self.entries)
        caller = fakes.Caller(f"{host.ip}:{CLIENT_PORT}")
        while self.running:
            kind = self.random.choice(["book", "book", "check", "digest",
                                       "long"])
            if kind == "long":
                host, caller = await self.run_stream(caller, host)
            else:
                await self.call_once(caller, kind, host)
            if caller.writer is None:
                host = self.random.choice(self.entries)
                caller = fakes.Caller(f"{host.ip}:{CLIENT_PORT}")
            await asyncio.sleep(self.random.uniform(0.0, 0.1))
        caller.close()

    async def restart(self, host, signal_number, down_s):
        if host.stopping or host.process.returncode is not None:
            return
        if signal_number == signal.SIGKILL:
            self.kills.append((time.monotonic(), host.name))
        began = time.monotonic()
        await host.stop(signal_number)
        await asyncio.sleep(down_s)
        await host.start()
        self.disturbed.append((began, time.monotonic() + 0.1, host.name))

    async def kill_all_entries(self, down_s):
        await asyncio.gather(*[self.restart(entry, signal.SIGKILL, down_s)
                               for entry in self.entries])

    async def cut_entries(self, entries, duration_s):
        """Cuts hosts off from all endpoints, and checks that they serve."""
        addresses = [f"127.0.0.1:{link.port}" for link in self.links]
        for order in ("cut", "heal"):
            began = time.monotonic()
            for entry in entries:
                tool = await asyncio.create_subprocess_exec(
                    os.path.join(BUILD, "tests", "cut_link"),
                    f"{entry.ip}:{PEER_PORT}", order, *addresses)
                await tool.wait()
            if order == "cut":
                await asyncio.sleep(duration_s)
        self.cuts.append((began - duration_s, began, entries))

    async def pause(self, host, duration_s):
        if host.stopping or host.paused:
            return
        host.paused = True
        host.send(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        host.send(signal.SIGCONT)
        self.resumed.append((time.monotonic(), host.name))
        self.disturbed.append((time.monotonic() - duration_s,
                               time.monotonic() + 0.1, host.name))
        host.paused = False

    async def lose_disk(self, host):
        """Deletes a member's disk, at most once in a run."""
        if self.disk_lost or host.stopping:
            return
        self.disk_lost = True
        await host.stop(signal.SIGKILL)
        shutil.rmtree(host.data, ignore_errors=True)
        await host.start()

    async def disturb_link(self, mode, duration_s):
        link = self.random.choice(self.links)
        began = time.monotonic()
        if mode == "reset":
            link.reset()
        else:
            link.mode = mode
            await asyncio.sleep(duration_s)
            link.mode = "pass"
            link.reset()
        until = time.monotonic() + 0.1
        self.disturbed += [(began, until, "links"), (began, until, link)]

    async def turn_away(self, endpoint, duration_s, copy):
        """Lets an endpoint turn hosts away for a time."""
        endpoint.repeats_refusals = copy
        endpoint.turning_away_until = time.monotonic() + duration_s
        await asyncio.sleep(duration_s)
        endpoint.repeats_refusals = None

    async def limit(self, endpoints, rate, duration_s):
        """Lets endpoints name a limit for a time."""
        limits = [(endpoint, endpoint.begin_limit(rate))
                  for endpoint in endpoints if endpoint.limit is None]
        await asyncio.sleep(duration_s)
        for endpoint, limit in limits:
            if endpoint.limit is limit:
                endpoint.limit = None

    async def replace(self, endpoint):
        """Lets an endpoint leave, first by its answers, then in the list, and
        come back as another one at the same address."""
        if endpoint.leaving:
            return
        endpoint.leaving = True
        await asyncio.sleep(0.8)
        name = endpoint.name
        self.list.leaving.add(name)
        await asyncio.sleep(2.0)
        self.check_notices(endpoint)
        endpoint.become(f"{name.split('+')[0]}+{self.counts['faults']}")
        endpoint.notices.clear()
        endpoint.arrivals.clear()
        endpoint.leaving = False

    async def crash_endpoint(self, endpoint, down_s, listed_s, copy,
                             version=None):
        """Ends an endpoint and starts it again. If it has another name then,
        the list shows the former one as well for a time."""
        if endpoint.leaving or endpoint.server is None:
            return
        endpoint.leaving = True   # No other fault meets it meanwhile.
        former = name = endpoint.name
        if self.random.random() < 0.5:
            name = f"{name.split('+')[0]}+{self.counts['faults']}"
        self.list.leaving.discard(endpoint.name)
        endpoint.notices.clear()
        endpoint.arrivals.clear()
        await endpoint.crash(down_s, name, version)
        endpoint.notices.clear()
        endpoint.arrivals.clear()
        endpoint.leaving = False
        if name == former:
            return
        endpoint.repeats_refusals = copy
        self.list.former[former] = self.links[self.endpoints.index(endpoint)]
        await asyncio.sleep(listed_s)
        del self.list.former[former]
        endpoint.repeats_refusals = None

    def next_heavy_fault(self):
        rng = self.random
        duration_s = rng.uniform(0.05, 3.0)
        return rng.choice([
            self.next_fault(),
            lambda: self.crash_endpoint(rng.choice(self.endpoints),
                                        rng.uniform(0.02, 1.5), duration_s,
                                        rng.choice(COPIES)),
            lambda: self.reload(rng.choice(self.members + self.entries)),
            lambda: self.pause(rng.choice(self.entries), duration_s),
            lambda: self.disturb_link(
                rng.choice(["delay", "silent", "one_way", "refuse",
                            "reset"]), duration_s)])

    def next_fault(self):
        rng = self.random
        member = rng.choice(self.members)
        entry = rng.choice(self.entries)
        duration_s = rng.uniform(0.3, 2.0)
        copy = rng.choice(COPIES)
        limited = rng.sample(self.endpoints[:3], rng.choice([1, 2]))
        if rng.random() < 0.25:
            limited.append(rng.choice(self.endpoints[3:]))
        rate, limited_s = round(rng.uniform(3, 12), 1), rng.uniform(3, 14)
        return rng.choice([
            lambda: self.restart(entry, signal.SIGTERM, 0.2),
            lambda: self.restart(entry, signal.SIGKILL, duration_s),
            lambda: self.restart(member, signal.SIGKILL, duration_s),
            lambda: self.restart(member, signal.SIGTERM, 0.2),
            lambda: self.pause(member, duration_s),
            lambda: self.pause(entry, duration_s),
            lambda: self.lose_disk(member),
            lambda: self.reload(entry),
            lambda: self.turn_away(rng.choice(self.endpoints), duration_s,
                                   copy),
            lambda: self.crash_endpoint(rng.choice(self.endpoints[:3]),
                                        0.1, 2 * duration_s, copy),
            lambda: self.crash_endpoint(rng.choice(self.endpoints[6:]),
                                        duration_s / 4, duration_s, copy,
                                        rng.choice(["v1", "v2"])),
            lambda: self.kill_all_entries(duration_s / 2),
            lambda: self.cut_entries(rng.sample(self.entries, 2),
                                     4 + duration_s),
            lambda: self.limit(limited, rate, limited_s),
            lambda: self.replace(rng.choice(self.endpoints[:6])),
            lambda: self.disturb_link(
                rng.choice(["delay", "silent", "one_way", "refuse",
                            "reset"]), duration_s)])

    async def reload(self, host):
        host.write_settings()
        host.send(signal.SIGHUP)

    async def inject_faults(self):
        tasks = []
        deadline = time.monotonic() + self.seconds
        while time.monotonic() < deadline:
            self.counts["faults"] += 1
            fault = (self.next_heavy_fault() if self.heavy
                     else self.next_fault())
            tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.random.uniform(0.05, 0.6) if self.heavy
                                else self.random.uniform(0.2, 2.0))
        await asyncio.gather(*tasks)

    async def wait_until_served(self, timeout_s, what):
        """Checks that each host serves within a time. The hosts are asked side
        by side, so that each of them has all of it."""
        deadline = time.monotonic() + timeout_s
        await asyncio.gather(*[self.probe(entry, deadline, what)
                               for entry in self.entries])

    async def probe(self, entry, deadline, what):
        served = False
        while not served and time.monotonic() < deadline:
            caller = fakes.Caller(f"{entry.ip}:{CLIENT_PORT}")
            answers = [await self.call_once(caller, kind, entry, True)
                       for kind in ("book", "digest")]
            caller.close()
            served = all(answers)
            await asyncio.sleep(0.05)
        if not served:
            self.add_problem(f"{entry.name} does not serve {what}")

    def check_notices(self, endpoint):
        """Checks what an endpoint that said that it leaves, or turned hosts
        away, has received of each host since."""
        left_at = {}
        for at, attempt, stay_away_s in endpoint.notices:
            host, _ = self.sent_by.get(attempt, ("", 0.0))
            if stay_away_s is None:
                left_at.setdefault(host, at)
                continue
            until = at + stay_away_s
            late = [arrived for arrived, other in endpoint.arrivals
                    if self.sent_by.get(other, ("", 0.0))[0] == host
                    and at + TURN_AWAY_GRACE_S < arrived < until]
            if (len(late) > MAX_REQUESTS_WHILE_TURNED_AWAY
                    and not self.was_disturbed(host, at, until)):
                self.add_problem(
                    f"{endpoint.name} got {len(late)} requests of {host} "
                    f"within {stay_away_s:.2f} s for which it wanted none")
        for arrived, attempt in endpoint.arrivals:
            host, sent_at = self.sent_by.get(attempt, ("", 0.0))
            told_at = left_at.get(host)
            if (told_at is not None and sent_at > told_at + DRAIN_S
                    and not self.was_disturbed(host, told_at, arrived)):
                self.add_problem(
                    f"{endpoint.name} got {attempt} of {host} "
                    f"{arrived - told_at:.2f} s after it told it that it is "
                    "leaving")

    def check_limits(self, endpoint):
        """Checks what an endpoint that named a limit has received since from
        hosts that had passed on an answer with it. An attempt's host is the
        one that its caller asked."""
        link = self.links[self.endpoints.index(endpoint)]
        for limit in endpoint.limits:
            known_at = {}
            for _, attempt in limit.arrivals:
                stamp = f"{limit.endpoint_name}.{attempt}"
                if self.stamps.get(attempt) == stamp:
                    host, at = self.answered_by[attempt]
                    known_at[host] = min(at, known_at.get(host, at))
            if not known_at:
                continue
            settled_at = min(known_at.values()) + LIMIT_SETTLE_S
            counted = []
            for at, attempt in sorted(limit.arrivals):
                host, _ = self.sent_by.get(attempt, ("", 0.0))
                if (at >= settled_at and host in known_at
                        and at >= known_at[host] + LIMIT_KNOWN_S
                        and not self.overlaps_disturbance(
                            (host, link), at - LIMIT_SETTLE_S, at)):
                    counted.append(at)
            self.counts["limits"] += bool(counted)
            most = max((sum(at <= other < at + LIMIT_WINDOW_S
                            for other in counted) for at in counted),
                       default=0)
            allowed = LIMIT_RATIO * limit.rate * LIMIT_WINDOW_S + LIMIT_SLACK
            if most > allowed:
                self.add_problem(
                    f"{limit.endpoint_name} got {most} requests within "
                    f"{LIMIT_WINDOW_S:g} s from hosts that knew its limit of "
                    f"{limit.rate:g} per second; {allowed:g} are allowed")

    def was_disturbed(self, host, since, until):
        """Whether a host was stopped or paused, or the answers of endpoints
        were held back, so that it may not know what an endpoint said."""
        return self.overlaps_disturbance((host, "links"), since, until)

    def overlaps_disturbance(self, parts, since, until):
        return any(part in parts and start < until and end > since
                   for start, end, part in self.disturbed)

    def check_cuts(self):
        """Checks that callers of hosts that were cut off from all endpoints
        were served as at the others, from a while after the cut on."""
        for since, until, entries in self.cuts:
            names = {entry.name for entry in entries}
            served, asked = {True: 0, False: 0}, {True: 0, False: 0}
            for attempt, (host, at) in self.sent_by.items():
                if (since + CUT_SETTLE_S <= at <= until - CUT_SETTLE_S / 2
                        and not self.overlaps_disturbance((host, "links"),
                                                          since, until)):
                    asked[host in names] += 1
                    served[host in names] += (
                        self.answers.get(attempt, ("", 0))[1] in (200, 500))
            if not asked[True] or not asked[False]:
                continue
            self.counts["cuts"] += 1
            others = served[False] / asked[False]
            missing = asked[True] - served[True]
            if (served[True] / asked[True] < CUT_RATIO * others
                    and missing > CUT_SLACK + asked[True] / 50):
                self.add_problem(
                    f"{', '.join(sorted(names))} were cut off: {served[True]} "
                    f"of {asked[True]} served, {served[False]} of "
                    f"{asked[False]} at the others")

    def check_orders(self, endpoint):
        orders = [order for order in endpoint.orders if not any(
            name == order[1] and 0 <= order[0] - at < RESUME_TOLERANCE_S
            for at, name in self.resumed)]
        self.counts["orders"] += len(orders)
        for (at, holder, fence), (next_at, next_holder, next_fence) in zip(
                orders, orders[1:]):
            if (next_fence < fence
                    or (next_fence == fence and holder != next_holder)):
                self.add_problem(f"{endpoint.name}: {next_holder} ordered "
                                 f"with {next_fence} after {holder} with "
                                 f"{fence}")
            if holder != next_holder and next_at - at < LEASE_S:
                self.add_problem(f"{endpoint.name}: {next_holder} ordered "
                                 f"{next_at - at:.2f} s after {holder}")

    def check_logs(self):
        logged_status = {}
        suppressed = {}
        for entry in self.entries:
            path = os.path.join(self.folder, entry.name + ".log")
            with open(path, encoding="utf-8", errors="replace") as log:
                for line in log:
                    # The line of the host that the caller asked, not that of
                    # one to which it handed the request.
                    if (" event=request_end " in line
                            and " relayed=1 " not in line):
                        fields = dict(part.split("=", 1) for part in
                                      line.split() if "=" in part)
                        logged_status[fields["id"]] = int(fields["status"])
                    elif " event=lines_suppressed of=request_end " in line:
                        suppressed[entry.name] = (
                            suppressed.get(entry.name, 0) +
                            int(line.rsplit("lines=", 1)[1]))
        for attempt, (_, status) in self.answers.items():
            host, at = self.answered_by[attempt]
            was_killed = any(name == host and abs(at - killed_at) < 0.5
                             for killed_at, name in self.kills)
            if not status or was_killed:
                continue
            if attempt not in logged_status and suppressed.get(host, 0) > 0:
                # The log counts this line among those it does not show.
                suppressed[host] -= 1
                continue
            if logged_status.get(attempt) != status:
                self.add_problem(f"{attempt} was answered {status} by {host}, "
                                 f"its log says {logged_status.get(attempt)}")

    def check_records(self):
        self.check_logs()
        self.check_cuts()
        for endpoint in self.endpoints:
            self.check_orders(endpoint)
            self.check_notices(endpoint)
            self.check_limits(endpoint)
        runs = {}
        for endpoint in self.endpoints:
            for attempt, account in endpoint.started_runs:
                runs[attempt] = runs.get(attempt, 0) + 1
                if account != "acme":
                    self.add_problem(f"{attempt} ran for account {account!r}")
        for attempt, (kind, status) in self.answers.items():
            ran = runs.get(attempt, 0)
            if kind in ("book", "digest") and ran > 1:
                self.add_problem(f"{attempt} ({kind}) ran {ran} times")
            if kind in ("book", "digest") and ran and status in (429, 503):
                self.add_problem(f"{attempt} ({kind}) was refused with "
                                 f"{status} but ran")
        for attempt in runs:
            if attempt not in self.answers:
                self.add_problem(f"{attempt} ran but no caller sent it")

    async def run(self):
        for part in self.endpoints + self.links + [self.list]:
            await part.start()
        hosts = self.members + self.entries
        for host in hosts:
            await host.start()
        try:
            operator = asyncio.create_task(self.run_operator())
            await self.wait_until_served(RECOVERY_S, "after the start")
            callers = [asyncio.create_task(self.run_caller())
                       for _ in range(self.caller_count)]
            await self.inject_faults()
            await self.wait_until_served(RECOVERY_S, "after the last fault")
            self.running = False
            await asyncio.gather(operator, *callers)
            await self.check_final_state()
        finally:
            for host in hosts:
                host.send(signal.SIGCONT)
                host.send(signal.SIGKILL)
            for host in hosts:
                await host.process.wait()
        self.check_records()
        return not self.problems

    async def check_final_state(self):
        deadline = time.monotonic() + RECOVERY_S
        status = 0
        while status != 200 and time.monotonic() < deadline:
            status, content = await self.call_operator_api("GET")
        if status != 200:
            self.add_problem("the configuration cannot be read at the end")
        elif json.loads(content)["version"] < self.acknowledged:
            self.add_problem(
                f"version {self.acknowledged} was acknowledged but is lost")
        await asyncio.gather(*[entry.stop(signal.SIGTERM)
                               for entry in self.entries])


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--heavy", action="store_true")
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--network", default="127.0.1",
                        help="first numbers of the hosts' loopback addresses")
    given = parser.parse_args()
    failed = 0
    for seed in range(given.seed, given.seed + given.seeds):
        soak = Soak(seed, given.seconds, given.entries, given.heavy,
                    given.callers, given.network)
        passed = asyncio.run(soak.run())
        print(f"seed {seed}: {'passed' if passed else 'FAILED'} {soak.counts}",
              flush=True)
        for what in soak.problems[:20]:
            print("  " + what)
        if passed:
            shutil.rmtree(soak.folder, ignore_errors=True)
        else:
            failed += 1
            print(f"  logs: {soak.folder}")
    print(f"{given.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
