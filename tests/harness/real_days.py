#!/usr/bin/env python3
"""Plays days with real processes, and judges the configuration at each host.

A day file has the users' form (review/7/day.toml): "plan" and "faults" list
what happens when, "closing" the final fault. The members of the control group
and the entry hosts run as separate processes on loopback addresses; links.py
cuts them from each other. Every version of the configuration adds a route and
drops one, and each host is asked for both all the time:

- a host in touch handles no request as only an older version allows than one
  that was acknowledged configApplyMs before (touch.py);
- a process never goes back to an older version;
- a member reads back no version that is older than one acknowledged before;
- a route that all versions have is never denied;
- a version is acknowledged in ackMs while nothing is disturbed;
- at the end the newest acknowledged version is read back, and every host
  serves by it within recoverS.

Without FILE, days are drawn: faults of the control group that come in series
and overlap, on 3 to 5 members. A day with a kind that cannot be played is
refused. A power loss ends processes with SIGKILL: what they wrote but did not
sync stays. Links between hosts and endpoints, or callers, are not disturbed.

    real_days.py [FILE] --seed 1 --seeds 3 [--members 3] [--entries 6]
                 [--busy 0] [--build FOLDER] [--other-build FOLDER]
                 [--network 127.0.2]
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

import platform_soak as soak
from links import Links
from platform_soak import CLIENT_PORT, CONTROL_PORT, Host, fakes
from touch import CONFIG_APPLY_S, STABLE_WINDOW_S, History

LEAD_S = 5.0            # From the start of the processes to the day's 0.
RECOVERY_S = 12.0
CATCH_UP_S = 4.0
ROLLBACK_SLACK_S = 0.25
OPERATOR_TIMEOUT_S = 1.0
CHANGE_PATIENCE_S = 12.0
PROBE_INTERVAL_S = 0.1
LATENESS_INTERVAL_S = 0.05
MAX_LATENESS_S = 0.15
ROUTES_AHEAD = 60       # Versions for which an added route stays.
FIRST_ENTRY, FIRST_MEMBER = 100, 1
PORTS = [CONTROL_PORT, *range(soak.PEER_PORT, soak.PEER_PORT + 3)]
MAX_SHOWN = 12


def route(name):
    return {"name": name, "host": "a.example", "pathPrefix": f"/{name}/",
            "kind": "safe", "timeoutMs": 3000, "targetLatencyMs": 300,
            "gapAimMs": 200, "priority": 1, "service": "desk",
            "maxAttempts": 2, "public": True, "resumable": False}


def configuration(version):
    """Returns a version that has the route "v<version>" and those of versions
    before, but no longer "d<version>"."""
    added = range(max(1, version - ROUTES_AHEAD), version + 1)
    dropped_later = range(version + 1, version + ROUTES_AHEAD)
    return json.dumps({
        "version": version,
        "routes": [route("base"), *(route(f"v{at}") for at in added),
                   *(route(f"d{at}") for at in dropped_later)],
        "services": [{"name": "desk"}],
        "limits": {"idleTimeoutMs": 15000},
        "tenants": [{"name": "acme", "apiKeys": ["key-acme"]}]}).encode()


class Day:
    """One seeded play of a day."""

    def __init__(self, day, seed, shape):
        self.day = day
        self.random = random.Random(seed)
        self.seed = seed
        self.forgives_late = shape.forgive_late
        self.network = shape.network
        self.programs = [os.path.join(build, "main", "poplarroute")
                         for build in (shape.build, shape.other_build or
                                       shape.build)]
        self.program = self.programs[0]
        self.redirect = os.path.join(shape.redirect, "tests",
                                     "liblink_redirect.so")
        self.folder = tempfile.mkdtemp(prefix=f"real-day-{seed}-")
        self.extra_settings = []
        named = [entry["zone"] for entry in day["plan"] + day["faults"]
                 if "zone" in entry]
        self.zones = list(dict.fromkeys(named))
        while len(self.zones) < min(4, shape.members):
            self.zones.append(f"zone-{len(self.zones)}")
        self.members = []
        for number in range(shape.members):
            self.members.append(Host(
                self, FIRST_MEMBER + number, True,
                self.zones[number % len(self.zones)]))
        self.departed = {}          # Replaced members, by their names.
        self.next_member = FIRST_MEMBER + shape.members
        self.entries = [Host(self, FIRST_ENTRY + number, False,
                             self.zones[number % len(self.zones)])
                        for number in range(shape.entries)]
        self.endpoints = [fakes.Endpoint(f"i-desk{at}", "desk", None, 64, at)
                          for at in range(3)]
        for number, host in enumerate(self.members + self.entries):
            host.program = self.programs[number % 2]
        for endpoint in self.endpoints:
            endpoint.work_s = (0.001, 0.003)
        self.endpoint_links = [fakes.Link(endpoint)
                               for endpoint in self.endpoints]
        self.list = fakes.EndpointList(self.endpoint_links)
        self.links = Links(os.path.join(self.folder, "cut"), self.network,
                           PORTS, seed)
        self.history = History()
        self.problems = []
        self.notes = []
        self.version = 0
        self.acknowledged = []      # (time, version), in order of the times.
        self.change_lock = asyncio.Lock()
        self.loss_lock = asyncio.Lock()
        self.counts = {"asked": 0, "judged": 0, "stale": 0, "changes": 0,
                       "unacknowledged": 0, "reads": 0, "unserved": 0}
        self.seen = {}              # (host, process): (time, version) served.
        self.started_at = 0.0
        self.running = True

    def environment(self, host):
        return {**self.links.environment(host.ip),
                "LD_PRELOAD": self.redirect}

    def add_problem(self, what):
        self.problems.append((time.monotonic() - self.started_at, what))

    def note(self, what):
        self.notes.append((time.monotonic() - self.started_at, what))

    # Processes.

    async def start(self, host):
        if host.name in self.departed:
            return
        self.links.set_dark(host.ip, False)
        await self.links.open(host.ip)
        await host.start()
        self.history.come_up(host.name, time.monotonic())
        self.note(f"{host.name} starts")

    async def stop(self, host, signal_number, is_dark=False):
        """Ends a process; in the dark, no connection of it is reset."""
        self.note(f"{host.name} gets signal {int(signal_number)}"
                  f"{' in the dark' if is_dark else ''}")
        self.history.go_down(host.name, time.monotonic())
        if is_dark:
            self.links.set_dark(host.ip, True)
        await host.stop(signal_number)
        self.links.close(host.ip)

    async def restart(self, host, signal_number, down_s, is_dark=False):
        if host.stopping or host.process.returncode is not None:
            return
        await self.stop(host, signal_number, is_dark)
        await asyncio.sleep(down_s)
        await self.start(host)

    async def freeze(self, hosts, duration_s):
        hosts = [host for host in hosts if not host.stopping]
        for host in hosts:
            host.send(signal.SIGSTOP)
            self.history.go_down(host.name, time.monotonic())
        self.note(f"{', '.join(host.name for host in hosts)} frozen")
        await asyncio.sleep(duration_s)
        for host in hosts:
            host.send(signal.SIGCONT)
            if not host.stopping:
                self.history.come_up(host.name, time.monotonic())
        self.note(f"{', '.join(host.name for host in hosts)} thawed")

    def leader(self):
        """Returns the member whose log last says that it leads."""
        newest = (0, None)
        for host in self.members:
            with open(self.log_path(host), encoding="utf-8",
                      errors="replace") as log:
                for line in log:
                    if " event=leadership_gained " in line:
                        term = int(line.rsplit("term=", 1)[1].split()[0])
                        newest = max(newest, (term, host),
                                     key=lambda item: item[0])
        return newest[1] or self.members[0]

    def log_path(self, host):
        return os.path.join(self.folder, host.name + ".log")

    def choose(self, entry, hosts):
        """Returns the hosts that an entry of a day names, or draws them."""
        how = entry.get("how", "").split()
        if "zone" in entry:
            hosts = [host for host in hosts if host.zone == entry["zone"]]
        if "leader" in how and self.leader() in hosts:
            return [self.leader()]
        if "follower" in how:
            hosts = [host for host in hosts if host is not self.leader()]
        count = entry.get("count")
        if count is None and "share" in entry:
            count = round(entry["share"] * len(hosts))
        count = max(1, min(count or 1, len(hosts)))
        return self.random.sample(hosts, count) if hosts else []

    # Faults. A loss of members waits for the one before, as the rules say.

    async def lose(self, work, entry):
        if entry.get("overlaps"):
            await work
            return
        async with self.loss_lock:
            await work
            await asyncio.sleep(CATCH_UP_S if self.running else 0)

    async def roll_term(self, entry):
        on_core = entry.get("on") == "core"
        hosts = self.choose({"share": 1.0, **entry},
                            self.members if on_core else self.entries)
        for host in hosts:
            work = self.restart(host, signal.SIGTERM, 0.3)
            if on_core:
                await self.lose(work, entry)
            else:
                await work
            await asyncio.sleep(entry.get("gap_s", 1.0))

    async def node_kill(self, entry):
        on_core = entry.get("on") == "core"
        is_dark = "power" in entry.get("how", "")
        chosen = self.choose(entry, self.members if on_core else self.entries)
        work = asyncio.gather(*[
            self.restart(host, signal.SIGKILL, entry.get("for_s", 1.0),
                         is_dark) for host in chosen])
        await (self.lose(work, entry) if on_core else work)

    async def node_freeze(self, entry):
        on_core = entry.get("on") == "core"
        work = self.freeze(
            self.choose(entry, self.members if on_core else self.entries),
            entry.get("for_s", 5.0))
        await (self.lose(work, entry) if on_core else work)

    async def pause_core(self, entry):
        """All members stand still for a moment, as on a shared machine."""
        await self.freeze(list(self.members), entry["for_s"])

    async def herd_kill(self, entry):
        chosen = (self.members if entry.get("on") == "core"
                  else self.choose({"share": 0.6, **entry}, self.entries))
        await asyncio.gather(*[self.restart(
            host, signal.SIGKILL, entry.get("for_s", 0.5),
            "power" in entry.get("how", "")) for host in list(chosen)])

    async def replace_core(self, entry):
        chosen = self.choose(entry, self.members)
        if not chosen:
            return
        leaving = chosen[0]
        arriving = Host(self, self.next_member, True, leaving.zone, False)
        arriving.program = self.programs[self.next_member % 2]
        self.next_member += 1
        wait_s = entry.get("x", 1.0)

        async def arrive():
            self.history.add_member(arriving.name, time.monotonic())
            await self.start(arriving)
            self.members.append(arriving)

        async def leave(signal_number):
            self.members.remove(leaving)
            self.departed[leaving.name] = leaving
            await self.stop(leaving, signal_number)
            self.history.remove_member(leaving.name, time.monotonic())

        if "planned" in entry.get("how", ""):
            await arrive()
            await asyncio.sleep(wait_s + 3.0)
            await leave(signal.SIGTERM)
        else:
            await leave(signal.SIGKILL)
            await asyncio.sleep(wait_s)
            await arrive()

    async def cut(self, directions, entry, what):
        """Silences directions between hosts for a time."""
        self.note(f"{what} cut")
        for first, second in directions:
            self.links.set_silent(first.ip, second.ip, True)
            self.history.cut(first.name, second.name, time.monotonic())
        if "reset" in entry.get("how", ""):
            cut = {(first.ip, second.ip) for first, second in directions}
            self.links.reset(lambda source, target: (source, target) in cut
                             or (target, source) in cut)
        await asyncio.sleep(entry.get("for_s", 5.0))
        for first, second in directions:
            self.links.set_silent(first.ip, second.ip, False)
            self.history.heal(first.name, second.name, time.monotonic())
        self.note(f"{what} healed")

    def directions(self, inside, outside, how):
        """Returns what a cut between two groups of hosts silences."""
        outward = [(host, other) for host in inside for other in outside]
        inward = [(other, host) for host, other in outward]
        if "one_way" not in how:
            return outward + inward
        if "inward" in how or "outward" in how:
            return inward if "inward" in how else outward
        return self.random.choice([inward, outward])

    async def core_cut(self, entry):
        how = entry.get("how", "").split()
        chosen = self.choose(entry, self.members)
        if "split" in how:
            others = [host for host in self.members if host not in chosen]
            missing = len(self.members) // 2 - len(chosen)
            chosen += self.random.sample(others, max(0, missing))
        others = [host for host in self.members if host not in chosen]
        if "all" in how:
            others += self.entries
        if "near" in how:
            others += [host for host in self.entries
                       if host.zone != chosen[0].zone]
        directions = self.directions(chosen, others, how)
        names = ", ".join(host.name for host in chosen)
        work = self.cut(directions, entry, f"{names} ({' '.join(how)})")
        await self.lose(work, entry)

    async def zone_cut(self, entry):
        how = entry.get("how", "").split()
        zone = entry.get("zone") or self.random.choice(self.zones)
        if "leader" in how:
            zone = self.leader().zone
        hosts = self.members + self.entries
        directions = self.directions(
            [host for host in hosts if host.zone == zone],
            [host for host in hosts if host.zone != zone], how)
        work = self.cut(directions, entry, f"{zone} ({' '.join(how)})")
        await self.lose(work, entry)

    async def lossy(self, entry):
        """What a zone sends to others arrives late, as what is sent again."""
        zone = entry.get("zone") or self.random.choice(self.zones)
        hosts = self.members + self.entries
        pairs = [(host.ip, other.ip) for host in hosts for other in hosts
                 if (host.zone == zone) != (other.zone == zone)]
        began = time.monotonic()
        for pair in pairs:
            self.links.set_delay(*pair, entry.get("longest_s", 0.25))
        self.history.harm([host.name for host in hosts], began,
                          began + entry.get("for_s", 5.0))
        await asyncio.sleep(entry.get("for_s", 5.0))
        for pair in pairs:
            self.links.set_delay(*pair, 0.0)

    async def reset_conns(self, entry):
        share = entry.get("share", 0.1)
        hosts = self.members + self.entries
        chosen = self.random.sample(hosts, max(1, round(share * len(hosts))))
        addresses = {host.ip for host in chosen}
        now = time.monotonic()
        self.history.harm([host.name for host in chosen], now, now)
        self.links.reset(lambda source, target: source in addresses
                         or target in addresses)

    async def watch_lateness(self):
        """Counts the machine as slowed, by the users' definition of "in
        touch", while it lets this process itself wait."""
        while self.running:
            due = time.monotonic() + LATENESS_INTERVAL_S
            await asyncio.sleep(LATENESS_INTERVAL_S)
            now = time.monotonic()
            if now - due > MAX_LATENESS_S:
                self.counts["late"] = self.counts.get("late", 0) + 1
                self.history.harm([host.name for host in
                                   self.members + self.entries], due, now)

    # The operator.

    async def ask_member(self, host, method, body=b""):
        caller = fakes.Caller(f"{host.ip}:{CONTROL_PORT}")
        status, _, content, _ = await caller.call(
            method, "/config", {"Host": "x"}, body, OPERATOR_TIMEOUT_S)
        caller.close()
        return status, content

    async def change(self, entry):
        """Sends a new version to one member after another until one of them
        acknowledges it."""
        self.version += 1
        version = self.version
        body = configuration(version)
        sent = time.monotonic()
        until = sent + CHANGE_PATIENCE_S
        hosts = list(self.members)
        self.random.shuffle(hosts)
        if "leader" in entry.get("how", ""):
            hosts.insert(0, self.leader())
        at = 0
        while time.monotonic() < until:
            host = hosts[at % len(hosts)]
            at += 1
            status, _ = await self.ask_member(host, "PUT", body)
            if status == 200:
                break
            await asyncio.sleep(0.1)
        now = time.monotonic()
        if status == 200:
            self.acknowledged.append((now, version))
            self.counts["changes"] += 1
            self.note(f"version {version} acknowledged by {host.name}")
        else:
            self.counts["unacknowledged"] += 1
        if self.history.must_be_acknowledged(sent, now):
            self.add_problem(f"ACKS: version {version} waited "
                             f"{now - sent:.1f} s for its acknowledgement")

    async def config_change(self, entry):
        await self.change(entry)

    async def config_storm(self, entry):
        until = time.monotonic() + entry.get("for_s", 5.0)
        while time.monotonic() < until:
            async with self.change_lock:
                await self.change(entry)
            await asyncio.sleep(entry.get("gap_s", 1.0))

    def newest_acknowledged(self, by):
        return max((version for at, version in self.acknowledged if at <= by),
                   default=0)

    def acknowledged_at(self, version):
        """Returns since when no older version may be in force."""
        return min(at for at, other in self.acknowledged if other >= version)

    async def read_configurations(self):
        while self.running:
            await asyncio.sleep(self.random.uniform(0.1, 0.4))
            host = self.random.choice(self.members)
            due = self.newest_acknowledged(
                time.monotonic() - CONFIG_APPLY_S)
            status, content = await self.ask_member(host, "GET")
            if status == 200:
                self.counts["reads"] += 1
                read = json.loads(content)["version"]
                if read < due:
                    self.add_problem(f"CONFIG: {host.name} reads {read} after "
                                     f"{due} was acknowledged")

    # The callers.

    async def probe(self, host):
        """Asks a host for what versions have added and dropped."""
        caller = fakes.Caller(f"{host.ip}:{CLIENT_PORT}")
        number = 0
        while self.running:
            await asyncio.sleep(PROBE_INTERVAL_S)
            number += 1
            sent = time.monotonic()
            due = self.newest_acknowledged(sent - CONFIG_APPLY_S)
            name = ("base", f"v{due}", f"d{due}")[number % 3]
            if due == 0:
                name = "base"
            process = host.process
            attempt = f"{self.seed:x}.{host.ip}.{number:x}"
            status, _, _, _ = await caller.call(
                "GET", f"/{name}/x",
                {"Host": "a.example", "Attempt-Id": attempt,
                 "Deadline-Ms": "1000"}, b"", 1.5)
            if host.process is process:
                self.judge(host, name, due, status, sent, attempt)
        caller.close()

    def judge(self, host, name, due, status, sent, attempt):
        self.counts["asked"] += 1
        if name == "base":
            if status in (401, 403, 404):
                self.add_problem(f"DENIED: {attempt} got {status} for a route "
                                 "that every version has")
            return
        is_new = (status == 404) if name[0] == "d" else (status == 200)
        is_old = (status == 200) if name[0] == "d" else (status == 404)
        key = (host.name, host.process.pid)
        seen_at, seen = self.seen.get(key, (0.0, 0))
        if is_new and due > seen:
            self.seen[key] = (time.monotonic(), due)
        if is_old and due <= seen and sent > seen_at + ROLLBACK_SLACK_S:
            self.add_problem(f"CONFIG: {host.name} went back behind {seen}: "
                             f"{attempt}, /{name}/ got {status}")
        if not is_new and not is_old:
            self.counts["unserved"] += 1
        if self.history.must_have(host.name, self.acknowledged_at(due), sent):
            self.counts["judged"] += 1
            if is_old:
                self.counts["stale"] += 1
                late_s = sent - self.acknowledged_at(due)
                self.add_problem(
                    f"CONFIG: {host.name} handles /{name}/ with {status} "
                    f"{late_s:.1f} s after {due} was acknowledged: {attempt}")

    # The day.

    async def play(self, entry):
        await asyncio.sleep(max(0.0, self.started_at + entry["at"]
                                - time.monotonic()))
        await getattr(self, entry["kind"])(entry)

    async def close_day(self, closing):
        """The final fault, right after one more acknowledgement."""
        how = closing.get("how", "")
        hosts = self.members + self.entries
        wiped = []
        async with self.change_lock:
            await self.change({})
        if closing["kind"] == "wipe_after_ack":
            wiped = [self.random.choice(self.members)]
        is_dark = closing["kind"] != "kill_all"
        lost = hosts if is_dark and "all" in how or not wiped else wiped
        await asyncio.gather(*[self.stop(host, signal.SIGKILL, is_dark)
                               for host in lost])
        for host in wiped:
            self.note(f"{host.name} loses its disk")
            shutil.rmtree(host.data, ignore_errors=True)
        await asyncio.sleep(closing.get("down_s", 1.0))
        for host in lost:
            await self.start(host)

    async def check_end(self):
        """Waits until all hosts serve by the newest version."""
        newest = self.newest_acknowledged(time.monotonic())
        until = time.monotonic() + RECOVERY_S
        behind = {host.name: host for host in self.entries}
        read = 0
        while (behind or read < newest) and time.monotonic() < until:
            for name, host in list(behind.items()):
                caller = fakes.Caller(f"{host.ip}:{CLIENT_PORT}")
                status, _, _, _ = await caller.call(
                    "GET", f"/v{newest}/x",
                    {"Host": "a.example", "Deadline-Ms": "1000",
                     "Attempt-Id": f"{self.seed:x}.end.{host.ip}"}, b"", 1.5)
                caller.close()
                if status == 200:
                    del behind[name]
            status, content = await self.ask_member(
                self.random.choice(self.members), "GET")
            if status == 200:
                read = json.loads(content)["version"]
            await asyncio.sleep(0.05)
        if read < newest:
            self.add_problem(f"CONFIG: at the end {read} is read back, "
                             f"{newest} was acknowledged")
        if behind:
            self.add_problem(f"RECOVER: at the end {', '.join(sorted(behind))}"
                             f" do not serve by version {newest}")

    async def run(self):
        """Returns whether the day broke no rule."""
        try:
            for part in [*self.endpoints, *self.endpoint_links, self.list]:
                await part.start()
            for host in self.members:
                self.history.add_member(host.name, time.monotonic())
            for host in self.members + self.entries:
                await self.start(host)
            self.started_at = time.monotonic() + LEAD_S
            await self.change({})
            tasks = [asyncio.create_task(work) for work in [
                self.read_configurations(),
                *([self.watch_lateness()] if self.forgives_late else []),
                *(self.probe(host) for host in self.entries)]]
            await asyncio.gather(*[self.play(entry) for entry in
                                   self.day["plan"] + self.day["faults"]])
            length_s = self.day.get("length_s", 0.0)
            await asyncio.sleep(max(0.0, self.started_at + length_s
                                    - time.monotonic()))
            if "closing" in self.day:
                await self.close_day(self.day["closing"])
            else:
                await asyncio.sleep(CONFIG_APPLY_S + STABLE_WINDOW_S)
            await self.check_end()
            self.running = False
            await asyncio.gather(*tasks)
        finally:
            self.running = False
            hosts = [*self.members, *self.entries, *self.departed.values()]
            for host in hosts:
                host.send(signal.SIGCONT)
                host.send(signal.SIGKILL)
            for host in hosts:
                if host.process:
                    await host.process.wait()
            self.links.close_all()
        with open(os.path.join(self.folder, "record"), "w",
                  encoding="utf-8") as out:
            for at, what in sorted(self.notes + self.problems):
                out.write(f"{at:8.3f} {what}\n")
        return not self.problems


