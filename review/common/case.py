"""Shared parts of the review's scripts: a small deployment on loopback.

Starts the programs of the deploy file as separate processes, with settings like
those of a small deployment, over stand-ins for the endpoints and the platform.
Everything that is sent, answered and run goes to record.txt of the case.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "fakes"))
import platform_fakes as fakes  # noqa: E402

COMMAND = [str(ROOT / "target" / "main" / "poplarroute"), "--platform"]
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

# Bounds of the sheets of the small deployments.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000,
    "revokeStrict": "false", "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetSlack": 56, "quotaWindowS": 8,
    "quotaOver": 0.1, "quotaSlack": 120000, "coldOver": 1.5, "coldSlack": 5,
    "evacMs": 5000, "recoverS": 12, "transitMs": 120, "againS": 4.2,
    "fencingEnforced": "false", "leaseMs": 3000, "thawMs": 300}
STABLE_WINDOW_S = BOUNDS["stableWindowMs"] / 1000
OPERATOR_PATIENCE_S = 1.0
START_TIMEOUT_S = 20


class NotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes record.txt; times are seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")
        self.began = time.monotonic()

    def add(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(
            f"{time.monotonic() - self.began:8.3f} {what} {text}\n")
        self.file.flush()


METRICS_PORT = 9464  # Fixed by the deploy file.


def is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


def free_network(hosts):
    """Returns the first three numbers of loopback addresses that no other
    process uses."""
    for _ in range(200):
        network = f"127.{random.randrange(10, 250)}.{random.randrange(250)}"
        if all(is_free(f"{network}.{number}", METRICS_PORT)
               for number in range(1, hosts + 1)):
            return network
    raise NotRun("no free loopback addresses")


def free_ports(ips, count):
    """Returns consecutive ports that are free at all addresses."""
    for _ in range(200):
        first = random.randrange(20000, 30000)
        held = []
        try:
            for ip in ips:
                for port in range(first, first + count):
                    held.append(socket.socket())
                    held[-1].bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for item in held:
                item.close()
    raise NotRun("no free ports")


class Host:
    """A process of the system: a member (control) or an entry host."""

    def __init__(self, case, name, ip, zone, member):
        self.case = case
        self.name = name
        self.ip = ip
        self.zone = zone
        self.member = member
        self.process = None
        self.first = True

    def settings(self):
        ports = self.case.ports
        # The first file is the same for all hosts; later ones may differ.
        members = list(self.case.members)
        if not self.first:
            random.shuffle(members)
        seeds = ",".join(f"{host.ip}:{ports['control']}" for host in members)
        values = {
            "nodeName": self.name, "ip": self.ip, "zone": self.zone,
            "role": "member" if self.member else "entry",
            "machineClass": "core" if self.member else "front",
            "serves": "control" if self.member else "front",
            "region": "region", "portRange":
                f"{ports['peer']},{ports['peer'] + 3}",
            "seeds": seeds, "firstStart": "true" if self.first else "false",
            "faultCounted": "true" if self.member else "false",
            "limits.cores": 1, "discovery": "cloud", "entry": "vip",
            "configMode": "highest",
            "cloudApi.address": f"127.0.0.1:{self.case.list.port}",
            "cloudApi.ratePerS": 44.0, "cloudApi.lagMs": 800}
        values.update({f"zones.{zone}": "region" for zone in self.case.zones})
        values.update({f"bounds.{name}": value
                       for name, value in BOUNDS.items()})
        if self.member:
            values["listen.control"] = f"{self.ip}:{ports['control']}"
            values["dataDir"] = str(self.case.folder / self.name)
        else:
            values["listen.front"] = f"{self.ip}:{ports['front']}"
            values["listen.ready"] = f"{self.ip}:{ports['ready']}"
        return "".join(f"{name}={value}\n" for name, value in values.items())

    async def start(self):
        path = self.case.folder / f"{self.name}.conf"
        path.write_text(self.settings(), encoding="utf-8")
        self.first = False
        with open(self.case.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, stdout=log, stderr=log, cwd=ROOT,
                env={**os.environ, "POPLARROUTE_CONFIG": str(path)})
        self.case.record.add("process_started", host=self.name,
                             pid=self.process.pid)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.case.record.add("signal", host=self.name,
                                 signal=signal.Signals(number).name)
            self.process.send_signal(number)


class ZonedList(fakes.EndpointList):
    """The platform's list, with a zone for each endpoint."""

    def entry(self, link):
        out = super().entry(link)
        out["zone"] = link.endpoint.zone
        out["born"] = getattr(link.endpoint, "born", 1)
        out["models"] = []
        return out


class Direct:
    """An endpoint's address, without a proxy before it."""

    def __init__(self, endpoint):
        self.endpoint = endpoint

    @property
    def port(self):
        return self.endpoint.port