CLOSINGS = ("wipe_after_ack", "kill_all", "power_off_all")
KINDS = ("roll_term", "node_kill", "node_freeze", "pause_core", "herd_kill",
         "replace_core", "core_cut", "zone_cut", "lossy", "reset_conns",
         "config_change", "config_storm")


def load_day(path):
    """Reads a day file; exits when it names what cannot be played."""
    with open(path, "rb") as file:
        day = tomllib.load(file)
    day = day.get("day", [day])[0]
    day = {"plan": [], "faults": [], **day}
    unknown = {entry["kind"] for entry in day["plan"] + day["faults"]
               if entry["kind"] not in KINDS}
    if "closing" in day and day["closing"]["kind"] not in CLOSINGS:
        unknown.add(day["closing"]["kind"])
    if unknown:
        sys.exit(f"{path}: cannot play {', '.join(sorted(unknown))}")
    return day


def draw_fault(rng, at, is_replaced):
    """Returns a fault of the control group or of the hosts' links to it."""
    for_s = round(rng.choice([rng.uniform(0.5, 3.0), rng.uniform(3.0, 13.0)]),
                  2)
    who = rng.choice(["leader", "follower", ""])
    sides = rng.choice(["", "one_way inward", "one_way outward", "split",
                        "all", "near", "reset", "all one_way outward",
                        "all one_way inward"])
    kind = rng.choice(["core_cut"] * 4 + ["zone_cut", "node_kill",
                      "node_freeze", "node_freeze", "pause_core", "roll_term",
                      "herd_kill", "reset_conns", "lossy", "replace_core"])
    out = {"at": at, "kind": kind, "for_s": for_s, "overlaps":
           rng.random() < 0.5, "how": who}
    if kind in ("core_cut", "zone_cut"):
        out["how"] = f"{who} {sides}"
    elif kind == "pause_core":
        out["for_s"] = round(rng.uniform(0.05, 1.5), 2)
    elif kind in ("node_kill", "node_freeze", "herd_kill"):
        out["on"] = rng.choice(["core", "core", "front"])
        out["for_s"] = min(for_s, 6.0)
        out["how"] += rng.choice(["", " power"])
    elif kind == "roll_term":
        out.update(on=rng.choice(["core", "front"]), gap_s=1.3,
                   share=rng.choice([0.5, 1.0]))
    elif kind == "reset_conns":
        out["share"] = rng.choice([0.3, 1.0])
    elif kind == "replace_core":
        if is_replaced:
            return draw_fault(rng, at, is_replaced)
        out.update(how=f"{who} planned", x=1.0)
    return out


def draw_day(seed, length_s):
    rng = random.Random(seed)
    faults, at = [], 1.0
    while at < length_s - 8.0:
        has_replaced = any(fault["kind"] == "replace_core"
                           for fault in faults)
        faults.append(draw_fault(rng, round(at, 2), has_replaced))
        at += rng.choice([rng.uniform(0.1, 2.0), rng.uniform(3.0, 12.0)])
    plan, at = [], 0.5
    while at < length_s - 2.0:
        for_s = rng.uniform(1.0, 8.0)
        plan.append({"at": at, "kind": "config_storm", "for_s": for_s,
                     "gap_s": rng.choice([0.26, 0.5, 0.9, 2.0]),
                     "how": rng.choice(["", "", "leader"])})
        at += for_s + rng.uniform(0.0, 3.0)
    day = {"plan": plan, "faults": faults, "length_s": length_s}
    if rng.random() < 0.5:
        day["closing"] = {"kind": rng.choice(CLOSINGS), "down_s":
                          round(rng.uniform(0.4, 1.5), 2),
                          "how": rng.choice(["", "all"])}
    return day


def parse_arguments():
    parser = argparse.ArgumentParser(
        description=__doc__.split("\n\n", maxsplit=1)[0])
    parser.add_argument("file", nargs="?", help="the day; drawn without one")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--members", type=int, choices=range(1, 10),
                        help="default: 3; drawn days: 3 to 5")
    parser.add_argument("--entries", type=int, default=6,
                        choices=range(1, 101), metavar="1..100")
    parser.add_argument("--length", type=float, default=40.0,
                        help="of drawn days, in s")
    parser.add_argument("--busy", type=int, default=0, choices=range(17),
                        metavar="0..16", help="busy processes beside the day")
    parser.add_argument("--build", default=soak.BUILD,
                        help="the build folder whose programs are played")
    parser.add_argument("--other-build",
                        help="the build folder of every second host")
    parser.add_argument("--network", default="127.0.2",
                        help="first numbers of the hosts' loopback addresses")
    parser.add_argument("--forgive-late", action="store_true",
                        help="count the machine as slowed while it is late")
    parser.add_argument("--keep", action="store_true",
                        help="keep records and logs of days that pass")
    out = parser.parse_args()
    out.redirect = soak.BUILD
    return out


def main():
    given = parse_arguments()
    day = load_day(given.file) if given.file else None
    members = given.members
    failed = 0
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"])
            for _ in range(given.busy)]
    try:
        for seed in range(given.seed, given.seed + given.seeds):
            given.members = members or (3 if day else 3 + seed % 3)
            played = Day(day or draw_day(seed, given.length), seed, given)
            passed = asyncio.run(played.run())
            failed += not passed
            print(f"seed {seed}: {'passed' if passed else 'FAILED'} "
                  f"members {given.members} {played.counts}", flush=True)
            for at, what in played.problems[:MAX_SHOWN]:
                print(f"  {at:8.3f} {what}")
            if passed and not given.keep:
                shutil.rmtree(played.folder, ignore_errors=True)
            else:
                print(f"  record and logs: {played.folder}", flush=True)
    finally:
        for process in busy:
            process.kill()
            process.wait()
    print(f"{given.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