class Case:
    """One play of a case. Subclasses say what is played."""

    zones = ("z-a", "z-b", "z-c")

    def __init__(self, folder, members=3, entries=3):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        network = free_network(members + entries)
        self.members = [
            Host(self, f"member-{at}", f"{network}.{at + 1}",
                 self.zones[at % len(self.zones)], True)
            for at in range(members)]
        self.entries = [
            Host(self, f"entry-{at}", f"{network}.{members + at + 1}",
                 self.zones[at % len(self.zones)], False)
            for at in range(entries)]
        self.hosts = self.members + self.entries
        first = free_ports([host.ip for host in self.hosts], 7)
        self.ports = {"peer": first, "control": first + 4,
                      "front": first + 5, "ready": first + 6}
        self.endpoints = []
        self.list = None
        self.attempts = 0
        self.running = True

    def configuration(self):
        raise NotImplementedError

    async def play(self):
        """Plays the case; returns whether the rule was broken."""
        raise NotImplementedError

    async def order(self, method, path, body=b"", first=None):
        """Gives an operator's order, as the pages tell: to one member after
        another, each of which has a second to answer."""
        order = list(self.members)
        random.shuffle(order)
        if first is not None:
            order = [first] + [host for host in order if host is not first]
        deadline = time.monotonic() + BOUNDS["ackMs"] / 1000
        pause_s = 0.1
        while time.monotonic() < deadline:
            for host in order:
                caller = fakes.Caller(f"{host.ip}:{self.ports['control']}")
                self.record.add("order_sent", method=method, path=path,
                                to=host.name)
                status, _, content, _ = await caller.call(
                    method, path, {"Host": "control"}, body,
                    OPERATOR_PATIENCE_S)
                caller.close()
                self.record.add("order_answered", method=method, path=path,
                                by=host.name, status=status)
                if status == 200:
                    return content
                await asyncio.sleep(pause_s)
                pause_s *= 1.5
        raise NotRun(f"{method} {path} was not acknowledged")

    async def find_member(self, leads):
        """Returns a member that leads, or one that doesn't, by its metrics."""
        for host in reversed(self.members):
            caller = fakes.Caller(f"{host.ip}:{METRICS_PORT}")
            _, _, content, _ = await caller.call(
                "GET", "/metrics", {"Host": "metrics"})
            caller.close()
            lines = content.decode().splitlines()
            if any(line.split() == ["poplarroute_control_role",
                                    "1" if leads else "0"]
                   for line in lines):
                return host
        raise NotRun("no such member")

    async def call(self, host, method, target, headers, body=b"", timeout=3.0):
        self.attempts += 1
        attempt = f"a{self.attempts:06x}"
        caller = fakes.Caller(f"{host.ip}:{self.ports['front']}")
        status, got, content, complete = await caller.call(
            method, target, {"Host": "a.example", "Attempt-Id": attempt,
                             **headers}, body, timeout)
        caller.close()
        self.record.add("request", attempt=attempt, to=host.name,
                        target=target, status=status)
        return attempt, status, got, content, complete

    async def start(self):
        if not pathlib.Path(COMMAND[0]).exists():
            raise NotRun(f"{COMMAND[0]} is missing: build the deploy file")
        self.list = ZonedList([Direct(item) for item in self.endpoints])
        for endpoint in self.endpoints:
            await endpoint.start()
        await self.list.start()
        for host in self.hosts:
            await host.start()
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                await self.order("PUT", "/config", self.configuration())
                break
            except NotRun:
                if time.monotonic() > deadline:
                    raise
        await asyncio.sleep(STABLE_WINDOW_S)

    def check_processes(self):
        for host in self.hosts:
            if host.process.returncode is not None:
                raise NotRun(f"{host.name} has ended")

    async def run(self):
        try:
            await self.start()
            return EXIT_BROKEN if await self.play() else EXIT_HELD
        except NotRun as problem:
            self.record.add("not_run", problem=str(problem))
            print(f"not run: {problem}")
            return EXIT_NOT_RUN
        finally:
            self.running = False
            for host in self.hosts:
                if host.process and host.process.returncode is None:
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
                if host.process:
                    await host.process.wait()
            if os.environ.get("KEEP_LOGS"):
                print(f"logs: {self.folder}")
            else:
                shutil.rmtree(self.folder, ignore_errors=True)


async def run_until_stopped(case):
    """Runs a case; a signal that stops the script ends its processes too."""
    task = asyncio.create_task(case.run())
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        case.record.add("stopped")
        return EXIT_NOT_RUN


def main(case):
    result = asyncio.run(run_until_stopped(case))
    case.record.add("result", exit=result)
    print({EXIT_HELD: "the rule held", EXIT_BROKEN: "the rule was broken",
           EXIT_NOT_RUN: "the case could not run"}[result])
    sys.exit(result)
